package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

func end(task string, number int64, attempt int, how basilwork.RunEnd) basilwork.EndStatus {
	return basilwork.EndStatus{Number: number, Task: task, Attempt: attempt, End: how}
}

// TestRoomIsNeverExceeded counts what is starting, running and being stopped.
func TestRoomIsNeverExceeded(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.add("j", stepOf(20, 1500))
	must.Len(t, 4, f.begin())
	must.SliceEmpty(t, f.begin())
	f.Cancel("j", f.now)
	must.Len(t, 4, f.Decide(f.now).Stops)
	f.add("k", stepOf(1, 1500))
	must.SliceEmpty(t, f.begin(), must.Sprint("what is being stopped still counts"))
	f.pass(time.Second)
	f.report("b1", 0, end("j.0.0.0", 1, 1, basilwork.RunEndStopped))
	must.Len(t, 1, f.begin())
}

// TestStepsInOrder starts a step only when all it comes after has ended as done.
func TestStepsInOrder(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000))
	second := stepOf(1, 1000)
	second.After = []int{0}
	f.add("j", stepOf(2, 1000), second)
	must.Len(t, 2, f.begin())
	f.pass(time.Second)
	f.report("b1", 50, end("j.0.0.0", 1, 1, basilwork.RunEndDone))
	must.SliceEmpty(t, f.begin())
	f.report("b1", 50, end("j.0.0.1", 2, 1, basilwork.RunEndDone))
	starts := f.begin()
	must.Len(t, 1, starts)
	must.Eq(t, 1, starts[0].Task.Step)
	f.pass(time.Second)
	f.report("b1", 50, end("j.0.1.0", 3, 1, basilwork.RunEndDone))
	ids, urgent := f.Dirty()
	must.Eq(t, []string{"j"}, ids)
	must.True(t, urgent)
	r, _ := f.Take("j")
	must.Eq(t, basilwork.JobStateCompleted, r.State)
}

// TestFailuresOnce counts each failed attempt once, also when it is listed again, and stops at the limit.
func TestFailuresOnce(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.add("j", stepOf(1, 1000))
	for n := range 3 {
		starts := f.begin()
		must.Len(t, 1, starts, must.Sprintf("attempt %d", n+1))
		id := starts[0].Backend
		f.pass(time.Second)
		e := end("j.0.0.0", int64(n+1), starts[0].Attempt, basilwork.RunEndFailed)
		f.report(id, 0, e)
		f.report(id, 0, e)
		f.pass(5 * time.Second)
	}
	must.SliceEmpty(t, f.begin())
	r, ok := f.Take("j")
	must.True(t, ok)
	must.Eq(t, basilwork.JobStateFailed, r.State)
}

// TestUnansweredStart runs nowhere else before the stop of it is answered and a later report lacks it.
func TestUnansweredStart(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.add("j", stepOf(1, 1000))
	s := f.Decide(f.now).Starts[0]
	f.pass(time.Second)
	f.Started(s.Ref, basilwork.RefusalNone, false, f.now)
	a := f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.SliceEmpty(t, a.Starts)
	f.pass(time.Second)
	f.Report(s.Backend, basilwork.Report{}, f.now, f.now)
	must.SliceEmpty(t, f.Decide(f.now).Starts, must.Sprint("the start may still be on its way"))
	f.Stopped(s.Ref, true, f.now)
	f.pass(time.Millisecond)
	f.Report(s.Backend, basilwork.Report{}, f.now, f.now)
	starts := f.begin()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].Attempt)
	must.NotEq(t, s.Backend, starts[0].Backend)
}

// TestSlackOrder lets the job that can still make its objective go before one that can't, and the one
// with least slack first: a burst behind a long job.
func TestSlackOrder(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	long := stepOf(1, 1000)
	long.Estimate = 8 * time.Second
	f.add("long", long)
	f.pass(100 * time.Millisecond)
	f.add("tight", stepOf(1, 1000))
	f.pass(7 * time.Second)
	f.add("fresh", stepOf(1, 1000))
	var order []string
	for n := range 3 {
		starts := f.begin()
		must.Len(t, 1, starts)
		order = append(order, starts[0].Task.Job)
		f.pass(100 * time.Millisecond)
		f.report("b1", 100, end(starts[0].Task.String(), int64(n+1), 1, basilwork.RunEndDone))
	}
	must.Eq(t, "fresh", order[0], must.Sprint("tight and long are late"))
}

