package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestRunThatOutlivesItsStopIsStoppedAgain checks that a run of a cancelled job that reports go on listing after its stop was
// answered is stopped again, as an earlier incarnation may have answered, and that nothing is repeated while it may still end.
func TestRunThatOutlivesItsStopIsStoppedAgain(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.options.StopTimeout = 900 * time.Millisecond
	f.addJob("one", stepOf(1, 1000))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	f.Cancel("one", f.now)
	must.Len(t, 1, f.Decide(f.now).Stops)
	f.Stopped(starts[0].Ref, true, f.now)
	f.advance(f.options.StopTimeout)
	f.report("b1", 50)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.advance(time.Second)
	f.report("b1", 50)
	must.Len(t, 1, f.Decide(f.now).Stops)
	f.Stopped(starts[0].Ref, true, f.now)
	f.advance(100 * time.Millisecond)
	f.Report("b1", basilwork.Report{}, f.now, f.now)
	must.Eq(t, 0, f.Load(f.now).Jobs)
}

// TestStopOfUnknownRunIsRepeatedUntilItEnds checks that a run without a job is stopped again while no stop is answered or none has
// an effect, once per interval however many reports list it.
func TestStopOfUnknownRunIsRepeatedUntilItEnds(t *testing.T) {
	const reportInterval = 100 * time.Millisecond
	f := newFixture(t, backendOf("b1", 4000))
	f.options.StopTimeout = 900 * time.Millisecond
	listing := basilwork.Report{Running: []basilwork.RunStatus{{Task: "one.0.0.0", Attempt: 1}}}
	var stops []Stop
	for range 10 {
		f.Report("b1", listing, f.now, f.now)
		stops = append(stops, f.Decide(f.now).Stops...)
		f.advance(reportInterval)
	}
	must.Len(t, 2, stops)
	must.True(t, f.HasOrphans("b1"))
	f.Stopped(stops[1].Ref, true, f.now)
	for range 20 {
		f.Report("b1", listing, f.now, f.now)
		stops = append(stops, f.Decide(f.now).Stops...)
		f.advance(reportInterval)
	}
	must.Len(t, 4, stops)
	f.Report("b1", basilwork.Report{}, f.now, f.now)
	must.False(t, f.HasOrphans("b1"))
}

// TestCancelledJobIsNotStoredAgain checks that a checkpoint of a stopped run doesn't have a cancelled job's record stored, which would
// replace the one that the cancellation left.
func TestCancelledJobIsNotStoredAgain(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	s := stepOf(1, 1000)
	s.Checkpointing = true
	f.addJob("one", s)
	must.Len(t, 1, f.decideAndStart())
	f.Cancel("one", f.now)
	f.advance(100 * time.Millisecond)
	f.report("b1", 50, basilwork.EndedRun{Number: 1, Task: "one.0.0.0", Attempt: 1, End: basilwork.RunEndStopped, Checkpoint: "x"})
	ids, _ := f.DirtyJobs()
	must.SliceEmpty(t, ids)
	must.Eq(t, 0, f.Load(f.now).Jobs)
}

// TestNothingStartsBesideUnknownRun checks that nothing is started on a backend server until a run without a job is gone there, as
// the room that it occupies is not known.
func TestNothingStartsBesideUnknownRun(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	listing := basilwork.Report{Running: []basilwork.RunStatus{{Task: "one.0.0.0", Attempt: 1}}}
	f.Report("b1", listing, f.now, f.now)
	f.addJob("j", stepOf(4, 1000))
	a := f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.SliceEmpty(t, a.Starts)
	f.Stopped(a.Stops[0].Ref, true, f.now)
	must.SliceEmpty(t, f.Decide(f.now).Starts, must.Sprint("a stopping run still occupies room"))
	f.advance(100 * time.Millisecond)
	f.Report("b1", basilwork.Report{}, f.now, f.now)
	must.Len(t, 4, f.decideAndStart())
}

// TestEndOfEarlierAttemptFinishesTask covers a task that was done on a silent server and ordered anew before its end was read: the end finishes
// it, the other run is stopped, and the owner is told.
func TestEndOfEarlierAttemptFinishesTask(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	f.addJob("j", stepOf(1, 1000))
	first := f.decideAndStart()[0]
	f.advance(time.Second)
	f.Lost(first.Backend, basilwork.LossExpired, f.now)
	second := f.decideAndStart()[0]
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000))
	f.report(first.Backend, 0, end("j.0.0.0", 1, first.Attempt, basilwork.RunEndDone))
	a := f.Decide(f.now)
	must.SliceEmpty(t, a.Starts)
	must.Eq(t, []Stop{{Ref: second.Ref, Reason: "another copy finished"}}, a.Stops)
	must.Eq(t, []EarlierEnd{{Ref: first.Ref, Newest: second.Attempt, Live: second.Backend}}, a.EarlierEnds)
	must.SliceEmpty(t, f.Decide(f.now).EarlierEnds)
	r, _ := f.Take("j")
	must.Eq(t, basilwork.JobStateCompleted, r.State)
}
