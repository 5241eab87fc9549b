package basilplacement

import (
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits for the ejection of failing workers.
const (
	outcomeWindow          = 10 * time.Minute // period in which failures count
	minFailedJobs          = 3                // different jobs that must have failed on a worker
	failMargin             = 0.5              // by which its failure rate must exceed the pool's median
	maxEjectedShare        = 0.2              // maximum share of the pool that is ejected at once
	ejectionBackoffInitial = time.Minute      // duration of the first ejection, doubled each time
	ejectionBackoffMax     = time.Hour
)

// outcome is the latest result of one job on one worker.
type outcome struct {
	at     time.Time
	failed bool
}

// health is the record of one worker, based on the tasks of this entry host.
type health struct {
	outcomes     map[basilapi.JobID]outcome
	ejectedUntil time.Time     // end of the ejection
	backoff      time.Duration // of the last ejection; 0 after a success
	suspectUntil time.Time     // until when the worker is a last choice
}

// record records how a job ended, and drops outcomes older than outcomeWindow.
func (h *health) record(id basilapi.JobID, failed bool, now time.Time) {
	if h.outcomes == nil {
		h.outcomes = make(map[basilapi.JobID]outcome)
	}
	maps.DeleteFunc(h.outcomes, func(_ basilapi.JobID, o outcome) bool { return now.Sub(o.at) > outcomeWindow })
	h.outcomes[id] = outcome{at: now, failed: failed}
	if !failed {
		h.backoff, h.ejectedUntil, h.suspectUntil = 0, time.Time{}, time.Time{}
	}
}

// failureRate returns the share of the jobs that failed and their number. Failures
// for which blame returns false are ignored, as the job itself is at fault.
func (h *health) failureRate(blame func(basilapi.JobID) bool) (float64, int) {
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

// hasSuccess reports whether a job has succeeded on the worker recently.
func (h *health) hasSuccess() bool {
	for _, o := range h.outcomes {
		if !o.failed {
			return true
		}
	}
	return false
}

// awaitsProbe reports whether the worker's ejection is over and no task has succeeded on it since.
func (h *health) awaitsProbe(now time.Time) bool { return h.backoff > 0 && !now.Before(h.ejectedUntil) }

// eject excludes the worker from placement, for twice as long as the last time.
func (h *health) eject(now time.Time) {
	h.backoff = min(max(2*h.backoff, ejectionBackoffInitial), ejectionBackoffMax)
	h.ejectedUntil = now.Add(h.backoff)
	h.suspectUntil = h.ejectedUntil // afterwards the worker is probed
	clear(h.outcomes)
}

// median returns the median of the rates, the lower one of two.
func median(rates []float64) float64 {
	if len(rates) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(rates))
	return sorted[(len(sorted)-1)/2]
}

// ejectIfFailing ejects the worker if its failure rate, without those of faulty jobs,
// exceeds the median of the pool by failMargin. No more than maxEjectedShare of the
// pool is ejected at once.
//
// pool is the number of workers in the pool.
func ejectIfFailing(all map[string]*health, host string, pool int, blame func(basilapi.JobID) bool, now time.Time) {
	h := all[host]
	rate, failed := h.failureRate(blame)
	if failed == 0 || failed < minFailedJobs && h.backoff == 0 { // a probe counts after one failure
		return
	}
	h.suspectUntil = now.Add(outcomeWindow)
	var ejected int
	var rates []float64
	for name, o := range all {
		if name != host && o.backoff > 0 { // including those still to be probed
			ejected++
		}
		if r, _ := o.failureRate(blame); name != host && len(o.outcomes) > 0 {
			rates = append(rates, r)
		}
	}
	for len(rates) < pool-1 { // workers without recorded outcomes count as healthy
		rates = append(rates, 0)
	}
	if float64(ejected+1) > maxEjectedShare*float64(pool) || rate < median(rates)+failMargin {
		return
	}
	h.eject(now)
}
