package basilshard

import "time"

const leaseRenewals = 4 // renewals in the shortest lease, which leaves room for two lost ones

// leaseLatencies is the number of latencies of a renewal by which a lease is longer than on a store that answers at once: four
// between two renewals, one for the second, and one for its repeat after a lost answer.
const leaseLatencies = renewalLatencies + 2

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

// pace returns the time from one renewal to the next. It grows with the latency of renewals, since on a store that carries them
// out slowly the renewals of all members would fill their partition and make none of them faster. It leaves time for the next
// renewal within the lease.
func (k *Keeper) pace() time.Duration {
	interval := k.renewInterval()
	latency, ok := k.timeout.Latency()
	if !ok {
		return interval
	}
	return max(interval, min(renewalLatencies*latency, k.lease()-k.options.Margin-2*latency))
}

// renewalDue returns the time until the next renewal, given when the last one was sent. The lease that has been granted may be
// shorter than that of the next renewal, if the store has become slow since.
func (k *Keeper) renewalDue(sentAt time.Duration) time.Duration {
	now := k.options.Clock()
	due := sentAt + k.pace()
	if latency, ok := k.timeout.Latency(); ok {
		granted := time.Duration(k.startUntil.Load())
		due = min(due, max(granted-2*latency, sentAt+k.renewInterval()))
	}
	return max(0, due-now)
}
