package basilrouter

import (
	"sync/atomic"
	"time"
)

const (
	latencyDecay   = 5 * time.Second
	latencyInitial = 10 * time.Millisecond
	penaltyDecay   = 5 * time.Second
	penaltyInitial = 3 * milli  // thousandths of the latency, added by the first failure
	penaltyGrowth  = 2          // factor for each further failure
	penaltyMax     = 63 * milli // thousandths of the latency
)

// peakLatency is a peak-sensitive moving average: it adopts a higher latency at once and decays slowly to a lower one.
type peakLatency struct {
	value      atomic.Int64 // nanoseconds; 0 if unknown
	observedAt atomic.Int64 // Unix nanoseconds of the last observation
}

// observe adds one latency measurement.
func (l *peakLatency) observe(now, latency int64) {
	old := l.value.Load()
	last := l.observedAt.Swap(now)
	if latency >= old {
		l.value.Store(latency)
		return
	}
	l.value.Store(latency + decayed(old-latency, now-last, latencyDecay))
}

// estimate returns the expected latency, or the typical one if none was measured.
// A value above the typical latency decays towards it while there are no new measurements.
func (l *peakLatency) estimate(now, typical int64) int64 {
	v := l.value.Load()
	if v == 0 {
		return typical
	}
	if v <= typical {
		return v
	}
	return typical + decayed(v-typical, now-l.observedAt.Load(), latencyDecay)
}

func (l *peakLatency) reset() { l.value.Store(0) }

// penalty is the share that failures add to a member's cost; it decays over time.
type penalty struct {
	value    atomic.Int64 // thousandths of the latency
	failedAt atomic.Int64 // Unix nanoseconds of the last failure
}

func (p *penalty) add(now int64) {
	v := max(penaltyInitial, p.current(now)*penaltyGrowth)
	p.value.Store(min(v, penaltyMax))
	p.failedAt.Store(now)
}

func (p *penalty) current(now int64) int64 {
	v := p.value.Load()
	if v == 0 {
		return 0
	}
	return decayed(v, now-p.failedAt.Load(), penaltyDecay)
}

func (p *penalty) reset() { p.value.Store(0) }

// decayed reduces a value hyperbolically: it is halved once the elapsed time equals the time constant.
func decayed(value, elapsed int64, timeConstant time.Duration) int64 {
	tau := float64(timeConstant)
	return int64(float64(value) * tau / (tau + float64(max(elapsed, 0))))
}
