package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestStepRunsAfterEndOfSilentBackend checks that a step starts once the work before it is done, though the end is read late: the backend
// server was silent for longer than its lease, and the task has been started again elsewhere. The step waited for that run too.
func TestStepRunsAfterEndOfSilentBackend(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	second := longStep(1, 1000)
	second.After = []int{0}
	f.addJob("j", stepOf(1, 1000), second)
	first := f.decideAndStart()[0]
	f.advance(7 * time.Second)
	f.Lost(first.Backend, basilwork.LossExpired, f.now)
	again := f.decideAndStart()
	must.Len(t, 1, again)
	must.NotEq(t, first.Backend, again[0].Backend)
	f.advance(time.Second)
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000))
	f.report(first.Backend, 0, end("j.0.0.0", 1, first.Attempt, basilwork.RunEndDone))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, 1, starts[0].Task.Step)
}

// TestStartOnRestartedBackendIsNoCrash checks that a job isn't failed for a start that a backend server began after it had crashed and come
// back under its ID, which a report requested before the answer doesn't list. It counted as a run under which the server crashed.
func TestStartOnRestartedBackendIsNoCrash(t *testing.T) {
	f := newFixture(t, backendsInRacks(6)...)
	f.addJob("j", stepOf(1, 1000))
	f.crash(f.decideAndStart()[0].Backend)
	f.Take("j")
	s := f.Decide(f.now).Starts[0]
	f.advance(10 * time.Millisecond)
	sent := f.now
	f.advance(10 * time.Millisecond)
	f.Started(s.Ref, basilwork.RefusalNone, true, f.now)
	f.advance(10 * time.Millisecond)
	f.Restarted(s.Backend, basilwork.Report{}, sent, f.now)
	f.Report(s.Backend, basilwork.Report{}, sent, f.now)
	must.SliceEmpty(t, f.Decide(f.now).GivenUp)
}

// TestJobIsNotFailedForStartsInFlightWhenServersCrash checks that a job outlasts the crash of all backend servers at once: its task ran on one
// of them, and the starts that were on their way to others, which had crashed before, were refused there.
func TestJobIsNotFailedForStartsInFlightWhenServersCrash(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(6)...)
	f.addJob("j", stepOf(1, 1000))
	f.reportAll()
	f.Lost(f.decideAndStart()[0].Backend, basilwork.LossReplaced, f.now)
	for range 2 {
		f.advance(20 * time.Millisecond)
		s := f.Decide(f.now).Starts
		must.Len(t, 1, s)
		f.advance(10 * time.Millisecond)
		f.Lost(s[0].Backend, basilwork.LossReplaced, f.now)
		f.Started(s[0].Ref, basilwork.RefusalGone, true, f.now)
	}
	must.SliceEmpty(t, f.Decide(f.now).GivenUp)
}

// TestStepAsksForAdviceOnBackendsThatCameLater checks that a step whose queue needs advice runs on a backend server that became usable after the
// advice was asked for, as most do after a change of owner. It waited for the end of the advice's validity.
func TestStepAsksForAdviceOnBackendsThatCameLater(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{
		{Name: "quote", Service: "stretch", Advice: &basilwork.Advice{ValidFor: time.Minute}},
	}})
	f.addJob("j", longStep(2, 1000))
	asked := f.Decide(f.now).Advice
	must.Len(t, 1, asked)
	f.Advised(asked[0], []basilwork.Ticket{{Backend: "b1", Value: "ticket"}}, time.Minute, f.now)
	must.Len(t, 1, f.decideAndStart())
	f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
	for range 30 {
		f.advance(100 * time.Millisecond)
		for _, a := range f.Decide(f.now).Advice {
			must.SliceContains(t, a.Backends, "b2")
			return
		}
	}
	t.Fatal("no advice on b2 was asked for in 3 s")
}

// restartedGang starts a gang of two, gives up the backend servers of both members, starts the gang anew on others and lets the first ones return.
func restartedGang(t *testing.T) (f *fixture, first, second []Start) {
	t.Helper()
	list := []basilwork.Backend{backendOf("b1", 1000), backendOf("b2", 1000), backendOf("b3", 1000), backendOf("b4", 1000)}
	f = newFixture(t, list...)
	gang, next := stepOf(2, 1000), stepOf(1, 500)
	gang.Gang = true
	next.After = []int{0}
	f.addJob("j", gang, next)
	first = f.decideAndStart()
	must.Len(t, 2, first)
	f.advance(7 * time.Second)
	for _, s := range first {
		f.Lost(s.Backend, basilwork.LossExpired, f.now)
	}
	second = f.decideAndStart()
	must.Len(t, 2, second)
	f.advance(time.Second)
	f.setBackends(list...)
	return f, first, second
}

// TestLapsedRunOfEarlierAttemptStopsNoGang checks that a gang works on when a backend server returns and lists the end of an earlier attempt.
func TestLapsedRunOfEarlierAttemptStopsNoGang(t *testing.T) {
	f, first, _ := restartedGang(t)
	f.report(first[0].Backend, 0, end(first[0].Task.String(), 1, first[0].Attempt, basilwork.RunEndLapsed))
	must.SliceEmpty(t, f.Decide(f.now).Stops)
}

// TestRunsOfFinishedGangAreStopped checks that the runs of a gang's newer attempt are stopped once an earlier one has finished it.
func TestRunsOfFinishedGangAreStopped(t *testing.T) {
	f, first, _ := restartedGang(t)
	f.report(first[0].Backend, 0, end(first[0].Task.String(), 1, first[0].Attempt, basilwork.RunEndDone))
	a := f.Decide(f.now)
	must.Len(t, 1, a.EarlierEnds)
	must.Len(t, 2, a.Stops)
}

// TestEarlierEndTeachesNoRunTime checks that the end of an earlier attempt, whose start isn't known any more, doesn't count as a run that took
// no time.
func TestEarlierEndTeachesNoRunTime(t *testing.T) {
	f := newFixture(t, backendOf("b1", 20000), backendOf("b2", 20000))
	f.addJob("j", stepOf(20, 1000))
	first := f.decideAndStart()
	must.Len(t, 20, first)
	f.advance(time.Second)
	gone := first[0].Backend
	f.Lost(gone, basilwork.LossExpired, f.now)
	f.decideAndStart()
	f.setBackends(backendOf("b1", 20000), backendOf("b2", 20000))
	f.Take("j")
	var ends []basilwork.EndedRun
	for _, s := range first {
		if s.Backend == gone {
			ends = append(ends, end(s.Task.String(), int64(len(ends)+1), s.Attempt, basilwork.RunEndDone))
		}
	}
	must.Positive(t, len(ends))
	f.report(gone, 0, ends...)
	must.SliceNotEmpty(t, f.Decide(f.now).EarlierEnds)
	for _, l := range f.runTimes {
		must.Eq(t, 1, l.ratio, must.Sprint(len(ends)))
	}
}

// TestBackendWithUnstoredEndIsNotEmptied checks that a backend server does not count as emptied before the effect of its last end is stored.
func TestBackendWithUnstoredEndIsNotEmptied(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.addJob("j", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
	f.Evacuate("b1", true)
	must.False(t, f.IsEmptied("b1", 0))
	f.report("b1", 0, end("j.0.0.0", 1, 1, basilwork.RunEndDone))
	must.False(t, f.IsEmptied("b1", 0))
	must.True(t, f.IsEmptied("b1", 1))
}