// TestOverloadIsNotServedJustTooLate starts the job that is likely to make its objective before the one that would
// need all its slack, and that one before a job that is late.
func TestOverloadIsNotServedJustTooLate(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	f.add("late", stepOf(1, 1000))
	f.pass(500 * time.Millisecond)
	f.add("at-risk", stepOf(1, 1000)) // has a second of work and 1.2 s of slack at first
	f.pass(600 * time.Millisecond)
	f.add("likely", stepOf(1, 1000))
	f.pass(590 * time.Millisecond)
	for n, job := range []string{"likely", "at-risk", "late"} {
		starts := f.begin()
		must.Len(t, 1, starts)
		must.Eq(t, job, starts[0].Task.Job)
		f.pass(time.Millisecond)
		f.report("b1", 100, end(starts[0].Task.String(), int64(n+1), 1, basilwork.RunEndDone))
	}
}

// TestLongRunningTaskIsNotPassedByShortOnes keeps room that becomes free for a task that is to be at work always, where
// short tasks would take each part of it.
func TestLongRunningTaskIsNotPassedByShortOnes(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.add("short", stepOf(20, 1000))
	running := f.begin()
	must.Len(t, 8, running)
	f.add("long", longStep(1, 3000))
	for n, s := range running {
		f.pass(100 * time.Millisecond)
		f.report(s.Backend, 50, end(s.Task.String(), int64(n+1), 1, basilwork.RunEndDone))
		for _, started := range f.begin() {
			if started.Task.Job == "long" {
				return
			}
		}
	}
	t.Fatal("the long-running task was not started")
}

// serving returns a pool whose long-running step of three tasks is at work on hosts of its own.
func serving(t *testing.T) *fixture {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
	f.add("long", longStep(3, 1000))
	starts := f.begin()
	must.Len(t, 3, starts)
	f.pass(time.Second)
	for _, s := range starts {
		f.report(s.Backend, 100)
	}
	return f
}

// TestOneOfAStepAway moves one task of a step at a time, and none while another is away or its host silent.
func TestOneOfAStepAway(t *testing.T) {
	f := serving(t)
	var busy []string
	for _, b := range []string{"b1", "b2", "b3", "b4"} {
		if f.Busy(b) {
			busy = append(busy, b)
		}
	}
	f.Evacuate(busy[0], true)
	f.Evacuate(busy[1], true)
	must.Len(t, 1, f.Decide(f.now).Stops)

	f = serving(t)
	f.SetReachable(busy[2], false)
	f.Evacuate(busy[0], true)
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("a task on a silent host is away"))

	f = serving(t)
	f.pass(reportAge)
	f.Evacuate(busy[0], true)
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("reports are too old to tell"))
}

// TestNotEmptyBeforeAnswer does not call a backend server empty that may have a predecessor's runs.
func TestNotEmptyBeforeAnswer(t *testing.T) {
	f := newFixture(t)
	f.Predecessor(backendOf("b1", 4000))
	f.Evacuate("b1", true)
	must.False(t, f.Emptied("b1"))
	f.Attached("b1")
	must.True(t, f.Emptied("b1"))
}

// TestAdoptionBeforeListing adopts runs of a backend server that answers before the list names it.
func TestAdoptionBeforeListing(t *testing.T) {
	f := newFixture(t)
	f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{stepOf(2, 1000)}}, Accepted: f.now.UnixMilli()}, true)
	f.Predecessor(backendOf("b1", 4000))
	f.Predecessor(backendOf("b2", 4000))
	f.Report("b1", basilwork.Report{Running: []basilwork.RunStatus{{Task: "j.0.0.0", Attempt: 3, Percent: 20}}}, f.now, f.now)
	f.Attached("b1")
	f.list(backendOf("b1", 4000))
	must.SliceEmpty(t, f.begin(), must.Sprint("b2 may run the other task"))
	f.pass(15 * time.Second)
	f.report("b1", 40)
	starts := f.begin()
	must.Len(t, 1, starts)
	must.Eq(t, "j.0.0.1", starts[0].Task.String())
}

// TestHostsBecomeEmptyAfterAPeak places a long task where another is expected to run as long, though a
// host that is fuller would be empty soon.
func TestHostsBecomeEmptyAfterAPeak(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	wide, long, next := stepOf(1, 3000), stepOf(1, 2000), stepOf(1, 500)
	wide.Estimate, long.Estimate, next.Estimate = 500*time.Millisecond, 9*time.Second, 8*time.Second
	f.add("wide", wide)
	soonEmpty := f.begin()[0].Backend
	f.add("long", long)
	stays := f.begin()[0].Backend
	must.NotEq(t, soonEmpty, stays)
	f.add("next", next)
	must.Eq(t, stays, f.begin()[0].Backend)
	f.pass(time.Second)
	f.report(soonEmpty, 0, end("wide.0.0.0", 1, 1, basilwork.RunEndDone))
	must.Eq(t, []string{soonEmpty}, f.Load(f.now).Idle)
}

