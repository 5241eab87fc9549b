package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// lateStart is a start that had no answer when its backend server was given up. Its deadline has passed by then, but not on the clock of an
// incarnation that began under the same ID unseen and received the start: that one may still carry it out.
type lateStart struct {
	ref             Ref
	repeated        bool      // several requests were sent
	until           time.Time // when it can't be carried out any more
	stopRequestedAt time.Time
}

// recordLateStarts notes which runs of a backend server that is given up have starts without an answer.
func (p *Pool) recordLateStarts(runs []*run, now time.Time) {
	for _, r := range runs {
		l := lateStart{ref: r.ref(), repeated: r.repeats > 0, until: r.orderedAt.Add(basilwork.MaxOrderDelay)}
		if l.repeated {
			l.until = r.repeatedAt.Add(basilwork.MaxOrderDelay)
		}
		if r.phase == phaseStarting || r.phase == phaseUnanswered || l.repeated && now.Before(l.until) {
			p.lateStarts = append(p.lateStarts, l)
		}
	}
}

// stopLateStarts stops the late starts on backend servers that answer again, so that these refuse them.
func (p *Pool) stopLateStarts(now time.Time) {
	p.lateStarts = slices.DeleteFunc(p.lateStarts, func(s lateStart) bool { return !now.Before(s.until) || p.findRun(s.ref) != nil })
	for n := range p.lateStarts {
		s := &p.lateStarts[n]
		b := p.backends[s.ref.Backend]
		if b == nil || !b.attached {
			continue
		}
		if now.Sub(s.stopRequestedAt) >= stopRetryInterval {
			s.stopRequestedAt = now
			p.actions.Stops = append(p.actions.Stops, Stop{Ref: s.ref, Reason: "start may be carried out late"})
		}
		p.wakeAt(s.stopRequestedAt.Add(stopRetryInterval))
	}
}

// forgetRefusedStart records that a start won't be carried out late, as it was refused. Of several requests the others may be.
func (p *Pool) forgetRefusedStart(ref Ref) {
	p.lateStarts = slices.DeleteFunc(p.lateStarts, func(s lateStart) bool { return s.ref == ref && !s.repeated })
}

// forgetLateStart records that a start won't be carried out late, as the backend server has answered its stop.
func (p *Pool) forgetLateStart(ref Ref) {
	p.lateStarts = slices.DeleteFunc(p.lateStarts, func(s lateStart) bool { return s.ref == ref })
}
