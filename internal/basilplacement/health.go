package basilplacement

import (
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of ejection.
const (
	failWindow   = 10 * time.Minute // in which failures count
	failJobs     = 3                // different jobs that must have failed on a worker
	failMargin   = 0.5              // by which its failure rate must exceed the pool's median
	ejectShare   = 0.2              // of the pool, at most
	ejectFirst   = time.Minute
	ejectLongest = time.Hour
)

// outcome is the last word on one job at one worker.
type outcome struct {
	at     time.Time
	failed bool
}

// health is what own tasks showed of one worker.
type health struct {
	outcomes map[basilapi.JobID]outcome
	until    time.Time     // ejected
	backoff  time.Duration // of the last ejection
	suspect  time.Time     // until then it comes last
}

// take notes how a job ended, and forgets old outcomes.
func (h *health) take(id basilapi.JobID, failed bool, now time.Time) {
	if h.outcomes == nil {
		h.outcomes = make(map[basilapi.JobID]outcome)
	}
	maps.DeleteFunc(h.outcomes, func(_ basilapi.JobID, o outcome) bool { return now.Sub(o.at) > failWindow })
	h.outcomes[id] = outcome{at: now, failed: failed}
	if !failed {
		h.backoff, h.until, h.suspect = 0, time.Time{}, time.Time{}
	}
}

// rate returns the share of jobs that failed and how many did; blame tells whether a failure is the worker's.
func (h *health) rate(blame func(basilapi.JobID) bool) (float64, int) {
	var failed, all int
	for id, o := range h.outcomes {
		switch {
		case !o.failed:
			all++
		case blame(id):
			all++
			failed++
		}
	}
	if all == 0 {
		return 0, 0
	}
	return float64(failed) / float64(all), failed
}

// succeeds tells whether jobs ended well on the worker of late.
func (h *health) succeeds() bool {
	for _, o := range h.outcomes {
		if !o.failed {
			return true
		}
	}
	return false
}

// probing tells whether the worker was ejected and has not proved itself since.
func (h *health) probing(now time.Time) bool { return h.backoff > 0 && !now.Before(h.until) }

// eject keeps the worker from work, twice as long as the last time.
func (h *health) eject(now time.Time) {
	h.backoff = min(max(2*h.backoff, ejectFirst), ejectLongest)
	h.until = now.Add(h.backoff)
	h.suspect = h.until // then it is probed
	clear(h.outcomes)
}

// median returns the middle one of the rates.
func median(rates []float64) float64 {
	if len(rates) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(rates))
	return sorted[(len(sorted)-1)/2]
}

// judge ejects the worker if its own failures, not those of bad jobs, stand out from the pool.
//
// The pool is the size of its fleet; few are ever out at once.
func judge(all map[string]*health, host string, pool int, blame func(basilapi.JobID) bool, now time.Time) {
	h := all[host]
	rate, failed := h.rate(blame)
	if failed == 0 || failed < failJobs && h.backoff == 0 { // a probe has one try
		return
	}
	h.suspect = now.Add(failWindow)
	var out int
	var rates []float64
	for name, o := range all {
		if name != host && o.backoff > 0 { // also one that is yet to be probed
			out++
		}
		if r, _ := o.rate(blame); name != host && len(o.outcomes) > 0 {
			rates = append(rates, r)
		}
	}
	for len(rates) < pool-1 { // of workers that are not known to fail
		rates = append(rates, 0)
	}
	if float64(out+1) > ejectShare*float64(pool) || rate < median(rates)+failMargin {
		return
	}
	h.eject(now)
}
