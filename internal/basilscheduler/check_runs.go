package basilscheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	fullPace        = 100
	slowDownRatio   = 0.85                   // share of the latency target above which fillers are slowed down
	speedUpRatio    = 0.6                    // share of the latency target below which fillers are sped up
	paceStep        = 25                     // in percent
	minMoveTime     = time.Second            // minimum remaining run time for which a checkpoint and restart is worthwhile
	recheckInterval = 100 * time.Millisecond // between checks that depend on other backend servers
	paceInterval    = 500 * time.Millisecond // the reported usage covers the last half second
)

// checkRuns repeats stop requests, moves runs off evacuated backend servers, stops stalled runs and adjusts the pace of
// fillers.
//
// It checks backend servers where something changed, and rechecks those whose outcome depends on other backend servers.
func (p *Pool) checkRuns(now time.Time) {
	for _, b := range p.list {
		if b.fillers > 0 {
			p.paceFillers(b, now)
		}
		if b.needsCheck || !b.checkAt.IsZero() && !now.Before(b.checkAt) {
			b.needsCheck, b.checkAt, b.moveBlocked = false, time.Time{}, false
			for _, r := range b.runs {
				p.checkRun(r, now)
			}
		}
		if !b.checkAt.IsZero() {
			p.wakeAt(b.checkAt)
		}
		p.needsBackend = p.needsBackend || b.moveBlocked
	}
}

// scheduleCheck has the runs of the backend server checked at the given time, unless a change causes a check before.
func (b *backend) scheduleCheck(at time.Time) {
	if b.checkAt.IsZero() || at.Before(b.checkAt) {
		b.checkAt = at
	}
}

// sortedRuns returns a copy of the runs, so that callers can end runs while iterating.
func (b *backend) sortedRuns() []*run {
	return slices.Clone(b.runs)
}

func compareRuns(a, b *run) int {
	x, y := &a.task.id, &b.task.id
	if d := cmp.Compare(x.Job, y.Job); d != 0 {
		return d
	}
	return cmp.Or(cmp.Compare(x.Occurrence, y.Occurrence),
		cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index), cmp.Compare(a.attempt, b.attempt))
}

func (p *Pool) checkRun(r *run, now time.Time) {
	j := r.task.step.occurrence.job
	switch {
	case r.phase == phaseUnanswered && r.stopRequestedAt.IsZero():
		p.stopUnanswered(r, now)
	case r.phase == phaseUnanswered, r.phase == phaseStopping, r.stopReason != "" && r.phase == phaseRunning:
		p.stop(r, r.stopReason, now)
	case r.phase != phaseRunning:
	case j.record.State.Final():
		p.stop(r, "job "+j.record.State.String(), now)
	case r.task.done && !r.task.step.spec.Gang:
		p.stop(r, "another copy finished", now)
	case r.backend.evacuating, r.backend.Draining:
		p.evacuateRun(r, now)
	case r.backend.maintenanceDue && r.task.step.spec.LongRunning:
		r.backend.scheduleCheck(now.Add(recheckInterval))
		if p.mayBecomeUnavailable(r, now) && p.fitsElsewhere(r, true, now) && !p.othersMoveFirst(r, now) {
			r.task.avoidBackend(r.backend.ID, now.Add(avoidTime)) // otherwise it could return if short tasks take the room elsewhere
			p.stop(r, "its host is to be maintained", now)
		}
	case p.fasterElsewhere(r, now):
		p.stop(r, "backend server is slow", now)
	case p.stalled(r):
		r.task.avoidBackend(r.backend.ID, now.Add(avoidTime))
		r.backend.recordFailure(j.id(), now)
		p.stop(r, "no progress", now)
	}
}

// stalled reports whether a short task made no progress for much longer than its expected run time explains.
func (p *Pool) stalled(r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang || r.pace < fullPace || r.progressedAt.IsZero() {
		return false
	}
	return r.listedAt.Sub(r.progressedAt) > max(minStallTime, stallFactor*p.expectedRunTime(s))
}

// evacuateRun moves a run off an evacuated or draining backend server if its step and progress permit.
func (p *Pool) evacuateRun(r *run, now time.Time) {
	s := r.task.step
	if !s.spec.LongRunning && (!s.spec.Checkpointing || s.spec.Gang) {
		return
	}
	r.backend.scheduleCheck(now.Add(recheckInterval))
	if s.spec.LongRunning {
		room := p.fitsElsewhere(r, false, now)
		r.backend.moveBlocked = r.backend.moveBlocked || !room
		if room && (r.backend.Draining || p.mayBecomeUnavailable(r, now)) {
			p.stop(r, "moved to another backend server", now)
		}
		return
	}
	left := p.expectedRunTime(s) * time.Duration(100-r.percent) / 100
	if left > minMoveTime && p.fitsElsewhere(r, false, now) {
		p.stop(r, "checkpointed for a move", now)
	}
}

// fitsElsewhere reports whether another backend server has room for the task of the run. With lasting set, backend
// servers that are due for maintenance don't count.
func (p *Pool) fitsElsewhere(r *run, lasting bool, now time.Time) bool {
	for _, b := range p.list {
		if b != r.backend && !(lasting && b.maintenanceDue) && p.fits(r.task, b, nil, now) {
			return true
		}
	}
	return false
}

// mayBecomeUnavailable reports whether the task may stop without exceeding the allowed unavailability of its step.
func (p *Pool) mayBecomeUnavailable(r *run, now time.Time) bool {
	s := r.task.step
	allowed := 1
	if s.spec.HasMaxUnavailable {
		allowed = s.spec.MaxUnavailable
	}
	var away int
	for _, t := range s.tasks {
		if t != r.task && !t.available(now) {
			away++
		}
	}
	return away < allowed
}

// othersMoveFirst reports whether another task of the step can leave an evacuated backend server. That one takes
// precedence, since the maintenance of its host is waiting and few tasks may be unavailable at a time.
func (p *Pool) othersMoveFirst(r *run, now time.Time) bool {
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			if o != r && o.backend.evacuating && o.phase == phaseRunning && p.fitsElsewhere(o, false, now) {
				return true
			}
		}
	}
	return false
}

// available reports whether any run of the task is available.
func (t *task) available(now time.Time) bool {
	for _, r := range t.runs {
		if r.available(now) {
			return true
		}
	}
	return false
}

// paceFillers slows fillers down while a run on the same backend server is close to its latency target, and speeds them up
// again afterwards.
func (p *Pool) paceFillers(b *backend, now time.Time) {
	if now.Sub(b.pacedAt) < paceInterval {
		return
	}
	b.pacedAt = now
	var worst float64
	for _, r := range b.runs {
		if target := r.task.step.spec.Target; target > 0 && r.available(now) {
			worst = max(worst, float64(r.usage)/float64(target.Milliseconds()))
		}
	}
	for _, r := range b.sortedRuns() {
		if !r.task.step.spec.Filler || !r.working() {
			continue
		}
		percent := r.pace
		switch {
		case worst > 1:
			percent = max(0, r.pace-2*paceStep)
		case worst > slowDownRatio:
			percent = max(0, r.pace-paceStep)
		case worst < speedUpRatio:
			percent = min(fullPace, r.pace+paceStep)
		}
		if percent != r.pace {
			r.pace = percent
			p.actions.Paces = append(p.actions.Paces, Pace{Ref: r.ref(), Percent: percent})
		}
	}
}
