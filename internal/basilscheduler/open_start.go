package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// answerWait is how long a start is without an answer at most: it is sent within 0.5 s, waits 0.9 s for its turn on the connection, and 0.9 s
// for its answer.
const answerWait = 2500 * time.Millisecond

// openStart is a start that had no answer when its backend server was found crashed. The crash may count under it before the answer tells
// that it never began.
type openStart struct {
	ref   Ref
	until time.Time // when the answer is no longer waited for
}

// recordOpenStarts notes which runs of a crashed backend server have starts that may still be answered.
func (p *Pool) recordOpenStarts(runs []*run) {
	for _, r := range runs {
		if r.phase == phaseStarting {
			p.openStarts = append(p.openStarts, openStart{ref: r.ref(), until: r.orderedAt.Add(answerWait)})
		}
	}
}

// closeStart processes the answer to an open start, or that none came.
func (p *Pool) closeStart(ref Ref, neverBegan bool, now time.Time) {
	n := slices.IndexFunc(p.openStarts, func(s openStart) bool { return s.ref == ref })
	if n < 0 {
		return
	}
	until := p.openStarts[n].until
	p.openStarts = slices.Delete(p.openStarts, n, n+1)
	t := p.findTask(ref.Task)
	if t == nil {
		return
	}
	if neverBegan {
		p.takeBackCrash(t, ref)
	}
	if t.notBefore.Equal(until) {
		t.notBefore = now
	}
	p.giveUpIfCrashing(t, now)
}

// expireOpenStarts ends the wait for answers that are overdue.
func (p *Pool) expireOpenStarts(now time.Time) {
	var expired []Ref
	for _, s := range p.openStarts {
		if now.Before(s.until) {
			p.wakeAt(s.until)
			continue
		}
		expired = append(expired, s.ref)
	}
	for _, r := range expired {
		p.closeStart(r, false, now)
	}
}

// neverBegan reports whether a start that was refused so has not begun. One that is called old may have.
func neverBegan(r basilwork.Refusal) bool {
	return r != basilwork.RefusalNone && r != basilwork.RefusalOld
}

// takeBackCrash removes the crash that was counted under a start, or would be.
func (p *Pool) takeBackCrash(t *task, ref Ref) {
	isStart := func(s suspect) bool { return s.task == ref.Task && s.attempt == ref.Attempt && !s.certain }
	for n := range p.silences {
		l := &p.silences[n]
		l.suspects = slices.DeleteFunc(l.suspects, isStart)
		l.crashed = slices.DeleteFunc(l.crashed, isStart)
	}
	if t.step.progress.RemoveUncertainCrash(t.id.Index, ref.Attempt) {
		t.suspicion = suspicionOf(t.step.progress.Crashes[t.id.Index])
		p.markDirty(t.step.occurrence.job)
	}
}

// awaitsAnswer returns the time until which it is open whether the task had enough crashes to be given up, as a start that counts may still be
// refused, or zero.
func (p *Pool) awaitsAnswer(t *task, now time.Time) time.Time {
	var until time.Time
	closed := slices.Clone(t.step.progress.Crashes[t.id.Index])
	for _, s := range p.openStarts {
		if s.ref.Task != t.id || !now.Before(s.until) {
			continue
		}
		counted := len(closed)
		closed = slices.DeleteFunc(closed, func(c basilwork.Crash) bool { return c.Uncertain && c.Attempt == s.ref.Attempt })
		if len(closed) < counted && s.until.After(until) {
			until = s.until
		}
	}
	if t.mayBeGivenUp(closed) {
		return time.Time{}
	}
	return until
}
