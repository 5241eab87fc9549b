package basilscheduler

import (
	"math"
	"slices"
	"time"
)

const (
	slowTimes      = 4.0                    // as long as on a sound backend server: the users' slow ones
	slowSure       = 2.5                    // logarithm of the odds from which a backend server is taken to be slow
	oddsOnce       = 1.5                    // most that one job counts: 3 in 100 take far longer wherever they run
	oddsMost       = 4.0                    // so that a few sound runs clear a backend server again
	oddsLeast      = -1.0                   // so that a spell of slowness shows within a few jobs
	learnWithin    = 2.0                    // standard deviations; what lies farther off counts as that
	slowPause      = 6 * time.Second        // before a slow backend server is tried again
	spreadAtFirst  = 0.5                    // of the logarithm of run time over estimate, until it is learned
	spreadLeast    = 0.15                   // likewise; uneven tasks alone make as much
	spreadWeight   = 0.05                   // of a new run in what is learned
	projectPercent = 10                     // least progress from which a run time is projected
	projectTime    = 300 * time.Millisecond // least time likewise: the start itself takes some of it
	compareEvery   = 100 * time.Millisecond // a few runs end meanwhile, of which each counts oddsOnce at most
	moveCost       = 400 * time.Millisecond // of a stop, a start and what is lost between checkpoints
)

// spread is how the run times of a queue's tasks lie about their estimates, as logarithms.
type spread struct {
	mean, variance float64
	known          bool
}

func (s *spread) learn(x float64) {
	if !s.known {
		s.known, s.variance = true, spreadAtFirst*spreadAtFirst
	}
	most := learnWithin * math.Sqrt(s.variance)
	d := min(max(x-s.mean, -most), most)
	s.mean += spreadWeight * d
	s.variance += spreadWeight * (d*d - s.variance)
}

// odds returns the logarithm of how much likelier the run time is on a slow backend server than on a sound one.
func (s *spread) odds(x float64) float64 {
	variance := spreadAtFirst * spreadAtFirst
	if s.known {
		variance = max(s.variance, spreadLeast*spreadLeast)
	}
	shift := math.Log(slowTimes)
	return min(max(((x-s.mean)*shift-shift*shift/2)/variance, -oddsOnce), oddsOnce)
}

// slow tells whether runs take far longer at the backend server than at most others. Where they do at all, it is the
// estimates that are wrong.
func (p *Pool) slow(b *backend, now time.Time) bool {
	return now.Before(b.slowUntil) && b.odds-p.typicalOdds > slowSure
}

// compareSpeeds works out the odds that most backend servers do not exceed, once in a while.
func (p *Pool) compareSpeeds(now time.Time) {
	if now.Sub(p.compared) < compareEvery {
		return
	}
	p.compared = now
	odds := make([]float64, 0, len(p.list))
	for _, b := range p.list {
		if b.usable(now) {
			odds = append(odds, b.odds)
		}
	}
	p.typicalOdds = 0
	if len(odds) > 0 {
		slices.Sort(odds)
		p.typicalOdds = odds[(len(odds)-1)/2]
	}
}

// observe takes in how long a run takes in all, as far as is known. Of a step's tasks at a backend server only the
// first one counts, for one estimate is of all of them.
func (p *Pool) observe(r *run, took time.Duration, now time.Time) {
	s, b := r.task.step, r.backend
	if s.spec.Estimate <= 0 || s.spec.LongRunning || took <= 0 || r.pace < fullPace || s.observed[b.ID] {
		return
	}
	if s.observed == nil {
		s.observed = make(map[string]bool)
	}
	s.observed[b.ID] = true
	queue := s.occurrence.job.record.Job.Queue
	known := p.spreads[queue]
	if known == nil {
		known = &spread{}
		p.spreads[queue] = known
	}
	x := math.Log(float64(took) / float64(s.spec.Estimate))
	b.odds = min(max(b.odds+known.odds(x), oddsLeast), oddsMost)
	known.learn(x)
	switch {
	case b.odds > slowSure:
		b.slowUntil = now.Add(slowPause)
		p.actions.Slow = append(p.actions.Slow, Slowness{Backend: b.ID, Odds: b.odds, Took: took, Estimate: s.spec.Estimate})
	case b.odds < 0:
		b.slowUntil = time.Time{}
	}
}

// projected returns how long the run is going to take in all if it goes on as it did, zero when that is not known.
func (r *run) projected() time.Duration {
	passed := r.listed.Sub(r.answered)
	if r.percent < projectPercent || passed < projectTime || r.resumed {
		return 0
	}
	return passed * 100 / time.Duration(r.percent)
}

// crawls tells whether the run, at a slow backend server, would end sooner if it were started anew elsewhere.
func (p *Pool) crawls(r *run, now time.Time) bool {
	s := r.task.step
	if !p.slow(r.backend, now) {
		return false
	}
	r.backend.tendLater(now.Add(tendEvery))
	if s.spec.LongRunning || s.spec.Gang || r.pace < fullPace {
		return false
	}
	whole := r.projected()
	return whole > 0 && whole-now.Sub(r.answered) > p.length(s)+moveCost && p.elsewhere(r, false, now)
}
