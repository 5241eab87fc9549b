package basilscheduler

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// largeInteger is the largest integer that all JSON programs carry exactly.
const largeInteger = 1<<53 - 1

// repeated returns the record of a job with occurrences of one task each.
func (f *fixture) repeated(id string, count int, first, interval time.Duration) basilwork.Record {
	return basilwork.Record{Accepted: f.now.UnixMilli(), Job: basilwork.Job{
		ID: id, Queue: "quote", Steps: []basilwork.Step{stepOf(1, 100)}, RepeatCount: count, FirstStart: first, Interval: interval,
	}}
}

// TestJobWithoutEndDelaysNoOther checks that a job with as many occurrences as a number can say, due at whatever times, neither hangs its
// owner nor keeps another job from starting.
func TestJobWithoutEndDelaysNoOther(t *testing.T) {
	tests := map[string]struct{ first, interval time.Duration }{
		"first in a minute":           {1060 * time.Second, time.Minute},
		"due since 1970":              {0, time.Millisecond},
		"due all at once":             {time.Second, 0},
		"due before any time":         {math.MinInt64, time.Nanosecond},
		"due after any time":          {math.MaxInt64, math.MaxInt64},
		"second one after any time":   {0, math.MaxInt64},
		"due at the end of all times": {0, math.MaxInt64 / largeInteger},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
			f.AddJob(f.repeated("without-end", largeInteger, test.first, test.interval), false)
			f.decideAndStart()
			for n := range 100 {
				f.advance(100 * time.Millisecond)
				f.decideAndStart()
				for _, b := range f.list {
					f.endRuns(b.ID)
				}
				if n == 50 {
					f.addJob("short", stepOf(2, 1000))
				}
			}
			must.MapNotContainsKey(t, f.jobs, "short", must.Sprint("the short job isn't done"))
			must.LessEq(t, maxOpenSpan, len(f.jobs["without-end"].record.Progress))
		})
	}
}

// endRuns reports that all runs of a backend server have ended as done, and has their records taken and stored.
func (f *fixture) endRuns(id string) {
	var ends []basilwork.EndedRun
	for _, r := range f.backends[id].sortedRuns() {
		ends = append(ends, end(r.task.id.String(), f.backends[id].lastEndNumber+int64(len(ends))+1, r.attempt, basilwork.RunEndDone))
	}
	f.report(id, 100, ends...)
	ids, _ := f.DirtyJobs()
	for _, id := range ids {
		f.Take(id)
		f.Stored(id, f.now)
	}
}

// TestOccurrencesThatAreDueAtOnceAllRun checks that occurrences beyond those that may be open at a time each run once, also across a change
// of the owner, and that the job's record stays small.
func TestOccurrencesThatAreDueAtOnceAllRun(t *testing.T) {
	const count = 2*maxOpenSpan + maxWaitingTasks
	f := newFixture(t, backendOf("b1", 20000), backendOf("b2", 20000))
	f.AddJob(f.repeated("many", count, time.Second, 0), false)
	runs := make(map[int]int)
	for n := 0; f.jobs["many"] != nil; n++ {
		must.Less(t, 100, n)
		f.advance(openRetryInterval)
		for _, s := range f.decideAndStart() {
			runs[s.Task.Occurrence]++
		}
		record := f.jobs["many"].record
		must.LessEq(t, maxOpenSpan, len(record.Progress))
		for _, b := range f.list {
			f.endRuns(b.ID)
		}
		if n == 5 && f.jobs["many"] != nil {
			successor := newFixture(t, backendOf("b1", 20000), backendOf("b2", 20000))
			successor.now = f.now
			successor.AddJob(f.jobs["many"].record, true)
			f = successor
		}
	}
	must.MapLen(t, count, runs)
	for n, k := range runs {
		must.Eq(t, 1, k, must.Sprint(n))
	}
}

// TestBlockedOccurrenceHoldsBackNoOther checks that occurrences go on while the first one waits for a backend server that fails.
func TestBlockedOccurrenceHoldsBackNoOther(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	f.AddJob(f.repeated("many", largeInteger, time.Second, 0), false)
	starts := f.decideAndStart()
	must.Len(t, 10, starts)
	for n := range 20 {
		f.advance(openRetryInterval)
		f.report("b1", 50, end(f.backends["b1"].sortedRuns()[1].task.id.String(), int64(n+1), 1, basilwork.RunEndDone)) // the first goes on
		must.Len(t, 1, f.decideAndStart())
	}
}