// TestCrampedPoolAsksForAHost asks for one more host than it can use while a long-running task finds no room.
func TestCrampedPoolAsksForAHost(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	step := longStep(3, 3000)
	step.AntiAffinity = 0
	f.add("long", step)
	must.Len(t, 2, f.begin())
	must.Eq(t, 3, f.Load(f.now).Least)
	f.list(backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	must.Len(t, 1, f.begin())
	must.Eq(t, 0, f.Load(f.now).Least)
}

// TestGangAllOrNone starts a gang only when all of it has room, with one attempt number.
func TestGangAllOrNone(t *testing.T) {
	f := newFixture(t, backendOf("b1", 2000))
	gang := stepOf(3, 1000)
	gang.Gang = true
	f.add("j", gang)
	must.SliceEmpty(t, f.begin())
	f.list(backendOf("b1", 2000), backendOf("b2", 2000))
	starts := f.begin()
	must.Len(t, 3, starts)
	f.pass(time.Second)
	f.report("b1", 50, end(starts[0].Task.String(), 1, 1, basilwork.RunEndBroken))
	must.SliceEmpty(t, f.begin(), must.Sprint("the others have to end first"))
}

// TestBadHostIsLeftOut tells a host that fails everything from a job that fails everywhere.
func TestBadHostIsLeftOut(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000))
	for n := range 4 {
		f.add(fmt.Sprintf("j%d", n), stepOf(1, 1000))
	}
	starts := f.begin()
	f.pass(time.Second)
	var ends []basilwork.EndStatus
	for n, s := range starts {
		ends = append(ends, end(s.Task.String(), int64(n+1), 1, basilwork.RunEndFailed))
	}
	f.report("b1", 0, ends...)
	f.list(backendOf("b1", 8000), backendOf("b2", 8000))
	f.pass(retryPause)
	for _, s := range f.begin() {
		must.Eq(t, "b2", s.Backend)
	}
}

// TestPoolStaysCrampedWhileNothingMayStart goes on to ask for a host while starts are held back.
func TestPoolStaysCrampedWhileNothingMayStart(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	step := longStep(2, 3000)
	step.AntiAffinity = 0
	f.add("long", step)
	must.Len(t, 1, f.begin())
	must.Eq(t, 2, f.Load(f.now).Least)
	f.Allow(0)
	must.SliceEmpty(t, f.begin())
	must.Eq(t, 2, f.Load(f.now).Least)
}

// TestUnansweredStartIsNotStoppedWhileOthersAreAway waits for a report where a run whose start got no answer may be at work and
// as many others of its step are away as may be; without one it stops the run after a while.
func TestUnansweredStartIsNotStoppedWhileOthersAreAway(t *testing.T) {
	unanswered := func() (*fixture, Start) {
		f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
		f.add("long", longStep(3, 1000))
		starts := f.Decide(f.now).Starts
		must.Len(t, 3, starts)
		f.pass(time.Second)
		f.Started(starts[0].Ref, basilwork.RefusalNone, true, f.now) // the other two are away still
		f.Started(starts[2].Ref, basilwork.RefusalNone, false, f.now)
		must.SliceEmpty(t, f.Decide(f.now).Stops)
		return f, starts[2]
	}
	f, s := unanswered()
	f.report(s.Backend, 100)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.pass(unsureTime)
	f.report(s.Backend, 100)
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("it is there"))

	f, s = unanswered()
	f.pass(unsureTime)
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	must.Eq(t, s.Ref, stops[0].Ref)
}

// TestSuccessorWaitsForStopsOfItsPredecessor stops no long-running task while another one of its step may be about to end: a
// run that the predecessor has had stopped is listed as running until it has ended.
func TestSuccessorWaitsForStopsOfItsPredecessor(t *testing.T) {
	const stopTime = 900 * time.Millisecond
	f := newFixture(t)
	f.options.Stop = stopTime
	f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "long", Queue: "quote", Steps: []basilwork.Step{longStep(2, 1000)}}, Accepted: f.now.UnixMilli()}, true)
	f.list(backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	report := func() {
		for n, b := range []string{"b1", "b2"} {
			f.Report(b, basilwork.Report{Running: []basilwork.RunStatus{{Task: fmt.Sprintf("long.0.0.%d", n), Attempt: 1, Percent: 100}}}, f.now, f.now)
		}
	}
	f.Evacuate("b1", true)
	report()
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.pass(stopTime / 2)
	report()
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.pass(stopTime/2 + stopSlack)
	report()
	must.Len(t, 1, f.Decide(f.now).Stops)
}
