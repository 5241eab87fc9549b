package basilrouter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the comparison between the members of a service.
const (
	sweepInterval          = 500 * time.Millisecond
	earlySweepInterval     = 20 * time.Millisecond // interval while a member has a streak of failures
	sweepIntervalPerMember = 10 * time.Microsecond // lower bound of the interval, limits the cost of sweeping large pools
	earlySweepStreak       = 5
	failureRateHalfLife    = 5 * time.Second
	ejectionMinFailures    = 5
	failureRateMinSamples  = 8
	ejectionMargin         = 0.3 // required excess over the median failure rate
)

// failureRate holds exponentially decayed counts of attempts.
type failureRate struct{ answered, failed float64 }

func (r failureRate) samples() float64 { return r.answered + r.failed }

func (r failureRate) value() float64 { return r.failed / max(r.samples(), 1) }

// outlierSweep holds the working data of the periodic comparison of members, reused between sweeps.
type outlierSweep struct {
	rates     []float64
	latencies []int64
	suspects  []*member
}

// maybeSweep runs a sweep if one is due and none is in progress.
func (p *servicePool) maybeSweep(now int64, m *member) {
	members := p.snapshot.Load()
	interval := int64(sweepInterval)
	if m.health.failureStreak.Load() >= earlySweepStreak && !m.health.ejected() {
		interval = int64(earlySweepInterval)
	}
	interval = max(interval, int64(len(members.all))*int64(sweepIntervalPerMember))
	if now-p.sweptAt.Load() < interval || !p.sweepMu.TryLock() {
		return
	}
	defer p.sweepMu.Unlock()
	p.runSweep(p.snapshot.Load(), now)
}

// runSweep updates the failure rates and the median latency, and ejects outliers.
func (p *servicePool) runSweep(members *poolMembers, now int64) {
	s := &p.sweep
	decay := math.Exp2(-float64(now-p.sweptAt.Swap(now)) / float64(failureRateHalfLife))
	s.rates, s.latencies, s.suspects = s.rates[:0], s.latencies[:0], s.suspects[:0]
	ejected := 0
	for _, m := range members.all {
		m.health.updateRate(decay)
		if m.health.ejected() {
			ejected++
			continue
		}
		s.add(m)
	}
	if len(s.latencies) > 0 {
		p.medianLatency.Store(lowerMedian(s.latencies))
	}
	s.eject(now, p.maxEjected(len(members.all))-ejected)
}

func (s *outlierSweep) add(m *member) {
	if l := m.latency.value.Load(); l > 0 {
		s.latencies = append(s.latencies, l)
	}
	r := m.health.rate
	if r.samples() < failureRateMinSamples {
		return
	}
	s.rates = append(s.rates, r.value())
	if r.failed >= ejectionMinFailures {
		s.suspects = append(s.suspects, m)
	}
}

// eject ejects at most room members whose failure rate exceeds the median by ejectionMargin, the worst first.
func (s *outlierSweep) eject(now int64, room int) {
	if len(s.suspects) == 0 || room <= 0 {
		return
	}
	threshold := lowerMedian(s.rates) + ejectionMargin
	slices.SortFunc(s.suspects, func(a, b *member) int {
		return cmp.Compare(b.health.rate.value(), a.health.rate.value())
	})
	for _, m := range s.suspects[:min(room, len(s.suspects))] {
		if m.health.rate.value() < threshold {
			return
		}
		m.health.eject(now)
		m.health.rate = failureRate{}
	}
}

// updateRate decays the failure rate and adds the counts since the last sweep.
func (h *health) updateRate(decay float64) {
	h.rate.answered = h.rate.answered*decay + float64(h.answered.Swap(0))
	h.rate.failed = h.rate.failed*decay + float64(h.failed.Swap(0))
}

// maxEjected returns how many of the given number of members may be ejected at once.
func (p *servicePool) maxEjected(members int) int {
	return members * p.policy.maxEjectedPercent / 100
}

func lowerMedian[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
