package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

func end(task string, number int64, attempt int, result basilwork.RunEnd) basilwork.EndedRun {
	return basilwork.EndedRun{Number: number, Task: task, Attempt: attempt, End: result}
}

// TestRoomIsNotExceeded checks that starting, running and stopping runs all occupy room.
func TestRoomIsNotExceeded(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.addJob("j", stepOf(20, 1500))
	must.Len(t, 4, f.decideAndStart())
	must.SliceEmpty(t, f.decideAndStart())
	f.Cancel("j", f.now)
	must.Len(t, 4, f.Decide(f.now).Stops)
	f.addJob("k", stepOf(1, 1500))
	must.SliceEmpty(t, f.decideAndStart(), must.Sprint("stopping runs still occupy room"))
	f.advance(time.Second)
	f.report("b1", 0, end("j.0.0.0", 1, 1, basilwork.RunEndStopped))
	must.Len(t, 1, f.decideAndStart())
}

// TestStepWaitsForDependencies checks that a step starts only after all tasks of the preceding steps are done.
func TestStepWaitsForDependencies(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000))
	second := stepOf(1, 1000)
	second.After = []int{0}
	f.addJob("j", stepOf(2, 1000), second)
	must.Len(t, 2, f.decideAndStart())
	f.advance(time.Second)
	f.report("b1", 50, end("j.0.0.0", 1, 1, basilwork.RunEndDone))
	must.SliceEmpty(t, f.decideAndStart())
	f.report("b1", 50, end("j.0.0.1", 2, 1, basilwork.RunEndDone))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, 1, starts[0].Task.Step)
	f.advance(time.Second)
	f.report("b1", 50, end("j.0.1.0", 3, 1, basilwork.RunEndDone))
	ids, urgent := f.DirtyJobs()
	must.Eq(t, []string{"j"}, ids)
	must.True(t, urgent)
	r, _ := f.Take("j")
	must.Eq(t, basilwork.JobStateCompleted, r.State)
}

// TestFailedAttemptCountsOnce checks that a failed attempt counts once even if reported twice, and that the job fails at the
// limit.
func TestFailedAttemptCountsOnce(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.addJob("j", stepOf(1, 1000))
	for n := range 3 {
		starts := f.decideAndStart()
		must.Len(t, 1, starts, must.Sprintf("attempt %d", n+1))
		id := starts[0].Backend
		f.advance(time.Second)
		e := end("j.0.0.0", int64(n+1), starts[0].Attempt, basilwork.RunEndFailed)
		f.report(id, 0, e)
		f.report(id, 0, e)
		f.advance(5 * time.Second)
	}
	must.SliceEmpty(t, f.decideAndStart())
	r, ok := f.Take("j")
	must.True(t, ok)
	must.Eq(t, basilwork.JobStateFailed, r.State)
}

// TestUnansweredStartIsResolvedBeforeRestart checks that a task whose start has long had no answer is started elsewhere only after the stop of
// its unanswered run was answered and a later report does not list the run.
func TestUnansweredStartIsResolvedBeforeRestart(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.addJob("j", stepOf(1, 1000))
	s := f.Decide(f.now).Starts[0]
	f.advance(time.Second)
	f.Started(s.Ref, basilwork.RefusalNone, false, f.now)
	a := f.Decide(f.now)
	must.SliceEmpty(t, a.Stops)
	must.Len(t, 1, a.Starts)
	must.Eq(t, s.Ref, a.Starts[0].Ref, must.Sprint("the request is repeated"))
	f.advance(unansweredWait)
	a = f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.SliceEmpty(t, a.Starts)
	f.advance(time.Second)
	f.Report(s.Backend, basilwork.Report{}, f.now, f.now)
	must.SliceEmpty(t, f.Decide(f.now).Starts, must.Sprint("the start request may still arrive"))
	f.Stopped(s.Ref, true, f.now)
	f.advance(time.Millisecond)
	f.Report(s.Backend, basilwork.Report{}, f.now, f.now)
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].Attempt)
	must.NotEq(t, s.Backend, starts[0].Backend)
}

