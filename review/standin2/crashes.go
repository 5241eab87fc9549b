package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	crashConfiguration = `{"version":1,"routes":[
 {"name":"fit","host":"shop.example","path_prefix":"/fit/","service":"calf","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":4}],
 "services":[{"name":"calf","enforces_capacity":true},{"name":"spare","enforces_capacity":true,"standby":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`
	longID       = "f17c0ffee0000001"
	quickID      = "f17c0ffee0000002"
	longBody     = `{"spec":"fit","steps":[{"count":1,"cpu":7700,"mem_mb":16000,"estimate_ms":12000}]}`
	quickBody    = `{"spec":"fit","steps":[{"count":1,"cpu":7700,"mem_mb":16000,"estimate_ms":1400}]}`
	runners      = 9
	longWork     = 12 * time.Second
	quickWork    = 1400 * time.Millisecond
	outage       = 1500 * time.Millisecond // shorter than the longest of the site, 4.5 s
	longCrashes  = 4                       // of runners under the job that takes 12 s
	longAge      = 3 * time.Second         // of its run when the runner crashes
	quickCrashes = 2                       // of runners under the job that takes 1.4 s
	quickAge     = 300 * time.Millisecond  // of its run when the runner crashes
	crashTime    = 80 * time.Second
	pollTime     = 10 * time.Millisecond
	settledTime  = 8 * time.Second
)

var errNotAccepted = errors.New("a job was not accepted")

// playCrashes crashes runners, one at a time, under two jobs that could be done: 4 under a job that takes 12 s, and 2 under one that takes
// 1.4 s. No run ends as failed.
func playCrashes(f *fleet, trouble bool) ([]string, error) {
	f.build(func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, quickID) {
			return quickWork, false
		}
		return longWork, false
	})
	f.site.Configure(crashConfiguration)
	f.site.AddPool("calf", runners, 64000, 262144, false)
	f.site.AddPool("spare", 3, 64000, 262144, true)
	if err := f.start(); err != nil {
		return nil, err
	}
	crasher := newCrasher(f)
	if !f.submit("/fit/", longID, longBody, 4) {
		return nil, errNotAccepted
	}
	if trouble {
		crasher.crashUnder(longID+".0.0.0", longAge, longCrashes)
	} else {
		time.Sleep(longWork)
	}
	time.Sleep(settledTime)
	if !f.submit("/fit/", quickID, quickBody, 4) {
		return nil, errNotAccepted
	}
	if trouble {
		crasher.crashUnder(quickID+".0.0.0", quickAge, quickCrashes)
	}
	time.Sleep(settledTime)
	var broken []string
	for _, id := range []string{longID, quickID} {
		if _, state := f.state("/fit/", id); state == "failed" || state == "canceled" {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %s; runs of it that ended failed: %d", id, state, f.failedRuns(id)))
		}
	}
	f.recordRuns()
	return broken, nil
}

// failedRuns returns how many runs of the job ended as failed.
func (f *fleet) failedRuns(id string) int {
	count := 0
	for _, r := range f.site.Runs() {
		if strings.HasPrefix(r.Task, id) && r.How == "failed" {
			count++
		}
	}
	return count
}

// recordRuns writes all runs into the record.
func (f *fleet) recordRuns() {
	for _, r := range f.site.Runs() {
		until := "now"
		if !r.Ended.IsZero() {
			until = fmt.Sprintf("%.3f", r.Ended.Sub(f.record.started).Seconds())
		}
		f.record.addAt(r.Started, "run of %s, attempt %d, on %s until %s: %s", r.Task, r.Attempt, r.Backend, until, r.How)
	}
}

// crasher crashes runners under runs.
type crasher struct {
	fleet *fleet
	used  map[string]bool // runs under which a runner has crashed
	until time.Time
}

func newCrasher(f *fleet) *crasher {
	return &crasher{fleet: f, used: make(map[string]bool), until: time.Now().Add(crashTime)}
}

// crashUnder crashes the runner of the task's run once that is so old, the given number of times. Each is back after the outage.
func (c *crasher) crashUnder(task string, age time.Duration, times int) {
	for range times {
		for time.Now().Before(c.until) && !c.crashOnce(task, age) {
			time.Sleep(pollTime)
		}
	}
}

func (c *crasher) crashOnce(task string, age time.Duration) bool {
	f := c.fleet
	for _, r := range f.site.Runs() {
		key := fmt.Sprintf("%s/%d", r.Task, r.Attempt)
		if r.Task != task || !r.Ended.IsZero() || c.used[key] || time.Since(r.Started) < age {
			continue
		}
		list := f.site.Backends("calf")
		n := slices.IndexFunc(list, func(b *basilfake.Backend) bool { return b.ID() == r.Backend })
		if n < 0 {
			return false
		}
		c.used[key] = true
		f.record.add("runner %s crashes under %s, attempt %d, and is back in %v", r.Backend, r.Task, r.Attempt, outage)
		f.site.CrashFor(list[n], basilfake.Outage{For: outage})
		return true
	}
	return false
}
