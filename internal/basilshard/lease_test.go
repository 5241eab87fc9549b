package basilshard

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLeaseFollowsStoreAndMembers checks that the renewals of all members fit what one partition of the store takes, and that
// a lease outlasts the renewals that a slow store allows.
func TestLeaseFollowsStoreAndMembers(t *testing.T) {
	const (
		rate     = 180.0 // renewals per second
		shortest = 1250 * time.Millisecond
		longest  = 2200 * time.Millisecond
		margin   = 300 * time.Millisecond
	)
	for _, members := range []int{8, 31, 97, 300, 1000} {
		k := New(Options{
			Clock: func() time.Duration { return 0 }, Lease: shortest, MaxLease: longest, Margin: margin,
			Renew: 310 * time.Millisecond, RenewalRate: rate,
		})
		for n := range members {
			k.state.members[fmt.Sprint(n)] = &observedMember{}
		}
		interval := k.renewInterval()
		must.LessEq(t, rate+0.1, float64(members)/interval.Seconds())
		must.Eq(t, max(longest, leaseRenewals*interval), k.lease(), must.Sprint("before the first answer"))
		k.timeout.Answered(4 * time.Millisecond)
		must.Between(t, leaseRenewals*interval, k.lease(), max(shortest, leaseRenewals*interval)+50*time.Millisecond)
		for range 50 {
			k.timeout.Answered(400 * time.Millisecond)
		}
		must.GreaterEq(t, interval+2*400*time.Millisecond+margin, k.lease())
		must.LessEq(t, max(longest, leaseRenewals*interval), k.lease())
	}
}
