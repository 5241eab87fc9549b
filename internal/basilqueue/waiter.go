package basilqueue

import "time"

// waiter is one job in line.
type waiter struct {
	ticket   Ticket
	kind     *kindRuns
	nature   Class // by run time
	class    Class // the lane: the nature, or urgent
	sequence uint64
	arrived  time.Time
	latest   time.Time     // start after which the deadline can't be met; zero is none
	cost     time.Duration // slot time that the team is charged
	flow     *flow
	outcome  chan verdict // takes one verdict
}

// verdict ends a wait: with a pass, or with a refusal.
type verdict struct {
	pass *Pass
	err  error
}

// before orders by the earliest deadline, those without one last.
func (w *waiter) before(o *waiter) bool {
	a, b := w.ticket.Deadline, o.ticket.Deadline
	if a.Equal(b) {
		return w.sequence < o.sequence
	}
	if a.IsZero() || b.IsZero() {
		return b.IsZero()
	}
	return a.Before(b)
}

// late tells whether a start at that time would miss the deadline.
func (w *waiter) late(start time.Time) bool {
	return !w.latest.IsZero() && start.After(w.latest)
}

// aged tells whether the job has waited for so long that it goes before short ones.
func (w *waiter) aged(now time.Time) bool {
	waited := now.Sub(w.arrived)
	if w.latest.IsZero() {
		return waited >= ageLimit
	}
	return waited >= w.latest.Sub(w.arrived)/ageFraction
}
