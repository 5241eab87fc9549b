package basilnode

import (
	"sync/atomic"
	"time"

	"basilstage.example/basilstage/internal/basilshard"
)

// defaultCancel is how long after a cancelling tasks may start where the settings do not tell; the shortest of
// the platform's deployments.
const defaultCancel = 3 * time.Second

// feed tells how old an owner's knowledge of its jobs is. Cancellings come on a watch that other calls to the store
// say nothing of: while it is silent, leases may well be renewed.
type feed struct {
	clock basilshard.Clock
	bound time.Duration // after a cancelling was stored in which tasks may start
	at    atomic.Int64  // on the clock, in nanoseconds: all that was stored before is known
}

// takenIn notes that all that was stored before the time is known.
func (f *feed) takenIn(at time.Duration) { f.at.Store(int64(at)) }

// fresh tells whether work may be started; a part of the bound is left for the order's way.
func (f *feed) fresh() bool { return f.clock()-time.Duration(f.at.Load()) < f.bound*5/8 }

// wait returns how long a watch may wait for changes: an answer and the next are to come in time.
func (f *feed) wait() time.Duration { return f.bound / 5 }