// TestSlackOrder checks that a job that can still meet its objective starts before jobs that cannot, as in a burst of short
// jobs behind a long one.
func TestSlackOrder(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	long := stepOf(1, 1000)
	long.Estimate = 8 * time.Second
	f.addJob("long", long)
	f.advance(100 * time.Millisecond)
	f.addJob("tight", stepOf(1, 1000))
	f.advance(7 * time.Second)
	f.addJob("fresh", stepOf(1, 1000))
	var order []string
	for n := range 3 {
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		order = append(order, starts[0].Task.Job)
		f.advance(100 * time.Millisecond)
		f.report("b1", 100, end(starts[0].Task.String(), int64(n+1), 1, basilwork.RunEndDone))
	}
	must.Eq(t, "fresh", order[0], must.Sprint("tight and long can no longer meet their objectives"))
}

// TestAtRiskJobsStartAfterOnTimeJobs checks the order under overload: jobs likely to meet their objective, jobs that would
// need all their slack for it, late jobs.
func TestAtRiskJobsStartAfterOnTimeJobs(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	f.addJob("late", stepOf(1, 1000))
	f.advance(500 * time.Millisecond)
	f.addJob("at-risk", stepOf(1, 1000)) // 1 s of work and initially 1.2 s of slack
	f.advance(600 * time.Millisecond)
	f.addJob("likely", stepOf(1, 1000))
	f.advance(590 * time.Millisecond)
	for n, job := range []string{"likely", "at-risk", "late"} {
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		must.Eq(t, job, starts[0].Task.Job)
		f.advance(time.Millisecond)
		f.report("b1", 100, end(starts[0].Task.String(), int64(n+1), 1, basilwork.RunEndDone))
	}
}

// TestRoomIsReservedForLongRunningTask guards against starvation of a long-running task by short tasks that each take a part
// of the room as it becomes free.
func TestRoomIsReservedForLongRunningTask(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.addJob("short", stepOf(20, 1000))
	running := f.decideAndStart()
	must.Len(t, 8, running)
	f.addJob("long", longStep(1, 3000))
	for n, s := range running {
		f.advance(100 * time.Millisecond)
		f.report(s.Backend, 50, end(s.Task.String(), int64(n+1), 1, basilwork.RunEndDone))
		for _, started := range f.decideAndStart() {
			if started.Task.Job == "long" {
				return
			}
		}
	}
	t.Fatal("the long-running task was not started")
}

// newServingFixture returns a pool with a long-running step whose three tasks run on separate hosts.
func newServingFixture(t *testing.T) *fixture {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
	f.addJob("long", longStep(3, 1000))
	starts := f.decideAndStart()
	must.Len(t, 3, starts)
	f.advance(time.Second)
	for _, s := range starts {
		f.report(s.Backend, 100)
	}
	return f
}

// TestMaxUnavailableLimitsMoves checks that the tasks of a step move one at a time, and not while the host of another task is
// unreachable or its reports are outdated.
func TestMaxUnavailableLimitsMoves(t *testing.T) {
	f := newServingFixture(t)
	var busy []string
	for _, b := range []string{"b1", "b2", "b3", "b4"} {
		if f.Busy(b) {
			busy = append(busy, b)
		}
	}
	f.Evacuate(busy[0], true)
	f.Evacuate(busy[1], true)
	must.Len(t, 1, f.Decide(f.now).Stops)

	f = newServingFixture(t)
	f.SetReachable(busy[2], false)
	f.Evacuate(busy[0], true)
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("a task on an unreachable host is unavailable"))

	f = newServingFixture(t)
	f.advance(maxReportAge)
	f.Evacuate(busy[0], true)
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("the reports are outdated"))
}

