package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// scarceRepeatTime is how long the start of a long-running task without an answer is repeated while its step can spare no other task: with
// seven of ten answers lost, one in a thousand is without an answer for that long.
const scarceRepeatTime = 2 * unansweredWait

// mayRepeat reports whether a start without an answer is to be requested again rather than stopped. The backend server begins the run once,
// with the first request that it carries out, and answers the others as that one; so one answer is needed, where a stop, a report that the
// run is gone and a start elsewhere need three.
func (p *Pool) mayRepeat(r *run, now time.Time) bool {
	s, b := r.task.step, r.backend
	if r.stopReason != "" || r.task.done || s.occurrence.job.record.State.Final() || b.suspended(now) || !b.Resources.Covers(b.used) {
		return false
	}
	limit, takes := unansweredWait, b.available(now)
	if s.spec.LongRunning && !p.mayBecomeUnavailable(r, now) { // the run may be at work, also where it has to leave later
		limit, takes = scarceRepeatTime, b.takesStarts(now)
	}
	return takes && now.Sub(r.unansweredSince) < limit
}

// repeatStart requests a start without an answer again, unless the last request for it is still open. One that can't be sent is refused at
// once, so there is a pause between requests.
func (p *Pool) repeatStart(r *run, now time.Time) {
	if r.repeating || now.Sub(r.repeatedAt) < recheckInterval || len(p.actions.Starts) >= p.startLimit {
		r.backend.scheduleCheck(now.Add(recheckInterval))
		return
	}
	r.repeating = true
	r.repeats++
	r.resumed = true // when it began is not known
	r.repeatedAt = now
	p.actions.Starts = append(p.actions.Starts, Start{
		Ref: r.ref(), Payload: r.task.step.occurrence.job.record.Job.Payload, Checkpoint: r.startCheckpoint, Ticket: r.ticket,
		Gang: r.task.step.spec.Gang, Listed: r.task.step.listed(), Repeats: r.repeats,
	})
	r.backend.scheduleCheck(now.Add(recheckInterval))
}

// handleRepeat processes the answer to a repeated start. A refusal tells nothing of the requests before.
func (p *Pool) handleRepeat(r *run, refusal basilwork.Refusal, answered bool, now time.Time) {
	r.backend.needsCheck = true
	switch {
	case !r.stopRequestedAt.IsZero(), !answered, refusal == basilwork.RefusalUnsent:
	case refusal == basilwork.RefusalNone:
		p.confirmStart(r, now)
	default:
		p.heedRefusal(r, refusal, now)
		if refusal != basilwork.RefusalBusy {
			p.stop(r, "start refused", now)
		}
	}
}
