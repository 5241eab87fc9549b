package basilshard

import (
	"context"
	"encoding/json"

	"basilstage.example/basilstage/internal/basillog"
)

func (k *Keeper) readMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, k.readTimeout.Get())
	defer cancel()
	requestedAt := k.options.Clock()
	items, _, err := k.options.Store.Snapshot(ctx, memberPartition)
	if err != nil {
		k.readTimeout.Missed()
		k.options.Log.WithError(err).Warn("failed to read the members")
		return false
	}
	answeredAt := k.options.Clock()
	k.readTimeout.Answered(answeredAt - requestedAt)
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
	k.state.Observe(rows, requestedAt, answeredAt)
	k.membersReadAt = requestedAt
	return true
}