// TestPredecessorBackendIsNotEmptiedBeforeAnswer checks that a backend server that may have runs of a predecessor does not
// count as emptied.
func TestPredecessorBackendIsNotEmptiedBeforeAnswer(t *testing.T) {
	f := newFixture(t)
	f.AddPredecessorBackend(backendOf("b1", 4000), time.Time{})
	f.Evacuate("b1", true)
	must.False(t, f.IsEmptied("b1", 0))
	f.Attached("b1")
	must.True(t, f.IsEmptied("b1", 0))
}

// TestAdoptionBeforeBackendIsListed covers a backend server that answers before it is in the list: its runs are adopted.
func TestAdoptionBeforeBackendIsListed(t *testing.T) {
	f := newFixture(t)
	f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{stepOf(2, 1000)}}, Accepted: f.now.UnixMilli()}, true)
	f.AddPredecessorBackend(backendOf("b1", 4000), time.Time{})
	f.AddPredecessorBackend(backendOf("b2", 4000), time.Time{})
	f.Report("b1", basilwork.Report{Running: []basilwork.RunStatus{{Task: "j.0.0.0", Attempt: 3, ProgressPercent: 20}}}, f.now, f.now)
	f.Attached("b1")
	f.setBackends(backendOf("b1", 4000))
	must.SliceEmpty(t, f.decideAndStart(), must.Sprint("b2 may still run the other task"))
	f.advance(15 * time.Second)
	f.report("b1", 40)
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "j.0.0.1", starts[0].Task.String())
}

// TestTasksArePackedByExpectedEnd checks that a long task goes where another is expected to run as long, rather than on
// a fuller host that would soon be empty.
func TestTasksArePackedByExpectedEnd(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	wide, long, next := stepOf(1, 3000), stepOf(1, 2000), stepOf(1, 500)
	wide.Estimate, long.Estimate, next.Estimate = 500*time.Millisecond, 9*time.Second, 8*time.Second
	f.addJob("wide", wide)
	emptySoon := f.decideAndStart()[0].Backend
	f.addJob("long", long)
	stays := f.decideAndStart()[0].Backend
	must.NotEq(t, emptySoon, stays)
	f.addJob("next", next)
	must.Eq(t, stays, f.decideAndStart()[0].Backend)
	f.advance(time.Second)
	f.report(emptySoon, 0, end("wide.0.0.0", 1, 1, basilwork.RunEndDone))
	must.Eq(t, []string{emptySoon}, f.Load(f.now).Idle)
}

// TestLoadRequestsBackendForUnplacedLongTask checks that Load requires one more backend server than usable while a long-running
// task has no room.
func TestLoadRequestsBackendForUnplacedLongTask(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	step := longStep(3, 3000)
	step.AntiAffinity = 0
	f.addJob("long", step)
	must.Len(t, 2, f.decideAndStart())
	must.Eq(t, 3, f.Load(f.now).MinBackends)
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	must.Len(t, 1, f.decideAndStart())
	must.Eq(t, 0, f.Load(f.now).MinBackends)
}

// TestGangStartsWhole checks that a gang starts only if all its tasks have room, and again only after all its runs have ended.
func TestGangStartsWhole(t *testing.T) {
	f := newFixture(t, backendOf("b1", 2000))
	gang := stepOf(3, 1000)
	gang.Gang = true
	f.addJob("j", gang)
	must.SliceEmpty(t, f.decideAndStart())
	f.setBackends(backendOf("b1", 2000), backendOf("b2", 2000))
	starts := f.decideAndStart()
	must.Len(t, 3, starts)
	f.advance(time.Second)
	f.report("b1", 50, end(starts[0].Task.String(), 1, 1, basilwork.RunEndBroken))
	must.SliceEmpty(t, f.decideAndStart(), must.Sprint("the other runs of the gang have not ended"))
}

