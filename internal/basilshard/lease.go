package basilshard

import "time"

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
