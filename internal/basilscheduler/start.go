package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Started takes in the answer to a start; answered false means that none came.
func (p *Pool) Started(ref Ref, refusal basilwork.Refusal, answered bool, now time.Time) {
	r := p.findRun(ref)
	if r == nil || r.phase != phaseStarting {
		return
	}
	r.backend.touched = true
	switch {
	case !answered:
		r.phase = phaseUnsure
		r.unsure = now
		r.task.shun(ref.Backend, now.Add(avoidTime))
		p.stopUnsure(r, now)
	case refusal == basilwork.RefusalNone:
		r.phase = phaseRunning
		r.answered = now
		r.moved = now
		p.begin(r.task.step.occurrence.job)
	default:
		p.refused(r, refusal, now)
	}
}

func (p *Pool) refused(r *run, refusal basilwork.Refusal, now time.Time) {
	b := r.backend
	p.drop(r)
	switch refusal {
	case basilwork.RefusalFence:
		p.fenced = true
	case basilwork.RefusalOld:
		r.task.attempt += epochAttempts
	case basilwork.RefusalRoom:
		b.blocked = now.Add(roomPause)
	case basilwork.RefusalBusy:
		b.blocked = now.Add(busyPause)
	case basilwork.RefusalTicket:
		p.forgetTicket(r.task.id.StepName(), b.ID)
	case basilwork.RefusalWrong:
		r.task.notBefore = now.Add(time.Second)
	}
	if j := r.task.step.occurrence.job; j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
	}
}

// begin notes that a task of the job has started.
func (p *Pool) begin(j *job) {
	j.began = true
	if j.record.State == basilwork.JobStatePending {
		j.record.State = basilwork.JobStateActive
		p.soil(j)
	}
}

// Stopped takes in the answer to a stop; answered false means that none came.
func (p *Pool) Stopped(ref Ref, answered bool, now time.Time) {
	r := p.findRun(ref)
	if r == nil {
		return
	}
	if answered {
		r.phase = phaseStopping
		r.stopped = now
	}
}

// stop asks for a run to be stopped, once per stopRepeat until an answer comes.
func (p *Pool) stop(r *run, reason string, now time.Time) {
	if !r.stopped.IsZero() {
		return
	}
	if !r.stopSent.IsZero() && now.Sub(r.stopSent) < stopRepeat {
		r.backend.tendLater(r.stopSent.Add(stopRepeat))
		return
	}
	if r.phase == phaseStarting {
		r.reason = reason
		return // Decide asks again when the start is answered
	}
	if r.phase == phaseRunning {
		r.phase = phaseStopping
	}
	r.reason = reason
	r.stopSent = now
	r.backend.tendLater(now.Add(stopRepeat))
	p.actions.Stops = append(p.actions.Stops, Stop{Ref: r.ref(), Reason: reason})
}

// stopUnsure stops a run whose start got no answer. Where that may end a task that is at work while as many others of its step
// are away as may be, the next reports tell first whether it runs.
func (p *Pool) stopUnsure(r *run, now time.Time) {
	waits := r.stopSent.IsZero() && now.Sub(r.unsure) < unsureTime
	if waits && r.task.step.spec.LongRunning && !p.mayLeave(r, now) {
		r.backend.tendLater(now.Add(tendEvery))
		return
	}
	p.stop(r, "start unanswered", now)
}

// drop removes a run that certainly does not exist.
func (p *Pool) drop(r *run) {
	t, s := r.task, r.task.step
	n := slices.Index(t.runs, r)
	if n < 0 {
		return
	}
	r.backend.remove(r)
	t.runs = slices.Delete(t.runs, n, n+1)
	s.occurrence.live--
	if s.on != nil {
		s.on[r.backend]--
	}
	if s.spec.LongRunning {
		p.layout++
	}
	if t.idle() {
		p.addIdle(s, 1)
		s.first = min(s.first, t.id.Index)
		p.refresh(s)
	}
	p.noteDone(s.occurrence)
}

// addRun counts a run that may be there; until is when it is expected to end.
func (p *Pool) addRun(r *run, until time.Time) {
	t, s := r.task, r.task.step
	if t.idle() {
		p.addIdle(s, -1)
	}
	r.backend.add(r, until)
	t.runs = append(t.runs, r)
	s.occurrence.live++
	if s.spec.AntiAffinity > 0 {
		if s.on == nil {
			s.on = make(map[*backend]int)
		}
		s.on[r.backend]++
	}
	if s.spec.LongRunning {
		p.layout++
	}
}
