package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	nightConfiguration = `{"version":1,"routes":[
 {"name":"night","host":"shop.example","path_prefix":"/night/","service":"calf","timeout_ms":3000,"slo_ms":2500,"stretch":2.2,"max_attempts":3}],
 "services":[{"name":"calf","enforces_capacity":true},{"name":"spare","enforces_capacity":true,"standby":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144}}`
	nightID      = "9197c0ffee000001"
	nightBody    = `{"spec":"night","steps":[{"count":5,"cpu":5300,"mem_mb":19000,"estimate_ms":700,"long_running":true,"anti_affinity":1,"max_unavailable":1}]}`
	nightItems   = 5
	nightAge     = 150 * time.Millisecond // of the run of the work item when its runner crashes again
	nightCrashes = 3                      // crashes of that kind, after the one of a runner where the item is at work
	togetherTime = time.Second            // stops that are less apart end work items while others of the step are away
)

// playNight crashes runners, one at a time, under one work item of an overnight job: one where it is at work, and three where it has just
// been started. The other items are at work on runners that are well.
func playNight(f *fleet, trouble bool) ([]string, error) {
	f.build(func(string, int) (time.Duration, bool) { return -1, false })
	f.site.Configure(nightConfiguration)
	f.site.AddPool("calf", runners, 64000, 262144, false)
	f.site.AddPool("spare", 3, 64000, 262144, true)
	if err := f.start(); err != nil {
		return nil, err
	}
	if !f.submit("/night/", nightID, nightBody, 3) {
		return nil, errNotAccepted
	}
	f.awaitRuns(nightID, nightItems)
	if trouble {
		c := newCrasher(f)
		c.crashUnder(nightID+".0.0.0", time.Second, 1)
		c.crashUnder(nightID+".0.0.0", nightAge, nightCrashes)
	}
	time.Sleep(settledTime)
	_, state := f.state("/night/", nightID)
	f.record.add("runs of the overnight job now: %d of %d", f.site.Running(nightID), nightItems)
	f.recordRuns()
	broken := stoppedTogether(f.site.Runs())
	if len(broken) > 0 {
		broken = append(broken, fmt.Sprintf("and the job, which nobody has cancelled, is shown as %s", state))
	}
	return broken, nil
}

// stoppedTogether returns the work items that were stopped within a short time of each other.
func stoppedTogether(runs []basilfake.Run) []string {
	runs = slices.DeleteFunc(runs, func(r basilfake.Run) bool { return r.How != "stopped" })
	slices.SortFunc(runs, func(a, b basilfake.Run) int { return a.Ended.Compare(b.Ended) })
	var broken []string
	for n := 1; n < len(runs); n++ {
		if runs[n].Ended.Sub(runs[n-1].Ended) < togetherTime {
			broken = append(broken, fmt.Sprintf("AVAIL: %s is stopped on %s while %s, stopped %v before, is away, and 1 may be",
				runs[n].Task, runs[n].Backend, runs[n-1].Task, runs[n].Ended.Sub(runs[n-1].Ended)))
		}
	}
	return broken
}

// awaitRuns waits until the job has so many runs, and they are at work.
func (f *fleet) awaitRuns(id string, count int) {
	for deadline := time.Now().Add(settledTime); time.Now().Before(deadline) && f.site.Running(id) < count; {
		time.Sleep(pollTime)
	}
	time.Sleep(2 * time.Second)
	running := 0
	for _, r := range f.site.Runs() {
		if strings.HasPrefix(r.Task, id) && r.Ended.IsZero() {
			running++
		}
	}
	f.record.add("%d work items of %s run", running, id)
}
