package basilscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	slowFactor         = 4.0                    // users call a backend server slow if it takes this many times as long
	slowThreshold      = 2.5                    // logarithm of the odds above which a backend server is considered slow
	maxObservationOdds = 1.5                    // limit per observation: 3% of the jobs take far longer on any backend server
	maxOdds            = 4.0                    // upper limit, so that a few normal runs clear a backend server
	minOdds            = -1.0                   // lower limit, so that slowness is detected within a few jobs
	maxDeviations      = 2.0                    // standard deviations to which outliers are clipped when learning
	slowRetryDelay     = 6 * time.Second        // before a slow backend server is tried again
	initialDeviation   = 0.5                    // standard deviation of log(run time / estimate) before any run was observed
	minDeviation       = 0.15                   // lower limit for the standard deviation; unequal tasks alone cause this much
	spreadLearnWeight  = 0.05                   // weight of a new observation
	minProjectPercent  = 10                     // minimum progress for projecting a run time
	minProjectTime     = 300 * time.Millisecond // minimum elapsed time for it, since the start itself takes part of the time
	compareInterval    = 100 * time.Millisecond // only a few runs end in this time, each limited to maxObservationOdds
	moveCost           = 400 * time.Millisecond // of a stop, a start and the work lost since the last checkpoint
)

// runTimeSpread is the distribution of log(run time / estimate) in a queue.
type runTimeSpread struct {
	mean, variance float64
	known          bool
}

func (s *runTimeSpread) learn(x float64) {
	if !s.known {
		s.known, s.variance = true, initialDeviation*initialDeviation
	}
	limit := maxDeviations * math.Sqrt(s.variance)
	d := min(max(x-s.mean, -limit), limit)
	s.mean += spreadLearnWeight * d
	s.variance += spreadLearnWeight * (d*d - s.variance)
}

// odds returns the logarithm of the likelihood ratio of the run time on a slow and on a normal backend server.
func (s *runTimeSpread) odds(x float64) float64 {
	variance := initialDeviation * initialDeviation
	if s.known {
		variance = max(s.variance, minDeviation*minDeviation)
	}
	shift := math.Log(slowFactor)
	return min(max(((x-s.mean)*shift-shift*shift/2)/variance, -maxObservationOdds), maxObservationOdds)
}

// slow reports whether runs take much longer on the backend server than on most others. If they take longer on most
// backend servers, the estimates are wrong instead.
func (p *Pool) slow(b *backend, now time.Time) bool {
	return now.Before(b.slowUntil) && b.slowOdds-p.medianOdds > slowThreshold
}

// updateMedianOdds recomputes the median odds at most once per compareInterval.
func (p *Pool) updateMedianOdds(now time.Time) {
	if now.Sub(p.comparedAt) < compareInterval {
		return
	}
	p.comparedAt = now
	odds := make([]float64, 0, len(p.list))
	for _, b := range p.list {
		if b.usable(now) {
			odds = append(odds, b.slowOdds)
		}
	}
	p.medianOdds = 0
	if len(odds) > 0 {
		slices.Sort(odds)
		p.medianOdds = odds[(len(odds)-1)/2]
	}
}

// observe updates the odds of a backend server from the total run time of a run, which may be a projection. Only the first
// run of a step per backend server counts, since all tasks of the step share one estimate.
func (p *Pool) observe(r *run, took time.Duration, now time.Time) {
	s, b := r.task.step, r.backend
	if s.spec.Estimate <= 0 || s.spec.LongRunning || took <= 0 || r.pace < fullPace || s.speedObserved[b.ID] {
		return
	}
	if s.speedObserved == nil {
		s.speedObserved = make(map[string]bool)
	}
	s.speedObserved[b.ID] = true
	queue := s.occurrence.job.record.Job.QueueKey()
	spread := p.spreads[queue]
	if spread == nil {
		spread = &runTimeSpread{}
		p.spreads[queue] = spread
	}
	x := math.Log(float64(took) / float64(s.spec.Estimate))
	b.slowOdds = min(max(b.slowOdds+spread.odds(x), minOdds), maxOdds)
	spread.learn(x)
	switch {
	case b.slowOdds > slowThreshold:
		b.slowUntil = now.Add(slowRetryDelay)
		p.actions.Slow = append(p.actions.Slow, Slowness{Backend: b.ID, Odds: b.slowOdds, Took: took, Estimate: s.spec.Estimate})
	case b.slowOdds < 0:
		b.slowUntil = time.Time{}
	}
}

// projectedRunTime extrapolates the total run time of the run from its progress; it returns zero if that isn't possible.
func (r *run) projectedRunTime() time.Duration {
	passed := r.listedAt.Sub(r.answeredAt)
	if r.percent < minProjectPercent || passed < minProjectTime || r.resumed {
		return 0
	}
	return passed * 100 / time.Duration(r.percent)
}

// fasterElsewhere reports whether the run is on a slow backend server and would end sooner if restarted on another one.
func (p *Pool) fasterElsewhere(r *run, now time.Time) bool {
	s := r.task.step
	if !p.slow(r.backend, now) {
		return false
	}
	r.backend.scheduleCheck(now.Add(recheckInterval))
	if s.spec.LongRunning || s.spec.Gang || r.pace < fullPace {
		return false
	}
	total := r.projectedRunTime()
	return total > 0 && total-now.Sub(r.answeredAt) > p.expectedRunTime(s)+moveCost && p.fitsElsewhere(r, false, now)
}
