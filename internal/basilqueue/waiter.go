package basilqueue

import "time"

// waiter is one queued job.
type waiter struct {
	ticket       JobRequest
	kind         *kindStats
	runTimeClass Class
	class        Class // queue that it waits in: the run time class, or urgent
	sequence     uint64
	arrived      time.Time
	latest       time.Time     // latest start that meets the deadline; zero means no deadline
	cost         time.Duration // slot time charged to the team
	teamQueue    *teamQueue
	result       chan result // buffered; receives one result
}

// result is the outcome of a wait: a pass, or the error that rejects the job.
type result struct {
	pass *Pass
	err  error
}

// before orders jobs by deadline, those without one last, and then by arrival.
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

// late reports whether a start at the given time would miss the deadline.
func (w *waiter) late(start time.Time) bool {
	return !w.latest.IsZero() && start.After(w.latest)
}

// aged reports whether the job has waited long enough to precede short jobs.
func (w *waiter) aged(now time.Time) bool {
	waited := now.Sub(w.arrived)
	if w.latest.IsZero() {
		return waited >= agedWaitNoDeadline
	}
	return waited >= w.latest.Sub(w.arrived)/agedWaitDivisor
}
