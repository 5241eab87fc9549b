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
	runs       map[*run]bool
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
	kept       bool      // from lesser work, at this decision
}

// usable tells whether new runs may be placed there.
func (b *backend) usable(now time.Time) bool {
	return b.present && b.recorded && b.attached && b.reachable && !b.evacuating && !b.Draining && !now.Before(b.blocked)
}

func (b *backend) free() basilwork.Room { return b.Room.Sub(b.used) }

// add counts a run that may be there; until is when it is expected to end.
func (b *backend) add(r *run, until time.Time) {
	b.runs[r] = true
	r.until = until
	spec := r.task.step.spec
	b.used = b.used.Add(r.task.step.demand)
	switch {
	case spec.Fills:
		b.filling += spec.Room.CPU
	case spec.LongRunning:
		b.serving++
	}
	if until.After(b.until) {
		b.until = until
	}
}

func (b *backend) remove(r *run) {
	if !b.runs[r] {
		return
	}
	delete(b.runs, r)
	spec := r.task.step.spec
	b.used = b.used.Sub(r.task.step.demand)
	switch {
	case spec.Fills:
		b.filling -= spec.Room.CPU
	case spec.LongRunning:
		b.serving--
	}
	if r.until.Before(b.until) {
		return
	}
	b.until = time.Time{}
	for o := range b.runs {
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
	for r := range b.runs {
		if r.task.step.spec.Target > 0 {
			return true
		}
	}
	return false
}
