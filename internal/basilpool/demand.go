package basilpool

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Resolution and retention of a demand sketch.
const (
	demandUnit       = 1000 // units per host
	demandMax        = 20_000 * demandUnit
	demandDigits     = 2
	demandWindow     = 30 * time.Minute
	demandWindows    = 2 // number of windows kept
	demandMinHistory = 10 * time.Minute
)

// Quantiles that decisions use, in percent.
const (
	sustainedQuantile = 50   // of a pool's demand
	overflowQuantile  = 99.9 // of the demand beyond all pools' own hosts
)

// Demand is the demand at one moment, as a number of hosts.
type Demand struct {
	Pools    map[string]float64 // demand on the services of each pool
	Overflow float64            // sum over all pools of the demand beyond the pool's own hosts
}

// DemandSketch records the distribution of each pool's demand, and of the total demand beyond the pools' own hosts at the
// same moment. The zero value is ready to use.
type DemandSketch struct {
	started  time.Time
	rotated  time.Time
	pools    map[string]*hdrhistogram.WindowedHistogram
	overflow *hdrhistogram.WindowedHistogram
}

func newWindows() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(demandWindows, 1, demandMax, demandDigits)
}

// Observe adds a sample; samples should be taken at even intervals.
func (s *DemandSketch) Observe(d Demand, now time.Time) {
	if s.pools == nil {
		s.pools = make(map[string]*hdrhistogram.WindowedHistogram)
		s.overflow = newWindows()
		s.started = now
		s.rotated = now
	}
	if now.Sub(s.rotated) >= demandWindow {
		s.rotate(now)
	}
	for name, hosts := range d.Pools {
		if s.pools[name] == nil {
			s.pools[name] = newWindows()
		}
		recordDemand(s.pools[name], hosts)
	}
	recordDemand(s.overflow, d.Overflow)
}

func (s *DemandSketch) rotate(now time.Time) {
	s.rotated = now
	s.overflow.Rotate()
	for _, w := range s.pools {
		w.Rotate()
	}
}

func recordDemand(w *hdrhistogram.WindowedHistogram, hosts float64) {
	value := min(int64(max(hosts, 0)*demandUnit), demandMax)
	_ = w.Current.RecordValue(value) // can't fail: the value is within the limits
}

// HasHistory reports whether the samples reach back far enough to release hosts based on them.
func (s *DemandSketch) HasHistory(now time.Time) bool {
	return s != nil && !s.started.IsZero() && now.Sub(s.started) >= demandMinHistory
}

// Sustained returns the number of hosts that the pool needs at least half of the time.
func (s *DemandSketch) Sustained(pool string) int {
	return quantile(s.pools[pool], sustainedQuantile)
}

// Overflow returns the number of hosts that cover the demand beyond the pools' own hosts at almost all times.
func (s *DemandSketch) Overflow() int { return quantile(s.overflow, overflowQuantile) }

func quantile(w *hdrhistogram.WindowedHistogram, percent float64) int {
	if w == nil {
		return 0
	}
	return int(math.Ceil(float64(w.Merge().ValueAtQuantile(percent)) / demandUnit))
}
