package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// quietTime is longer than a report takes that waits for the end of a run, 0.4 s, with the longest pause before it, 0.24 s.
const quietTime = 750 * time.Millisecond

// backend is the state of one incarnation of a backend server.
type backend struct {
	basilwork.Backend
	present        bool // in the current list of backend servers
	attached       bool // has answered under the owner's fencing token
	reachable      bool
	evacuating     bool   // takes no new runs and moves its runs away
	maintenanceDue bool   // its host is due for maintenance
	lastEndNumber  int64  // number of the last run end that was processed
	runs           []*run // sorted by task and attempt
	used           basilwork.Resources
	longRuns       int       // number of long-running runs
	fillerCPU      int       // CPU of the filler runs, in thousandths of a core
	busyUntil      time.Time // latest expected end of its runs
	blockedUntil   time.Time // no new runs before this time
	suspendedUntil time.Time // suspended until this time
	heardFrom      time.Time // when the incarnation first answered
	heardAt        time.Time // when it last answered a hold or a start
	succeeded      bool      // a newer incarnation was listed at its address, which may have left again since
	quarantinedFor *run      // suspect that was started on it last; nil if it has ended
	failures       int       // consecutive failed runs, of distinct jobs in failedJobs
	failedJobs     map[string]bool
	slowOdds       float64             // logarithm of the odds that the backend server is slow
	slowUntil      time.Time           // considered slow until this time
	pacedAt        time.Time           // when the pace of the filler runs was last adjusted
	recorded       bool                // stored, so that a successor of the owner finds it
	isSlow         bool                // considered slow in the current decision
	isSuspended    bool                // suspended in the current decision
	lostLately     bool                // one at its address was lost a short time ago, as of the current decision
	reservedRoom   basilwork.Resources // reserved in the current decision
	byEnd          []*run              // runs that don't last, by expected end as of orderedAt
	orderedAt      time.Time
	reserved       bool      // reserved in the current decision for a task that waits for room
	needsCheck     bool      // its runs have to be checked in the next decision
	runListChanged bool      // see TakeRunLists
	checkAt        time.Time // when its runs have to be checked at the latest; zero if not scheduled
	moveBlocked    bool      // a long-running run cannot move away because no other backend server has room
	movable        bool      // cached result of canMoveLongRuns, valid for movableAt and movableLayout
	movableAt      time.Time
	movableLayout  int
	fillers        int             // number of filler runs
	orphans        map[Ref]*orphan // runs in its newest report that belong to no known task
	ended          bool            // it doesn't answer, and no host runs it any more
	givenUp        []*run          // those that were given up since it has ended, until it is known whether it has crashed
}

// usable reports whether new runs are placed on the backend server before others wait.
func (b *backend) usable(now time.Time) bool { return b.available(now) && !b.suspended(now) }

// suspended reports whether the backend server is suspended. It runs only what has been held back for long (see mayUse).
func (b *backend) suspended(now time.Time) bool { return now.Before(b.suspendedUntil) }

// available reports whether new runs may be placed on the backend server.
func (b *backend) available(now time.Time) bool { return b.takesStarts(now) && !b.evacuating }

// takesStarts reports whether the backend server may begin runs, also if it is to be emptied.
func (b *backend) takesStarts(now time.Time) bool {
	return b.present && b.recorded && b.attached && b.reachable && !b.Draining && !now.Before(b.blockedUntil)
}

// quiet reports whether the backend server has not answered for longer than it takes between two reports while it has runs. It may have gone.
func (b *backend) quiet(now time.Time) bool { return now.Sub(b.heardAt) > quietTime }

// heard records an answer of the backend server.
func (b *backend) heard(now time.Time) {
	b.heardAt = now
	if b.heardFrom.IsZero() {
		b.heardFrom = now
	}
}

// closed reports whether nothing is started on the backend server for now: a suspect was started there, or the room that runs without
// a job occupy is not known.
func (b *backend) closed() bool { return b.quarantined() || len(b.orphans) > 0 }

func (b *backend) free() basilwork.Resources { return b.Resources.Sub(b.used) }

// add accounts for a run that may exist on the backend server. The run is expected to end at the time until.
func (b *backend) add(r *run, until time.Time) {
	n, _ := slices.BinarySearchFunc(b.runs, r, compareRuns)
	b.runs = slices.Insert(b.runs, n, r)
	r.expectedEnd = until
	spec := r.task.step.spec
	b.used = b.used.Add(r.task.step.demand)
	switch {
	case spec.Filler:
		b.fillerCPU += spec.Resources.CPU
		b.fillers++
	case spec.LongRunning:
		b.longRuns++
	}
	if until.After(b.busyUntil) {
		b.busyUntil = until
	}
}

func (b *backend) remove(r *run) {
	n := slices.Index(b.runs, r)
	if n < 0 {
		return
	}
	b.runs = slices.Delete(b.runs, n, n+1)
	if b.quarantinedFor == r {
		b.quarantinedFor = nil
	}
	spec := r.task.step.spec
	b.used = b.used.Sub(r.task.step.demand)
	switch {
	case spec.Filler:
		b.fillerCPU -= spec.Resources.CPU
		b.fillers--
	case spec.LongRunning:
		b.longRuns--
	}
	if r.expectedEnd.Before(b.busyUntil) {
		return
	}
	b.busyUntil = time.Time{}
	for _, o := range b.runs {
		if o.expectedEnd.After(b.busyUntil) {
			b.busyUntil = o.expectedEnd
		}
	}
}

func (b *backend) hasLabel(label string) bool {
	return label == "" || slices.Contains(b.Labels, label)
}

// recordFailure counts a failed run. Consecutive failures of several jobs suspend the backend server for a while.
func (b *backend) recordFailure(jobID string, now time.Time) {
	if b.failedJobs == nil {
		b.failedJobs = make(map[string]bool)
	}
	b.failures++
	b.failedJobs[jobID] = true
	if b.failures >= suspectFailures && len(b.failedJobs) >= suspectJobs {
		b.suspendedUntil = now.Add(suspectPause)
		b.failures = suspectFailures - 1 // after the pause, one more failure suspends it again
	}
}

func (b *backend) recordSuccess() {
	b.failures = 0
	b.failedJobs = nil
}

// servesTarget reports whether a run with a latency target exists on the backend server.
func (b *backend) servesTarget() bool {
	for _, r := range b.runs {
		if r.task.step.spec.Target > 0 {
			return true
		}
	}
	return false
}
