package basilqueue

import (
	"math/rand/v2"
	"time"
)

// Parameters of the wait time forecast.
const (
	minForecastSamples = 8      // observed runs of a class before its forecast rejects jobs
	marginIncrement    = 0.05   // added when a job is rejected late, after being queued
	marginDecrement    = 0.0005 // subtracted when a queued job is started
	maxMargin          = 4
	minRetryAfter      = 50 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
)

// forecastWait estimates how long a job of the class waits behind ahead others; ok is false without enough data.
func (s *scheduler) forecastWait(c Class, ahead int) (wait time.Duration, ok bool) {
	m := s.meanRunTimes[c]
	if m.samples < minForecastSamples {
		return 0, false
	}
	slots := s.concurrency(c)
	if slots == 0 {
		return 0, false
	}
	if c == ClassShort {
		ahead += s.classQueues[ClassUrgent].size
	}
	return time.Duration(m.value * float64(ahead+1) / float64(slots)), true
}

// concurrency returns how many of the running jobs free a slot for the class when they end.
func (s *scheduler) concurrency(c Class) int {
	if s.running == 0 {
		return 0
	}
	switch c {
	case ClassLong:
		return max(1, s.running*s.longPercent/100)
	case ClassUnproven:
		return max(1, s.running*unprovenPercent/100)
	default:
		return max(1, s.running-s.runningByClass[ClassLong]-s.runningByClass[ClassUnproven])
	}
}

// reachable reports whether the job can start in time behind the queued jobs, and if not, when to retry.
func (s *scheduler) reachable(w *waiter, now time.Time) (bool, time.Duration) {
	if w.late(now) && !w.ticket.Deadline.After(now) {
		return false, addJitter(minRetryAfter)
	}
	queue := &s.classQueues[w.class]
	wait, ok := s.forecastWait(w.class, queue.ahead(w))
	wait += time.Duration(float64(wait) * queue.forecastMargin)
	if !ok || !w.late(now.Add(wait)) {
		return true, 0
	}
	return false, s.retryAfter(w)
}

// retryAfter estimates when a job with the same time to its deadline could start in time.
func (s *scheduler) retryAfter(w *waiter) time.Duration {
	wait, _ := s.forecastWait(w.class, s.classQueues[w.class].size)
	if !w.latest.IsZero() {
		wait -= w.latest.Sub(w.arrived)
	}
	return addJitter(min(max(wait, minRetryAfter), maxRetryAfter))
}

// addJitter adds up to half of d at random, so that rejected callers don't retry at the same time.
func addJitter(d time.Duration) time.Duration { return d + rand.N(d/2) }

// unreachableWaiters returns the queued jobs that can no longer start in time.
func (s *scheduler) unreachableWaiters(now time.Time) []*waiter {
	var unreachable []*waiter
	for c := range s.classQueues {
		rounds := s.classQueues[c].jobsPerRounds()
		for _, t := range s.classQueues[c].teams {
			kept := 0
			t.waiting.each(func(w *waiter) {
				wait, _ := s.forecastWait(Class(c), rounds[kept])
				if w.late(now.Add(wait)) {
					unreachable = append(unreachable, w)
					return
				}
				kept++
			})
		}
	}
	return unreachable
}