// numbersOf draws the numbers of a job as callers may choose them, in as many steps and tasks as its row and an entry host's memory hold.
func numbersOf(t *rapid.T) basilwork.Job {
	size := rapid.OneOf(rapid.IntRange(0, 20), rapid.IntRange(0, 100_000), rapid.Just(largeInteger), rapid.Just(math.MaxInt))
	length := rapid.Map(rapid.OneOf(rapid.Int64Range(0, 100_000), rapid.Just(int64(math.MaxInt64)), rapid.Int64Min(0)), func(n int64) time.Duration { return time.Duration(n) })
	j := basilwork.Job{ID: "numbers", Queue: "quote"}
	tasks := 20_000
	steps := rapid.OneOf(rapid.IntRange(1, 3), rapid.IntRange(1, 4000)).Draw(t, "steps")
	edges := rapid.Bool().Draw(t, "edges")
	template := basilwork.Step{
		Resources:    basilwork.Resources{CPU: size.Draw(t, "cpu"), Memory: size.Draw(t, "memory"), GPU: rapid.SampledFrom([]int{0, 0, 0, 1, largeInteger}).Draw(t, "gpu")},
		Estimate:     length.Draw(t, "estimate"),
		Target:       length.Draw(t, "target"),
		AntiAffinity: size.Draw(t, "anti-affinity"),
		Gang:         rapid.Bool().Draw(t, "gang"), LongRunning: rapid.Bool().Draw(t, "long"), Speculative: rapid.Bool().Draw(t, "speculative"), Filler: rapid.Bool().Draw(t, "filler"),
		MaxUnavailable: size.Draw(t, "unavailable"), HasMaxUnavailable: rapid.Bool().Draw(t, "limit"),
	}
	count := rapid.IntRange(1, 5000).Draw(t, "count")
	labels := rapid.Bool().Draw(t, "labels")
	for n := range steps {
		s := template
		s.Count = min(count, max(1, tasks/2))
		tasks -= s.Count
		if labels {
			s.Label = fmt.Sprint("label-", n)
		}
		for a := 0; edges && n > 0 && a < 8; a++ {
			s.After = append(s.After, (n*7+a)%n)
		}
		j.Steps = append(j.Steps, s)
		if tasks < 2 {
			break
		}
	}
	if rapid.Bool().Draw(t, "repeated") {
		j.RepeatCount = max(1, size.Draw(t, "repeat"))
		j.FirstStart = rapid.SampledFrom([]time.Duration{0, 990 * time.Second, 1001 * time.Second, math.MaxInt64, math.MinInt64}).Draw(t, "first")
		j.Interval = length.Draw(t, "interval")
	}
	return j
}

const (
	maxDecisionTime = maxWakeInterval // the next decision is due by then
	maxJobMemory    = 92 << 20        // half of the memory of the smallest entry hosts
)

// TestPropertyNumbersOfOneJobCostNoOther checks that whatever numbers a job has, decisions stay short, the memory of its owner bounded, the
// sums that size the pool positive, no task starts before its time, and another job starts once the first is cancelled; all also after a takeover.
func TestPropertyNumbersOfOneJobCostNoOther(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		j := numbersOf(r)
		for _, adopted := range []bool{false, true} {
			f := newFixture(t, backendOf("b1", 16000), backendOf("b2", 16000), backendOf("b3", 16000))
			before := heap()
			began := time.Now()
			f.AddJob(basilwork.Record{Job: j, Accepted: f.now.UnixMilli()}, adopted)
			starts := f.decideAndStart()
			must.Less(r, maxDecisionTime, time.Since(began), must.Sprint("first decision"))
			if used := heap() - before; used > maxJobMemory {
				r.Fatalf("%d MB are used", used>>20)
			}
			for range 4 {
				f.advance(openRetryInterval)
				for _, b := range f.list {
					f.endRuns(b.ID)
				}
				began = time.Now()
				starts = append(starts, f.decideAndStart()...)
				must.Less(r, maxDecisionTime, time.Since(began), must.Sprint("later decision"))
			}
			l := f.Load(f.now)
			must.NonNegative(r, min(l.WaitingDemand.CPU, l.WaitingDemand.Memory, l.ArrivedWork.CPU, l.ArrivedWork.Memory, l.Serving.CPU, l.Waiting), must.Sprint(l))
			for _, s := range starts {
				must.False(r, j.StartTime(s.Task.Occurrence).After(f.now), must.Sprint("started before its time"))
			}
			f.setBackends(backendOf("b1", 16000), backendOf("b2", 16000), backendOf("b3", 16000), backendOf("b4", 100))
			f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "other", Queue: "quote", Steps: []basilwork.Step{{Count: 1, Resources: basilwork.Resources{CPU: 100}, Estimate: time.Second, Label: "a"}}}, Accepted: f.now.UnixMilli()}, false)
			f.Cancel("numbers", f.now)
			f.decideAndStart()
			must.True(r, f.jobs["other"].started, must.Sprint("the other job doesn't start"))
		}
	})
}

// heap returns the bytes of reachable objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
