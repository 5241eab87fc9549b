package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Started processes the answer to a start request; answered is false if there was none.
func (p *Pool) Started(ref Ref, refusal basilwork.Refusal, answered bool, now time.Time) {
	p.closeStart(ref, answered && neverBegan(refusal), now)
	r := p.findRun(ref)
	if r != nil {
		r.repeating = false // also if a report or the answer to a stop came first
	}
	if r != nil && r.phase == phaseUnanswered {
		p.handleRepeat(r, refusal, answered, now)
		return
	}
	if answered && neverBegan(refusal) {
		p.forgetRefusedStart(ref)
	}
	if r == nil || r.phase != phaseStarting {
		return
	}
	r.backend.needsCheck = true
	switch {
	case !answered:
		r.phase = phaseUnanswered
		r.unansweredSince = now
		r.task.avoidBackend(ref.Backend, now.Add(avoidTime))
	case refusal == basilwork.RefusalNone:
		p.confirmStart(r, now)
	default:
		p.handleRefusal(r, refusal, now)
	}
}

// confirmStart records that a backend server has answered that the run exists.
func (p *Pool) confirmStart(r *run, now time.Time) {
	r.phase = phaseRunning
	r.answeredAt = now
	r.progressedAt = now
	r.backend.heard(now)
	p.seeAtWork(r, now)
	p.activate(r.task.step.occurrence.job)
}

func (p *Pool) handleRefusal(r *run, refusal basilwork.Refusal, now time.Time) {
	p.removeRun(r)
	if refusal == basilwork.RefusalOld {
		r.task.attempt += attemptsPerEpoch
	}
	p.heedRefusal(r, refusal, now)
	if j := r.task.step.occurrence.job; j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
	}
}

// heedRefusal keeps what was refused from being requested again at once.
func (p *Pool) heedRefusal(r *run, refusal basilwork.Refusal, now time.Time) {
	b := r.backend
	switch refusal {
	case basilwork.RefusalFence:
		p.fenced = true
	case basilwork.RefusalRoom:
		b.blockedUntil = now.Add(roomPause)
	case basilwork.RefusalBusy:
		b.blockedUntil = now.Add(busyPause)
	case basilwork.RefusalTicket:
		p.forgetTicket(r.task.id.StepName(), b, now)
	case basilwork.RefusalWrong:
		r.task.notBefore = now.Add(time.Second)
	}
}

// activate records that a task of the job has started.
func (p *Pool) activate(j *job) {
	j.started = true
	if j.record.State == basilwork.JobStatePending {
		j.record.State = basilwork.JobStateActive
		p.markDirty(j)
	}
}

// Stopped processes the answer to a stop request; answered is false if there was none.
func (p *Pool) Stopped(ref Ref, answered bool, now time.Time) {
	if answered {
		p.forgetLateStart(ref)
	}
	r := p.findRun(ref)
	if r == nil {
		if b := p.backends[ref.Backend]; b != nil && b.orphans[ref] != nil && answered {
			b.orphans[ref].stopAnsweredAt = now
		}
		return
	}
	if answered {
		r.phase = phaseStopping
		r.stopAnsweredAt = now
	}
}

// stop requests the stop of a run, and repeats the request after stopRetryInterval until it is answered.
func (p *Pool) stop(r *run, reason string, now time.Time) {
	if !r.stopAnsweredAt.IsZero() {
		return
	}
	if !r.stopRequestedAt.IsZero() && now.Sub(r.stopRequestedAt) < stopRetryInterval {
		r.backend.scheduleCheck(r.stopRequestedAt.Add(stopRetryInterval))
		return
	}
	if r.phase == phaseStarting {
		r.stopReason = reason
		return // checkRun calls stop again once the start is answered
	}
	if r.phase == phaseRunning {
		r.phase = phaseStopping
	}
	r.stopReason = reason
	r.stopRequestedAt = now
	r.repeating = false // a request that waits to be sent is dropped
	if r.stoppingSince.IsZero() {
		r.stoppingSince = now
	}
	r.backend.scheduleCheck(now.Add(stopRetryInterval))
	p.actions.Stops = append(p.actions.Stops, Stop{Ref: r.ref(), Reason: reason})
}

// outlivedStop reports whether a run that exists at the time should have ended by then, as its stop was answered.
func (p *Pool) outlivedStop(r *run, now time.Time) bool {
	return !r.stopAnsweredAt.IsZero() && now.Sub(r.stopAnsweredAt) > p.options.StopTimeout+endReportDelay
}

// stopUnanswered stops a run whose start request got no answer, unless the request is repeated. If the run of a long-running task may
// exist and stopping it would exceed the allowed unavailability of the step, it first waits for a report that shows whether the run exists.
func (p *Pool) stopUnanswered(r *run, now time.Time) {
	if p.mayRepeat(r, now) {
		p.repeatStart(r, now)
		return
	}
	waits := r.stopRequestedAt.IsZero() && now.Sub(r.unansweredSince) < unansweredWait
	if waits && r.task.step.spec.LongRunning && !p.mayBecomeUnavailable(r, now) {
		r.backend.scheduleCheck(now.Add(recheckInterval))
		return
	}
	p.stop(r, "start unanswered", now)
}

// removeRun removes a run that certainly does not exist any more.
func (p *Pool) removeRun(r *run) {
	t, s := r.task, r.task.step
	n := slices.Index(t.runs, r)
	if n < 0 {
		return
	}
	r.backend.remove(r)
	t.runs = slices.Delete(t.runs, n, n+1)
	s.occurrence.liveRuns--
	s.countRunOn(r.backend, -1)
	if s.spec.LongRunning {
		p.layoutVersion++
		p.changeRunList(r.backend)
	}
	if t.idle() {
		p.addIdle(s, 1)
		s.firstIdle = min(s.firstIdle, t.id.Index)
		p.requeue(s)
	}
	p.collectIfDone(s.occurrence)
}

// addRun adds a run that may exist on its backend server. The run is expected to end at the time until.
func (p *Pool) addRun(r *run, until time.Time) {
	t, s := r.task, r.task.step
	if t.idle() {
		p.addIdle(s, -1)
	}
	r.backend.add(r, until)
	t.runs = append(t.runs, r)
	s.occurrence.liveRuns++
	s.countRunOn(r.backend, 1)
	if s.spec.LongRunning {
		p.layoutVersion++
		p.changeRunList(r.backend)
	}
}
