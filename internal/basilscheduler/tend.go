package basilscheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	fullPace     = 100
	paceDown     = 0.85                   // of the target: fillers beside are slowed down
	paceUp       = 0.6                    // of the target: fillers beside are let work again
	paceStep     = 25                     // percent
	moveWorth    = time.Second            // least run time left for which a checkpoint and restart pays
	tendEvery    = 100 * time.Millisecond // between looks whether runs can leave their backend server
	paceInterval = 500 * time.Millisecond // usage covers the last half second
)

// tend looks after what runs: repeats stops, empties backend servers, finds stalled runs, paces fillers.
//
// It does so where something changed, and again where it depends on what goes on at other backend servers.
func (p *Pool) tend(now time.Time) {
	for _, b := range p.list {
		if b.fillers > 0 {
			p.pace(b, now)
		}
		if b.touched || !b.tendAt.IsZero() && !now.Before(b.tendAt) {
			b.touched, b.tendAt, b.cramped = false, time.Time{}, false
			for _, r := range b.runs {
				p.tendRun(r, now)
			}
		}
		if !b.tendAt.IsZero() {
			p.wakeAt(b.tendAt)
		}
		p.cramped = p.cramped || b.cramped
	}
}

// tendLater has the runs looked after at the time, if nothing changes before.
func (b *backend) tendLater(at time.Time) {
	if b.tendAt.IsZero() || at.Before(b.tendAt) {
		b.tendAt = at
	}
}

// sortedRuns returns a copy of the runs, for loops that end some.
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

func (p *Pool) tendRun(r *run, now time.Time) {
	j := r.task.step.occurrence.job
	switch {
	case r.phase == phaseUnsure && r.stopSent.IsZero():
		p.stopUnsure(r, now)
	case r.phase == phaseUnsure, r.phase == phaseStopping, r.reason != "" && r.phase == phaseRunning:
		p.stop(r, r.reason, now)
	case r.phase != phaseRunning:
	case j.record.State.Final():
		p.stop(r, "job "+j.record.State.String(), now)
	case r.task.done && !r.task.step.spec.Gang:
		p.stop(r, "another copy finished", now)
	case r.backend.evacuating, r.backend.Draining:
		p.evacuateRun(r, now)
	case r.backend.due && r.task.step.spec.LongRunning:
		r.backend.tendLater(now.Add(tendEvery))
		if p.mayLeave(r, now) && p.elsewhere(r, true, now) && !p.othersFirst(r, now) {
			r.task.shun(r.backend.ID, now.Add(avoidTime)) // short tasks may take the room elsewhere first
			p.stop(r, "its host is to be maintained", now)
		}
	case p.crawls(r, now):
		p.stop(r, "backend server is slow", now)
	case p.stalled(r):
		r.task.shun(r.backend.ID, now.Add(avoidTime))
		r.backend.noteFailure(j.id(), now)
		p.stop(r, "no progress", now)
	}
}

// stalled tells whether a short task has made no progress for far longer than its run time explains.
func (p *Pool) stalled(r *run) bool {
	s := r.task.step
	if s.spec.LongRunning || s.spec.Gang || r.pace < fullPace || r.moved.IsZero() {
		return false
	}
	return r.listed.Sub(r.moved) > max(stallFloor, stallFactor*p.length(s))
}

// evacuateRun moves a run off a backend server that is to be emptied, where that breaks nothing.
func (p *Pool) evacuateRun(r *run, now time.Time) {
	s := r.task.step
	if !s.spec.LongRunning && (!s.spec.Checkpointing || s.spec.Gang) {
		return
	}
	r.backend.tendLater(now.Add(tendEvery))
	if s.spec.LongRunning {
		room := p.elsewhere(r, false, now)
		r.backend.cramped = r.backend.cramped || !room
		if room && (r.backend.Draining || p.mayLeave(r, now)) {
			p.stop(r, "moved to another backend server", now)
		}
		return
	}
	left := p.length(s) * time.Duration(100-r.percent) / 100
	if left > moveWorth && p.elsewhere(r, false, now) {
		p.stop(r, "checkpointed for a move", now)
	}
}

// elsewhere tells whether another backend server has room for the run's task; lasting ones are those
// that need not be emptied before long.
func (p *Pool) elsewhere(r *run, lasting bool, now time.Time) bool {
	for _, b := range p.list {
		if b != r.backend && !(lasting && b.due) && p.fits(r.task, b, nil, now) {
			return true
		}
	}
	return false
}

// mayLeave tells whether the task may stop working for a while without breaking its step's availability.
func (p *Pool) mayLeave(r *run, now time.Time) bool {
	s := r.task.step
	allowed := 1
	if s.spec.LimitsAway {
		allowed = s.spec.MaxUnavailable
	}
	var away int
	for _, t := range s.tasks {
		if t != r.task && !t.atWork(now) {
			away++
		}
	}
	return away < allowed
}

// othersFirst tells whether another task of the step can leave a backend server that is being emptied: few may be away
// at a time, and its host is waited for.
func (p *Pool) othersFirst(r *run, now time.Time) bool {
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			if o != r && o.backend.evacuating && o.phase == phaseRunning && p.elsewhere(o, false, now) {
				return true
			}
		}
	}
	return false
}

func (t *task) atWork(now time.Time) bool {
	for _, r := range t.runs {
		if r.atWork(now) {
			return true
		}
	}
	return false
}

// pace slows tasks that fill beside a serving task that nears its target, and lets them work again.
func (p *Pool) pace(b *backend, now time.Time) {
	if now.Sub(b.paced) < paceInterval {
		return
	}
	b.paced = now
	var worst float64
	for _, r := range b.runs {
		if target := r.task.step.spec.Target; target > 0 && r.atWork(now) {
			worst = max(worst, float64(r.usage)/float64(target.Milliseconds()))
		}
	}
	for _, r := range b.sortedRuns() {
		if !r.task.step.spec.Fills || !r.working() {
			continue
		}
		percent := r.pace
		switch {
		case worst > 1:
			percent = max(0, r.pace-2*paceStep)
		case worst > paceDown:
			percent = max(0, r.pace-paceStep)
		case worst < paceUp:
			percent = min(fullPace, r.pace+paceStep)
		}
		if percent != r.pace {
			r.pace = percent
			p.actions.Paces = append(p.actions.Paces, Pace{Ref: r.ref(), Percent: percent})
		}
	}
}
