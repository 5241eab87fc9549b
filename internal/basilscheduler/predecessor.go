package basilscheduler

import (
	"iter"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// AddPredecessorBackend adds a backend server that may have runs of a previous owner until the given time, or, if that is zero, until the grace
// period has passed. The given time may be the later one: the grace period tells of the owner right before this one, not of those before it.
//
// Until it has answered or that time has come, those tasks of adopted jobs are not started that may run there.
func (p *Pool) AddPredecessorBackend(entry basilwork.Backend, until time.Time) {
	if until.IsZero() {
		until = p.startedAt.Add(p.options.Grace)
	}
	p.predecessorUntil[entry.ID] = until
	p.setBackend(entry)
	p.backends[entry.ID].present = false
}

// SilentPredecessorBackends returns the backend servers that may have runs of a previous owner and have not answered, and until when. Those that
// have ended meanwhile are among them.
func (p *Pool) SilentPredecessorBackends() iter.Seq2[string, time.Time] {
	return func(yield func(string, time.Time) bool) {
		for _, m := range []map[string]time.Time{p.predecessorUntil, p.predecessorEnded} {
			for id, until := range m {
				if !yield(id, until) {
					return
				}
			}
		}
	}
}

// forgetPredecessor drops a backend server that has answered, or is gone.
func (p *Pool) forgetPredecessor(id string) {
	p.removePredecessor(id)
	delete(p.predecessorEnded, id)
}

// mayHavePredecessorRuns reports whether the backend server may have had runs of a previous owner that it has not reported.
func (p *Pool) mayHavePredecessorRuns(id string) bool {
	return !p.predecessorUntil[id].IsZero() || !p.predecessorEnded[id].IsZero()
}

// PredecessorBackends returns the number of backend servers that may have runs of a previous owner and have not answered.
func (p *Pool) PredecessorBackends() int { return len(p.predecessorUntil) }

// SomePredecessorBackends returns the IDs of up to limit of these backend servers, and how long the last of all is waited for at most.
func (p *Pool) SomePredecessorBackends(limit int, now time.Time) (ids []string, left time.Duration) {
	ids = slices.Sorted(maps.Keys(p.predecessorUntil))
	for _, until := range p.predecessorUntil {
		left = max(left, until.Sub(now))
	}
	return ids[:min(len(ids), limit)], left
}

// PredecessorUntil returns until when the backend server may have runs of a previous owner that it has not reported, or the zero time.
func (p *Pool) PredecessorUntil(id string) time.Time { return p.predecessorUntil[id] }

// endPredecessor records that a silent backend server of a previous owner has ended, and all runs there with it. It returns false if the
// server isn't waited for.
//
// It may have crashed under a task that has crashed others before. Such tasks stay held back until its leases would have run out, so that they
// don't crash more servers than are counted, and until then its successor is watched for, which tells of a crash.
func (p *Pool) endPredecessor(id string) bool {
	until, ok := p.predecessorUntil[id]
	if !ok {
		return false
	}
	if until.After(p.suspectsUntil) {
		p.suspectsUntil = until
	}
	p.removePredecessor(id)
	p.predecessorEnded[id] = until
	return true
}

// SilentBackends returns the IDs of the backend servers that don't answer and keep tasks from running: those that may have runs of a previous
// owner, and those with long-running tasks.
func (p *Pool) SilentBackends() []string {
	ids := slices.Collect(maps.Keys(p.predecessorUntil))
	for _, b := range p.list {
		if !b.reachable && !b.ended && p.predecessorUntil[b.ID].IsZero() && slices.ContainsFunc(b.runs, (*run).isLong) {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// Ended records that a silent backend server has ended. It returns false if the server isn't silent.
//
// Long-running tasks that were at work there may start elsewhere, the others after endedRunWait. Short tasks wait until the server is lost.
func (p *Pool) Ended(id string, now time.Time) bool {
	if p.endPredecessor(id) {
		return true
	}
	b := p.backends[id]
	if b == nil || b.reachable {
		return false
	}
	found := !b.ended
	b.ended = true
	for _, r := range b.sortedRuns() {
		if r.hasServed() {
			p.endRun(r, basilwork.RunEndLost, now)
			found = true
		}
	}
	return found
}

// isLong reports whether the run is that of a long-running task.
func (r *run) isLong() bool { return r.task.step.spec.LongRunning }

// hasServed reports whether the run is that of a long-running task that was at work.
func (r *run) hasServed() bool { return r.isLong() && r.percent >= 100 }

// expirePredecessors drops the backend servers on which no runs of a predecessor can exist any more, because its leases
// have expired.
func (p *Pool) expirePredecessors(now time.Time) {
	for id, until := range p.predecessorUntil {
		if now.Before(until) {
			p.wakeAt(until)
			continue
		}
		p.removePredecessor(id)
	}
	maps.DeleteFunc(p.predecessorEnded, func(_ string, until time.Time) bool { return !now.Before(until) })
	if now.Before(p.suspectsUntil) {
		p.wakeAt(p.suspectsUntil)
	}
}

// holdsBack reports whether the task may have a run of a previous owner that no backend server has reported yet, or may have crashed the
// server that had it.
func (p *Pool) holdsBack(t *task, now time.Time) bool {
	if t.accounted || !t.step.occurrence.job.adopted {
		return false
	}
	return p.mayRunOnPredecessor(t) || now.Before(p.heldBackUntil(t))
}

// heldBackUntil returns until when the task is held back since it may have crashed a server of a previous owner that has ended, or the zero time.
func (p *Pool) heldBackUntil(t *task) time.Time {
	if t.suspicion == 0 {
		return time.Time{}
	}
	if until := p.startedAt.Add(p.endedRunWait(t)); t.step.spec.LongRunning && until.Before(p.suspectsUntil) {
		return until
	}
	return p.suspectsUntil
}

// heldBack reports whether no task of the step may start because of silent backend servers of a previous owner; a gang starts as a whole.
func (p *Pool) heldBack(s *step) bool {
	if !s.occurrence.job.adopted || len(p.predecessorUntil) == 0 || s.listed() && p.allPredecessorRunsKnown() {
		return false // if the runs are known, holdsBack decides for each task
	}
	return s.accounted == 0 || s.spec.Gang && s.accounted < len(s.tasks)
}
