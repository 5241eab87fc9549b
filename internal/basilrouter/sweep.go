package basilrouter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits of the comparison of members.
const (
	sweepInterval  = 500 * time.Millisecond
	sweepEarly     = 20 * time.Millisecond // after a streak of failures
	sweepPerMember = 10 * time.Microsecond // keeps the cost of sweeps of large pools small
	streakToSweep  = 5
	rateHalfLife   = 5 * time.Second
	minFailures    = 5
	minSamples     = 8
	ejectionMargin = 0.3 // failure rate above the pool's median
)

// failureRate holds decayed counts of attempts.
type failureRate struct{ answered, failed float64 }

func (r failureRate) samples() float64 { return r.answered + r.failed }

func (r failureRate) value() float64 { return r.failed / max(r.samples(), 1) }

// sweep compares the members of one pool from time to time.
type sweep struct {
	rates     []float64
	latencies []int64
	suspects  []*member
}

// maybeSweep sweeps if it is due and nobody else is at it.
func (p *pool) maybeSweep(now int64, m *member) {
	v := p.view.Load()
	interval := int64(sweepInterval)
	if m.health.streak.Load() >= streakToSweep && !m.health.ejected() {
		interval = int64(sweepEarly)
	}
	interval = max(interval, int64(len(v.all))*int64(sweepPerMember))
	if now-p.sweptAt.Load() < interval || !p.sweeping.TryLock() {
		return
	}
	defer p.sweeping.Unlock()
	p.runSweep(p.view.Load(), now)
}

// runSweep folds the counts in, takes the medians and ejects what stands out.
func (p *pool) runSweep(v *poolView, now int64) {
	s := &p.sweep
	decay := math.Exp2(-float64(now-p.sweptAt.Swap(now)) / float64(rateHalfLife))
	s.rates, s.latencies, s.suspects = s.rates[:0], s.latencies[:0], s.suspects[:0]
	ejected := 0
	for _, m := range v.all {
		m.health.fold(decay)
		if m.health.ejected() {
			ejected++
			continue
		}
		s.add(m)
	}
	if len(s.latencies) > 0 {
		p.typical.Store(lowerMedian(s.latencies))
	}
	s.eject(now, p.maxEjected(len(v.all))-ejected)
}

func (s *sweep) add(m *member) {
	if l := m.latency.value.Load(); l > 0 {
		s.latencies = append(s.latencies, l)
	}
	r := m.health.rate
	if r.samples() < minSamples {
		return
	}
	s.rates = append(s.rates, r.value())
	if r.failed >= minFailures {
		s.suspects = append(s.suspects, m)
	}
}

// eject ejects the worst members that stand out against the median, up to room.
func (s *sweep) eject(now int64, room int) {
	if len(s.suspects) == 0 || room <= 0 {
		return
	}
	bar := lowerMedian(s.rates) + ejectionMargin
	slices.SortFunc(s.suspects, func(a, b *member) int {
		return cmp.Compare(b.health.rate.value(), a.health.rate.value())
	})
	for _, m := range s.suspects[:min(room, len(s.suspects))] {
		if m.health.rate.value() < bar {
			return
		}
		m.health.eject(now)
		m.health.rate = failureRate{}
	}
}

func (h *health) fold(decay float64) {
	h.rate.answered = h.rate.answered*decay + float64(h.answered.Swap(0))
	h.rate.failed = h.rate.failed*decay + float64(h.failed.Swap(0))
}

// maxEjected returns how many of so many members may be ejected at once.
func (p *pool) maxEjected(members int) int {
	return members * p.policy.maxEjectedPercent / 100
}

func lowerMedian[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
