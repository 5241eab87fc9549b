package basilshard_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestRenewalsFitSlowPartition checks that leases are kept on a store that has become so slow that the members' partition
// carries out fewer renewals than they make on a quick one.
func TestRenewalsFitSlowPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3 * time.Second)
		owner := r.owner("a")
		r.store.SetFaults(basilfake.StoreFaults{Delay: 200 * time.Millisecond})
		r.store.SetLimits(basilfake.StoreLimits{PartWrites: 4, Takes: 60 * time.Millisecond})
		time.Sleep(2500 * time.Millisecond) // longer than a lease that was granted before
		var late time.Duration
		for range 400 {
			time.Sleep(20 * time.Millisecond)
			r.check()
			if at := owner.SinceRenewal(); owner.owns("a") == 0 {
				late = max(late, at)
			}
		}
		must.SliceEmpty(t, r.violations)
		must.Zero(t, late)
		for n := range r.hosts {
			r.kill(n)
		}
		time.Sleep(lease) // calls that are under way end
	})
}
