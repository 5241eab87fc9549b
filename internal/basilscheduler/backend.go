package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// backend is what the pool knows of one incarnation of a backend server.
type backend struct {
	basilwork.Backend
	present    bool // listed now
	attached   bool // has answered under the owner's fencing token
	reachable  bool
	evacuating bool // gets no new work and gives up what it has
	due        bool // is to be emptied before long
	processed  int64
	runs       []*run // by task and attempt
	used       basilwork.Room
	serving    int       // long-running runs
	filling    int       // processor of runs that fill, thousandths of a core
	until      time.Time // when the last run is expected to end
	blocked    time.Time // no starts until then
	failures   int       // in a row, of different jobs
	failedJobs map[string]bool
	odds       float64   // logarithm, that it is slow
	slowUntil  time.Time // taken to be slow until then
	paced      time.Time // when fillers were last looked at
	recorded   bool      // a successor would know of it
	avoided    bool      // taken to be slow, at this decision
	kept       bool      // from lesser work, at this decision
	touched    bool      // what decides about its runs changed since they were looked after
	tendAt     time.Time // when to look after its runs all the same; zero is not
	cramped    bool      // a long-running task cannot leave it for want of room
	movable    bool      // as found at movableAt, when the layout was movableOf
	movableAt  time.Time
	movableOf  int
	fillers    int // runs that fill
}

// usable tells whether new runs may be placed there.
func (b *backend) usable(now time.Time) bool {
	return b.present && b.recorded && b.attached && b.reachable && !b.evacuating && !b.Draining && !now.Before(b.blocked)
}

func (b *backend) free() basilwork.Room { return b.Room.Sub(b.used) }

// add counts a run that may be there; until is when it is expected to end.
func (b *backend) add(r *run, until time.Time) {
	n, _ := slices.BinarySearchFunc(b.runs, r, compareRuns)
	b.runs = slices.Insert(b.runs, n, r)
	r.until = until
	spec := r.task.step.spec
	b.used = b.used.Add(r.task.step.demand)
	switch {
	case spec.Fills:
		b.filling += spec.Room.CPU
		b.fillers++
	case spec.LongRunning:
		b.serving++
	}
	if until.After(b.until) {
		b.until = until
	}
}

func (b *backend) remove(r *run) {
	n := slices.Index(b.runs, r)
	if n < 0 {
		return
	}
	b.runs = slices.Delete(b.runs, n, n+1)
	spec := r.task.step.spec
	b.used = b.used.Sub(r.task.step.demand)
	switch {
	case spec.Fills:
		b.filling -= spec.Room.CPU
		b.fillers--
	case spec.LongRunning:
		b.serving--
	}
	if r.until.Before(b.until) {
		return
	}
	b.until = time.Time{}
	for _, o := range b.runs {
		if o.until.After(b.until) {
			b.until = o.until
		}
	}
}

func (b *backend) hasLabel(label string) bool {
	return label == "" || slices.Contains(b.Labels, label)
}

// noteFailure counts a failed run; runs of several jobs that fail in a row speak against the backend server.
func (b *backend) noteFailure(jobID string, now time.Time) {
	if b.failedJobs == nil {
		b.failedJobs = make(map[string]bool)
	}
	b.failures++
	b.failedJobs[jobID] = true
	if b.failures >= suspectFailures && len(b.failedJobs) >= suspectJobs {
		b.blocked = now.Add(suspectPause)
		b.failures = suspectFailures - 1 // one more failure after the pause is enough
	}
}

func (b *backend) noteSuccess() {
	b.failures = 0
	b.failedJobs = nil
}

// servesTarget tells whether a serving task with a target works there.
func (b *backend) servesTarget() bool {
	for _, r := range b.runs {
		if r.task.step.spec.Target > 0 {
			return true
		}
	}
	return false
}
