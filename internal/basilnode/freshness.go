package basilnode

import (
	"sync/atomic"
	"time"

	"basilstage.example/basilstage/internal/basilshard"
)

// Defaults for settings that are not given: the shortest values among the platform's deployments.
const (
	defaultCancelStartWindow = 3 * time.Second // how long after a job's cancellation its tasks may still start
	defaultDrainStartWindow  = 2 * time.Second // how long after a backend server announces that it is leaving tasks may still start there
)

// freshness tracks how up to date an owner's copy of a table is. Cancellations and leaving backend servers are learned of through
// watches. Other calls to the store don't show whether a watch works: it may be silent while leases are renewed.
type freshness struct {
	clock        basilshard.Clock
	maxAge       time.Duration // maximum age of the copy at which work may be started
	watchTimeout time.Duration // how long a watch may wait for changes, short enough for two answers within the maximum age
	asOf         atomic.Int64  // time on the clock in nanoseconds; all that was stored before it is known
}

// watchJobs sets the limits for the copy of the jobs table. No task may start once the bound has passed after a cancellation, so a part
// of the bound is left for the delivery of start orders.
func (f *freshness) watchJobs(clock basilshard.Clock, bound time.Duration) {
	f.clock, f.maxAge, f.watchTimeout = clock, bound*5/8, bound/5
}

// watchBackends sets the limits for the copy of the backend servers' entries. The bound is as long as a lease on small deployments, and
// a slow store takes a fifth of it to answer, so only an eighth is left for the delivery of orders, which takes milliseconds.
func (f *freshness) watchBackends(clock basilshard.Clock, bound time.Duration) {
	f.clock, f.maxAge, f.watchTimeout = clock, bound*7/8, bound/5
}

// markCurrent records that all that was stored before the time is known.
func (f *freshness) markCurrent(at time.Duration) { f.asOf.Store(int64(at)) }

// age returns how old the copy may be.
func (f *freshness) age() time.Duration { return f.clock() - time.Duration(f.asOf.Load()) }

// fresh reports whether the copy is recent enough for work to be started.
func (f *freshness) fresh() bool { return f.age() < f.maxAge }
