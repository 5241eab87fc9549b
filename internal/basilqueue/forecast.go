package basilqueue

import (
	"math/rand/v2"
	"time"
)

// Limits of the forecast.
const (
	forecastSamples = 8      // runs of a class before its forecast refuses anything
	marginUp        = 0.05   // for a job that was let in and refused late
	marginDown      = 0.0005 // for a job that was sent
	maxMargin       = 4
	minRetryAfter   = 50 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
)

// wait predicts how long a job waits behind so many others of its class; ok is false when nothing is known.
func (l *line) wait(c Class, ahead int) (wait time.Duration, ok bool) {
	m := l.means[c]
	if m.samples < forecastSamples {
		return 0, false
	}
	places := l.places(c)
	if places == 0 {
		return 0, false
	}
	if c == ClassShort {
		ahead += l.lanes[ClassUrgent].size
	}
	return time.Duration(m.value * float64(ahead+1) / float64(places)), true
}

// places returns how many running jobs make room for the class when they end.
func (l *line) places(c Class) int {
	if l.running == 0 {
		return 0
	}
	switch c {
	case ClassLong:
		return max(1, l.running*l.longPercent/100)
	case ClassUnproven:
		return max(1, l.running*unprovenPercent/100)
	default:
		return max(1, l.running-l.started[ClassLong]-l.started[ClassUnproven])
	}
}

// reachable tells whether the job can start in time behind what is in line, and if not when to come back.
func (l *line) reachable(w *waiter, now time.Time) (bool, time.Duration) {
	if w.late(now) && !w.ticket.Deadline.After(now) {
		return false, spread(minRetryAfter)
	}
	a := &l.lanes[w.class]
	wait, ok := l.wait(w.class, a.ahead(w))
	wait += time.Duration(float64(wait) * a.margin)
	if !ok || !w.late(now.Add(wait)) {
		return true, 0
	}
	return false, l.retryAfter(w)
}

// retryAfter predicts when a job like this one could start by its deadline.
func (l *line) retryAfter(w *waiter) time.Duration {
	wait, _ := l.wait(w.class, l.lanes[w.class].size)
	if !w.latest.IsZero() {
		wait -= w.latest.Sub(w.arrived)
	}
	return spread(min(max(wait, minRetryAfter), maxRetryAfter))
}

// spread adds up to a half at random, so that refused callers don't come back together.
func spread(d time.Duration) time.Duration { return d + rand.N(d/2) }

// doomed returns the waiting jobs that can't start in time any more.
func (l *line) doomed(now time.Time) []*waiter {
	var found []*waiter
	for c := range l.lanes {
		turns := l.lanes[c].turns()
		for _, f := range l.lanes[c].flows {
			kept := 0
			f.waiting.each(func(w *waiter) {
				wait, _ := l.wait(Class(c), turns[kept])
				if w.late(now.Add(wait)) {
					found = append(found, w)
					return
				}
				kept++
			})
		}
	}
	return found
}
