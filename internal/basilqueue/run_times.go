package basilqueue

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Parameters of the classification by run time.
const (
	longFactor         = 8    // a run is long from this multiple of the service's median run time
	longShareThreshold = 0.25 // a kind is long from this share of long runs
	longShareDecay     = 1.0 / 32
	minKindSamples     = 4 // observed runs before a kind is no longer unproven
	minServiceSamples  = 16
	maxKinds           = 2048 // tracked per service
)

// kindStats holds the run time statistics of one kind of job.
type kindStats struct {
	runs      sketch
	longShare float64 // moving average of the share of long runs
}

// runTimes holds the run time statistics of one service.
type runTimes struct {
	all   sketch
	kinds *simplelru.LRU[string, *kindStats]
}

func newRunTimes() *runTimes {
	kinds, _ := simplelru.NewLRU[string, *kindStats](maxKinds, nil) // fails only for sizes below 1
	return &runTimes{kinds: kinds}
}

// longThreshold returns the run time from which a run is long, and whether enough runs were observed.
func (t *runTimes) longThreshold() (time.Duration, bool) {
	return longFactor * t.all.median, t.all.samples >= minServiceSamples
}

// kind returns the statistics of the kind, which are created if missing.
func (t *runTimes) kind(name string) *kindStats {
	k, ok := t.kinds.Get(name)
	if !ok {
		k = &kindStats{}
		t.kinds.Add(name, k)
	}
	return k
}

func (t *runTimes) observe(k *kindStats, ran time.Duration) {
	threshold, known := t.longThreshold()
	k.runs.observe(ran)
	t.all.observe(ran)
	if !known {
		return
	}
	k.longShare -= k.longShare * longShareDecay
	if ran >= threshold {
		k.longShare += longShareDecay
	}
}

// class returns the class of a job of the kind; the declared run time counts only while the kind is unproven.
func (t *runTimes) class(k *kindStats, guess time.Duration) Class {
	threshold, known := t.longThreshold()
	if k.runs.samples < minKindSamples {
		if known && guess >= threshold {
			return ClassLong
		}
		return ClassUnproven
	}
	if known && (k.longShare >= longShareThreshold || k.runs.median >= threshold) {
		return ClassLong
	}
	return ClassShort
}

// expected returns the kind's median run time, or 0 while the kind is unproven.
func (k *kindStats) expected() time.Duration {
	if k.runs.samples < minKindSamples {
		return 0
	}
	return k.runs.median
}
