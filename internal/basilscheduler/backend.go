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
	blocked    time.Time // no starts until then
	failures   int       // in a row, of different jobs
	failedJobs map[string]bool
	successes  int
	paced      time.Time // when fillers were last looked at
	recorded   bool      // a successor would know of it
}

// usable tells whether new runs may be placed there.
func (b *backend) usable(now time.Time) bool {
	return b.present && b.recorded && b.attached && b.reachable && !b.evacuating && !b.Draining && !now.Before(b.blocked)
}

func (b *backend) free() basilwork.Room { return b.Room.Sub(b.used) }

func (b *backend) add(r *run) {
	b.runs[r] = true
	b.used = b.used.Add(r.task.step.spec.Demand())
}

func (b *backend) remove(r *run) {
	if !b.runs[r] {
		return
	}
	delete(b.runs, r)
	b.used = b.used.Sub(r.task.step.spec.Demand())
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
	b.successes++
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
