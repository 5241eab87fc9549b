package basilshard

import (
	"context"
	"encoding/json"

	"basilstage.example/basilstage/internal/basillog"
)

// renew writes the member row. If the lease had expired, it reads the owner rows again before work may be started.
func (k *Keeper) renew(ctx context.Context) bool {
	self := k.options.Self
	self.Stopping = k.stopping.Load()
	self.Slow = k.Slow()
	lease := k.lease()
	self.Lease = lease.Milliseconds()
	body, err := json.Marshal(self)
	if err != nil {
		k.options.Log.WithError(err).Error("failed to encode the member row")
		return false
	}
	k.memberWrite <- struct{}{}
	requestedAt := k.options.Clock()
	until := int64(requestedAt + lease - k.options.Margin)
	k.startUntil.Store(min(until, k.startUntil.Load())) // the others may see a shorter lease than before, also if no answer comes
	k.memberRow.timeout = k.timeout.Get()
	err = k.memberRow.Write(ctx, body)
	<-k.memberWrite
	if err != nil {
		k.timeout.Missed()
		k.options.Log.WithError(err).Warn("failed to renew the lease")
		return false
	}
	k.timeout.Answered(k.options.Clock() - requestedAt)
	if !k.MayStart() && !k.readOwners(ctx) {
		return false
	}
	k.renewedAt.Store(int64(requestedAt))
	k.startUntil.Store(until)
	return true
}

func (k *Keeper) readMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, k.timeout.Get())
	defer cancel()
	requestedAt := k.options.Clock()
	items, _, err := k.options.Store.Snapshot(ctx, memberPartition)
	if err != nil {
		k.options.Log.WithError(err).Warn("failed to read the members")
		return false
	}
	var rows []Observed
	for _, i := range items {
		var m Member
		if err := json.Unmarshal(i.Body, &m); err != nil {
			k.options.Log.WithError(err).WithField(basillog.FieldMember, i.Key.Sort).Warn("ignoring a member row that can't be decoded")
			continue
		}
		rows = append(rows, Observed{Member: m, Version: i.Version})
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.Observe(rows, requestedAt)
	k.membersReadAt = requestedAt
	return true
}
