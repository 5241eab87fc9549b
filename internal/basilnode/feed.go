package basilnode

import (
	"sync/atomic"
	"time"

	"basilstage.example/basilstage/internal/basilshard"
)

// Bounds where the settings do not tell; the shortest of the platform's deployments.
const (
	defaultCancel = 3 * time.Second // after a cancelling in which tasks may start
	defaultDrain  = 2 * time.Second // after a backend server has said that it is leaving in which tasks may start there
)

// feed tells how old an owner's knowledge of a table is. Cancellings, and backend servers that leave, come on watches that
// other calls to the store say nothing of: while one is silent, leases may well be renewed.
type feed struct {
	clock  basilshard.Clock
	within time.Duration // of knowledge that work may be started on
	pause  time.Duration // that a watch may wait for changes: an answer and the next are to come in time
	at     atomic.Int64  // on the clock, in nanoseconds: all that was stored before is known
}

// watchJobs sets up the feed of jobs: a cancelling holds after the bound, of which a part is left for the order's way.
func (f *feed) watchJobs(clock basilshard.Clock, bound time.Duration) {
	f.clock, f.within, f.pause = clock, bound*5/8, bound/5
}

// watchBackends sets up the feed of backend servers' entries. The bound is as long as a lease on small deployments, and a
// slow store answers in a fifth of it, so that little is left for the order's way, which takes milliseconds.
func (f *feed) watchBackends(clock basilshard.Clock, bound time.Duration) {
	f.clock, f.within, f.pause = clock, bound*7/8, bound/5
}

// takenIn notes that all that was stored before the time is known.
func (f *feed) takenIn(at time.Duration) { f.at.Store(int64(at)) }

// fresh tells whether work may be started.
func (f *feed) fresh() bool { return f.clock()-time.Duration(f.at.Load()) < f.within }
