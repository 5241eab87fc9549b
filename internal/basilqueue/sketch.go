package basilqueue

import (
	"math"
	"time"
)

// Parameters of a sketch.
const (
	sketchBuckets        = 128
	sketchPerOctave      = 4
	sketchUnit           = 100 * time.Microsecond // upper bound of the first bucket
	sketchMaxWeight      = 1024                   // total weight at which all weights are halved
	sketchMedianInterval = 16                     // runs between updates of the median
)

// sketch estimates quantiles of recent run times to within 20%; the zero value is empty.
type sketch struct {
	counts  [sketchBuckets]float32
	total   float32
	samples int // all observed runs, not decayed
	median  time.Duration
}

func (s *sketch) observe(d time.Duration) {
	s.counts[bucketOf(d)]++
	s.total++
	s.samples++
	if s.total >= sketchMaxWeight {
		s.halve()
	}
	if s.samples <= sketchMedianInterval || s.samples%sketchMedianInterval == 0 {
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

// quantile returns the upper bound of the bucket that holds the quantile, or 0 without runs.
func (s *sketch) quantile(rank float32) time.Duration {
	if s.total == 0 {
		return 0
	}
	sum := float32(0)
	for i, c := range s.counts {
		sum += c
		if sum >= rank*s.total {
			return upperBoundOf(i)
		}
	}
	return upperBoundOf(sketchBuckets - 1)
}

func bucketOf(d time.Duration) int {
	if d <= sketchUnit {
		return 0
	}
	b := math.Ceil(math.Log2(float64(d)/float64(sketchUnit)) * sketchPerOctave)
	return min(int(b), sketchBuckets-1)
}

func upperBoundOf(bucket int) time.Duration {
	return time.Duration(float64(sketchUnit) * math.Exp2(float64(bucket)/sketchPerOctave))
}
