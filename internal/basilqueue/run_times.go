package basilqueue

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// How run times make a job long.
const (
	longFactor     = 8    // times the service's median run time
	longFraction   = 0.25 // of a kind's runs
	fractionDecay  = 1.0 / 32
	trustedSamples = 4 // runs that a kind must show before it counts as short
	boundSamples   = 16
	maxKinds       = 2048 // remembered of a service
)

// kindRuns is what the runs of one kind have shown.
type kindRuns struct {
	runs sketch
	long float64 // moving share of runs that were long
}

// runTimes learns the run times of one service.
type runTimes struct {
	all   sketch
	kinds *simplelru.LRU[string, *kindRuns]
}

func newRunTimes() *runTimes {
	kinds, _ := simplelru.NewLRU[string, *kindRuns](maxKinds, nil) // fails only for sizes below 1
	return &runTimes{kinds: kinds}
}

// bound returns the run time from which a run is long, and whether enough runs were seen.
func (t *runTimes) bound() (time.Duration, bool) {
	return longFactor * t.all.median, t.all.samples >= boundSamples
}

// kind returns what is known of the kind.
func (t *runTimes) kind(name string) *kindRuns {
	k, ok := t.kinds.Get(name)
	if !ok {
		k = &kindRuns{}
		t.kinds.Add(name, k)
	}
	return k
}

func (t *runTimes) observe(k *kindRuns, ran time.Duration) {
	bound, known := t.bound()
	k.runs.observe(ran)
	t.all.observe(ran)
	if !known {
		return
	}
	k.long -= k.long * fractionDecay
	if ran >= bound {
		k.long += fractionDecay
	}
}

// class tells which class a job of the kind is in; the declared run time counts until the kind is proven.
func (t *runTimes) class(k *kindRuns, guess time.Duration) Class {
	bound, known := t.bound()
	if k.runs.samples < trustedSamples {
		if known && guess >= bound {
			return ClassLong
		}
		return ClassUnproven
	}
	if known && (k.long >= longFraction || k.runs.median >= bound) {
		return ClassLong
	}
	return ClassShort
}

// expected returns the kind's median run time, or 0 while it is unproven.
func (k *kindRuns) expected() time.Duration {
	if k.runs.samples < trustedSamples {
		return 0
	}
	return k.runs.median
}
