package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// minAbsence is the time since it was last listed from which a long-running task counts as absent; reports that list a run arrive every second.
const minAbsence = 2 * time.Second

// Absence tells since when a long-running task has not been known to be at work, over losses of its backend server and changes of owner.
type Absence struct {
	Task    basilwork.TaskID
	Attempt int // that was at work
	Since   time.Time
}

// Returns sums up the long-running tasks that are at work again after an absence.
type Returns struct {
	Tasks   int
	Longest time.Duration
	Task    basilwork.TaskID // the one that was away the longest
	Attempt int              // that is at work now
}

// presence tells when a long-running task was last known to be at work.
type presence struct {
	at      time.Time // when its backend server last said so; zero if none ever did
	attempt int       // that it listed
}

// seeAtWork notes that a backend server says that it has the run.
func (p *Pool) seeAtWork(r *run, now time.Time) {
	t := r.task
	if !r.isLong() {
		return
	}
	if away := now.Sub(t.presence.at); !t.presence.at.IsZero() && t.presence.attempt != r.attempt && away >= minAbsence {
		p.returns.Tasks++
		if away > p.returns.Longest {
			p.returns.Longest, p.returns.Task, p.returns.Attempt = away, t.id, r.attempt
		}
	}
	t.presence = presence{at: now, attempt: r.attempt}
}

// TakeReturns returns which long-running tasks have returned to work since the last call.
func (p *Pool) TakeReturns() Returns {
	r := p.returns
	p.returns = Returns{}
	return r
}

// InheritAbsence tells when a long-running task was last known to be at work by an earlier owner. It has no effect if this owner has seen it at work.
func (p *Pool) InheritAbsence(a Absence) {
	if t := p.findTask(a.Task); t != nil && t.step.spec.LongRunning && t.presence.at.IsZero() {
		t.presence = presence{at: a.Since, attempt: a.Attempt}
	}
}

// Absences returns which long-running tasks have not been known to be at work for minAbsence: of each step the one that has been away the longest, the
// longest first, and of these up to limit. Tasks that have never been at work are not among them.
func (p *Pool) Absences(now time.Time, limit int) []Absence {
	var list []Absence
	for _, j := range p.jobs {
		if j.record.State.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if t := s.longestAway(); t != nil && now.Sub(t.presence.at) >= minAbsence {
					list = append(list, Absence{Task: t.id, Attempt: t.presence.attempt, Since: t.presence.at})
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b Absence) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence), cmp.Compare(a.Task.Step, b.Task.Step))
	})
	return list[:min(len(list), limit)]
}

// longestAway returns the task of a long-running step that was last known to be at work before all others, or nil if none ever was.
func (s *step) longestAway() *task {
	if !s.spec.LongRunning {
		return nil
	}
	var first *task
	for _, t := range s.tasks {
		if !t.presence.at.IsZero() && (first == nil || t.presence.at.Before(first.presence.at)) {
			first = t
		}
	}
	return first
}

// away returns how long ago the task was last known to be at work, or 0 if that is not known.
func (t *task) away(now time.Time) time.Duration {
	if t.presence.at.IsZero() {
		return 0
	}
	return now.Sub(t.presence.at)
}