// TestGangApartStartsOnBackendsWithRoomForMore checks that the members of a gang with anti-affinity are spread, as many on each backend server as
// it allows. All were put on the best one while that had room, and the gang never started.
func TestGangApartStartsOnBackendsWithRoomForMore(t *testing.T) {
	for _, x := range []struct {
		members, apart, backends int
		starts                   bool
	}{{3, 1, 3, true}, {3, 1, 5, true}, {6, 2, 3, true}, {5, 2, 3, true}, {3, 1, 2, false}, {5, 2, 2, false}} {
		var list []basilwork.Backend
		for n := range x.backends {
			list = append(list, backendOf(fmt.Sprint("b", n), 16000))
		}
		f := newFixture(t, list...)
		gang := stepOf(x.members, 1000)
		gang.Gang, gang.AntiAffinity = true, x.apart
		f.addJob("j", gang)
		for range 2 {
			starts := f.decideAndStart()
			if !x.starts {
				must.SliceEmpty(t, starts, must.Sprint(x))
				break
			}
			must.Len(t, x.members, starts, must.Sprint(x))
			members := make(map[string]int)
			for n, s := range starts {
				members[s.Backend]++
				must.LessEq(t, x.apart, members[s.Backend], must.Sprint(x))
				must.Eq(t, starts[0].Attempt, s.Attempt)
				f.report(s.Backend, 0, end(s.Task.String(), f.backends[s.Backend].lastEndNumber+1, s.Attempt, basilwork.RunEndBroken))
				must.Eq(t, n, s.Task.Index)
			}
			f.advance(avoidTime)
		}
	}
}

// TestFailingBackendIsSuspended checks that failed runs of several jobs suspend a backend server. Those of a
// single job would not, since its tasks may fail everywhere.
func TestFailingBackendIsSuspended(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000))
	for n := range 4 {
		f.addJob(fmt.Sprintf("j%d", n), stepOf(1, 1000))
	}
	starts := f.decideAndStart()
	f.advance(time.Second)
	var ends []basilwork.EndedRun
	for n, s := range starts {
		ends = append(ends, end(s.Task.String(), int64(n+1), 1, basilwork.RunEndFailed))
	}
	f.report("b1", 0, ends...)
	f.setBackends(backendOf("b1", 8000), backendOf("b2", 8000))
	f.advance(retryPause)
	for _, s := range f.decideAndStart() {
		must.Eq(t, "b2", s.Backend)
	}
}

// TestLoadRequestsBackendWithoutAllowedStarts checks that Load still requires another backend server while no start is allowed.
func TestLoadRequestsBackendWithoutAllowedStarts(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	step := longStep(2, 3000)
	step.AntiAffinity = 0
	f.addJob("long", step)
	must.Len(t, 1, f.decideAndStart())
	must.Eq(t, 2, f.Load(f.now).MinBackends)
	f.SetStartLimit(0)
	must.SliceEmpty(t, f.decideAndStart())
	must.Eq(t, 2, f.Load(f.now).MinBackends)
}

// TestSuccessorWaitsForStopsOfPredecessor checks that a new owner moves no long-running task while another task of its step may
// be ending: a run stopped by the predecessor is reported as running until it ends.
func TestSuccessorWaitsForStopsOfPredecessor(t *testing.T) {
	const stopTime = 900 * time.Millisecond
	f := newFixture(t)
	f.options.StopTimeout = stopTime
	f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "long", Queue: "quote", Steps: []basilwork.Step{longStep(2, 1000)}}, Accepted: f.now.UnixMilli()}, true)
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	report := func() {
		for n, b := range []string{"b1", "b2"} {
			f.Report(b, basilwork.Report{Running: []basilwork.RunStatus{{Task: fmt.Sprintf("long.0.0.%d", n), Attempt: 1, ProgressPercent: 100}}}, f.now, f.now)
		}
	}
	f.Evacuate("b1", true)
	report()
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.advance(stopTime / 2)
	report()
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.advance(stopTime/2 + endReportDelay)
	report()
	must.Len(t, 1, f.Decide(f.now).Stops)
}
