package basilshard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestLateReadOfMembersDoesNotShortenLease checks that an owner that is cut off keeps its shard until its lease has expired, though another
// member's read of the members was carried out seconds after it was sent, as the calls of a slow link are.
func TestLateReadOfMembersDoesNotShortenLease(t *testing.T) {
	const (
		held    = 6300 * time.Millisecond // ends before the time-out of a read that was sent 2.7 s before
		offsets = 24
	)
	for n := range offsets {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			var violations []string
			synctest.Test(t, func(*testing.T) {
				r := newCluster()
				pass := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						r.check()
					}
				}
				pass(3 * time.Second)
				owner := r.owner("a")
				for _, h := range r.hosts {
					if h != owner {
						h.link.Hold(held)
						break
					}
				}
				pass(held - time.Duration(n)*lease/offsets)
				owner.link.SetCut(true)
				pass(held)
				for n := range r.hosts {
					r.kill(n)
				}
				time.Sleep(10 * time.Second) // held calls end
				violations = r.violations
			})
			must.SliceEmpty(t, violations)
		})
	}
}
