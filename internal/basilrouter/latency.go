package basilrouter

import (
	"sync/atomic"
	"time"
)

const (
	latencyDecay       = 5 * time.Second
	latencyInitial     = 10 * time.Millisecond
	latencyMax         = 10 * time.Second
	failurePenalty     = 4  // times the pool's typical latency, for a first failure
	failurePenaltyStep = 2  // times the present estimate, for each further one
	failurePenaltyMax  = 64 // times the pool's typical latency
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
	l.value.Store(latency + decayed(old-latency, now-last))
}

// estimate returns the latency to expect, or the typical one if none was seen.
func (l *peakLatency) estimate(now, typical int64) int64 {
	v := l.value.Load()
	if v <= typical {
		if v == 0 {
			return typical
		}
		return v
	}
	return typical + decayed(v-typical, now-l.at.Load())
}

// decayed shrinks an excess by the time that passed.
func decayed(excess, elapsed int64) int64 {
	const tau = float64(latencyDecay)
	return int64(float64(excess) * tau / (tau + float64(max(elapsed, 0))))
}

// penalise takes a failure in, whatever time it took.
func (l *peakLatency) penalise(now, latency, typical int64) {
	worse := max(l.value.Load()*failurePenaltyStep, typical*failurePenalty)
	worse = min(worse, typical*failurePenaltyMax)
	l.observe(now, min(max(latency, worse), int64(latencyMax)))
}

func (l *peakLatency) reset() { l.value.Store(0) }
