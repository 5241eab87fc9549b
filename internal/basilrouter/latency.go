package basilrouter

import (
	"sync/atomic"
	"time"
)

const (
	latencyDecay   = 5 * time.Second
	latencyInitial = 10 * time.Millisecond
	penaltyDecay   = 5 * time.Second
	penaltyFirst   = 3 * milli  // thousandths of the latency, added for a first failure
	penaltyGrowth  = 2          // for each further one
	penaltyMax     = 63 * milli // thousandths of the latency
)

// peakLatency is a moving average that follows a rise at once and a fall slowly.
type peakLatency struct {
	value atomic.Int64 // nanoseconds; 0 is unknown
	at    atomic.Int64 // Unix nanoseconds of the last observation
}

// observe takes one latency in.
func (l *peakLatency) observe(now, latency int64) {
	old := l.value.Load()
	last := l.at.Swap(now)
	if latency >= old {
		l.value.Store(latency)
		return
	}
	l.value.Store(latency + decayed(old-latency, now-last, latencyDecay))
}

// estimate returns the latency to expect, or the typical one if none was seen.
func (l *peakLatency) estimate(now, typical int64) int64 {
	v := l.value.Load()
	if v == 0 {
		return typical
	}
	if v <= typical {
		return v
	}
	return typical + decayed(v-typical, now-l.at.Load(), latencyDecay)
}

func (l *peakLatency) reset() { l.value.Store(0) }

// penalty is what failures add to a member's cost; it falls with time.
type penalty struct {
	value atomic.Int64 // thousandths of the latency
	at    atomic.Int64 // Unix nanoseconds of the last failure
}

func (p *penalty) add(now int64) {
	v := max(penaltyFirst, p.current(now)*penaltyGrowth)
	p.value.Store(min(v, penaltyMax))
	p.at.Store(now)
}

func (p *penalty) current(now int64) int64 {
	v := p.value.Load()
	if v == 0 {
		return 0
	}
	return decayed(v, now-p.at.Load(), penaltyDecay)
}

func (p *penalty) reset() { p.value.Store(0) }

// decayed shrinks an excess by the time that passed.
func decayed(excess, elapsed int64, over time.Duration) int64 {
	tau := float64(over)
	return int64(float64(excess) * tau / (tau + float64(max(elapsed, 0))))
}
