package basilpool

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of what a demand sketch keeps.
const (
	demandUnit    = 1000 // parts of a host
	demandMax     = 20_000 * demandUnit
	demandDigits  = 2
	demandWindow  = 30 * time.Minute
	demandWindows = 2 // how many are kept
	demandLearnt  = 10 * time.Minute
)

// Quantiles that decisions use, in percent.
const (
	sustainedQuantile = 50   // of a pool's demand
	overflowQuantile  = 99.9 // of the demand beyond all pools' own hosts
)

// Demand is what was asked at one moment, in hosts' worth of work.
type Demand struct {
	Pools    map[string]float64 // asked of the services of each pool
	Overflow float64            // the sum of what exceeded each pool's own hosts
}

// DemandSketch learns from samples how much work each pool is asked for and how
// much of it exceeds the pools' own hosts at the same moment. Its zero value works.
type DemandSketch struct {
	started  time.Time
	rotated  time.Time
	pools    map[string]*hdrhistogram.WindowedHistogram
	overflow *hdrhistogram.WindowedHistogram
}

func newWindows() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(demandWindows, 1, demandMax, demandDigits)
}

// Observe adds a sample; samples should come at even intervals.
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
		record(s.pools[name], hosts)
	}
	record(s.overflow, d.Overflow)
}

func (s *DemandSketch) rotate(now time.Time) {
	s.rotated = now
	s.overflow.Rotate()
	for _, w := range s.pools {
		w.Rotate()
	}
}

func record(w *hdrhistogram.WindowedHistogram, hosts float64) {
	value := min(int64(max(hosts, 0)*demandUnit), demandMax)
	_ = w.Current.RecordValue(value) // within the limits by construction
}

// Learnt tells whether the samples reach back far enough to take hosts away on their word.
func (s *DemandSketch) Learnt(now time.Time) bool {
	return s != nil && !s.started.IsZero() && now.Sub(s.started) >= demandLearnt
}

// Sustained returns how many hosts the pool is asked for at least half of the time.
func (s *DemandSketch) Sustained(pool string) int {
	return quantile(s.pools[pool], sustainedQuantile)
}

// Overflow returns how many hosts cover what exceeds the pools' own at almost all times.
func (s *DemandSketch) Overflow() int { return quantile(s.overflow, overflowQuantile) }

func quantile(w *hdrhistogram.WindowedHistogram, percent float64) int {
	if w == nil {
		return 0
	}
	return int(math.Ceil(float64(w.Merge().ValueAtQuantile(percent)) / demandUnit))
}
