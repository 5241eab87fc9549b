package basilqueue

import (
	"math"
	"time"
)

// Shape of a sketch.
const (
	sketchBuckets   = 128
	sketchPerOctave = 4
	sketchUnit      = 100 * time.Microsecond // upper edge of the first bucket
	sketchMemory    = 1024                   // runs after which older ones count half
	sketchRefresh   = 16                     // runs between two looks at the quantiles
)

// sketch estimates quantiles of recent run times to within a fifth; its zero value is empty.
type sketch struct {
	counts  [sketchBuckets]float32
	total   float32
	samples int // ever taken in
	median  time.Duration
}

func (s *sketch) observe(d time.Duration) {
	s.counts[bucketOf(d)]++
	s.total++
	s.samples++
	if s.total >= sketchMemory {
		s.halve()
	}
	if s.samples <= sketchRefresh || s.samples%sketchRefresh == 0 {
		s.median = s.quantile(0.5)
	}
}

func (s *sketch) halve() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// quantile returns the upper edge of the bucket that holds the quantile, or 0 for no runs.
func (s *sketch) quantile(q float32) time.Duration {
	if s.total == 0 {
		return 0
	}
	sum := float32(0)
	for i, c := range s.counts {
		sum += c
		if sum >= q*s.total {
			return edgeOf(i)
		}
	}
	return edgeOf(sketchBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= sketchUnit {
		return 0
	}
	b := math.Ceil(math.Log2(float64(d)/float64(sketchUnit)) * sketchPerOctave)
	return min(int(b), sketchBuckets-1)
}

func edgeOf(bucket int) time.Duration {
	return time.Duration(float64(sketchUnit) * math.Exp2(float64(bucket)/sketchPerOctave))
}
