package basilshard

import (
	"context"
	"encoding/json"

	"basilstage.example/basilstage/internal/basillog"
)

// renew writes the member's row. After a lapse, ownership is read again before any work is started.
func (k *Keeper) renew(ctx context.Context) bool {
	self := k.options.Self
	self.Stopping = k.stop.Load()
	self.Slow = k.Slow()
	body, err := json.Marshal(self)
	if err != nil {
		k.options.Log.WithError(err).Error("member row not encoded")
		return false
	}
	k.writing <- struct{}{}
	asked := k.options.Clock()
	err = k.member.Write(ctx, body)
	<-k.writing
	if err != nil {
		k.options.Log.WithError(err).Warn("lease not renewed")
		return false
	}
	if !k.MayStart() && !k.readOwners(ctx) {
		return false
	}
	k.renewed.Store(int64(asked))
	k.until.Store(int64(asked + k.options.Lease - k.options.Margin))
	return true
}

func (k *Keeper) observe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	asked := k.options.Clock()
	items, _, err := k.options.Store.Snapshot(ctx, memberPartition)
	if err != nil {
		k.options.Log.WithError(err).Warn("members not read")
		return false
	}
	var rows []Observed
	for _, i := range items {
		var m Member
		if err := json.Unmarshal(i.Body, &m); err != nil {
			k.options.Log.WithError(err).WithField(basillog.FieldMember, i.Key.Sort).Warn("member row unreadable")
			continue
		}
		rows = append(rows, Observed{Member: m, Version: i.Version})
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.Observe(rows, asked)
	k.observed = asked
	return true
}
