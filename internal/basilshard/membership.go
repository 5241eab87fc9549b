package basilshard

import (
	"context"
	"encoding/json"
	"time"

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

const leaseRenewals = 4 // renewals in the shortest lease, which leaves room for two lost ones

// leaseLatencies is the number of the store's latencies by which a lease is longer than on a store that answers at once: one
// for a renewal, one for the next, and one for the reads between them.
const leaseLatencies = 3

// lease returns the lease for the next renewal. It is the shortest on a store that answers quickly, so that the shards of a
// member that is lost wait little, and longer on a slow one, which renewals would not keep otherwise.
func (k *Keeper) lease() time.Duration {
	shortest := max(k.options.Lease, leaseRenewals*k.renewInterval())
	longest := max(shortest, k.options.MaxLease)
	latency, ok := k.timeout.Latency()
	if !ok {
		return longest
	}
	return min(longest, shortest+leaseLatencies*latency)
}

// renewInterval returns the time between renewals, which grows with the number of members, since the renewals of all go to
// one partition of the store.
func (k *Keeper) renewInterval() time.Duration {
	if k.options.RenewalRate <= 0 {
		return k.options.Renew
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return max(k.options.Renew, time.Duration(float64(len(k.state.members))/k.options.RenewalRate*float64(time.Second)))
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
