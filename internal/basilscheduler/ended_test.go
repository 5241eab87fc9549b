package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// endServer has the server of a start fall silent 100 ms after it was answered, and the list of hosts tell 1.9 s later that it has ended.
func (f *fixture) endServer(s Start) {
	f.advance(100 * time.Millisecond)
	f.report(s.Backend, 0)
	f.SetReachable(s.Backend, false)
	f.advance(1900 * time.Millisecond)
	f.Ended(s.Backend, f.now)
}

// TestLongRunningTaskThatWasNotAtWorkRunsAfterItsServerHasEnded checks that it starts elsewhere 3 s after the last answer of the server, and that the
// server's crash counts for it if that shows later, by whatever way.
func TestLongRunningTaskThatWasNotAtWorkRunsAfterItsServerHasEnded(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		f := newFixture(t, backendOf("b1", 1000))
		f.addJob("j", longStep(1, 1000))
		s := f.decideAndStart()[0]
		f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
		must.SliceEmpty(t, f.SilentBackends())
		f.endServer(s)
		must.SliceEmpty(t, f.SilentBackends())
		must.SliceEmpty(t, f.decideAndStart())
		f.advance(minEndedRunWait - 1900*time.Millisecond)
		again := f.decideAndStart()
		must.Len(t, 1, again)
		must.Eq(t, "b2", again[0].Backend)
		f.setBackends(backendOf("b2", 1000))
		must.True(t, f.MayHaveRuns("b1"))
		must.False(t, f.Busy("b1"))
		reason := basilwork.LossExpired
		if crashed {
			reason = basilwork.LossReplaced
		}
		f.Lost("b1", reason, f.now)
		must.False(t, f.MayHaveRuns("b1"))
		must.Eq(t, crashed, len(f.findTask(s.Task).step.progress.Crashes[0]) > 0)
	}
}

// TestCrashCountsForRunThatWasGivenUp checks that the crash of a server that starts again under its ID counts for a run that was given up there, and
// that the answer of one that was only unreachable doesn't.
func TestCrashCountsForRunThatWasGivenUp(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newFixture(t, backendOf("b1", 1000))
		f.addJob("j", longStep(1, 1000))
		s := f.decideAndStart()[0]
		f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
		f.endServer(s)
		f.advance(minEndedRunWait)
		must.Len(t, 1, f.decideAndStart())
		if restarted {
			f.Restarted("b1", basilwork.Report{}, f.now, f.now)
		}
		f.Report("b1", basilwork.Report{}, f.now, f.now)
		f.Lost("b1", basilwork.LossReplaced, f.now)
		must.Eq(t, restarted, len(f.findTask(s.Task).step.progress.Crashes[0]) > 0)
	}
}

// TestTaskThatMayHaveCrashedServersWaitsLongerForTheNextOne checks that each server that may have crashed under a task delays its next start, so that
// it doesn't crash more servers than are counted.
func TestTaskThatMayHaveCrashedServersWaitsLongerForTheNextOne(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000))
	f.addJob("j", longStep(1, 1000))
	list := []basilwork.Backend{backendOf("b1", 1000)}
	s := f.decideAndStart()[0]
	for n := range 3 {
		f.endServer(s)
		list = append(list, backendOf(fmt.Sprint("c", n), 1000))
		f.setBackends(list...)
		f.SetReachable(s.Backend, false)
		if n == 1 {
			f.Lost("b1", basilwork.LossExpired, f.now) // it may have crashed all the same
			list = list[1:]
		}
		waits := min(3+2*n, 6) // 7 s after the last loss it is missed
		f.advance(time.Duration(waits)*time.Second - 1900*time.Millisecond - time.Millisecond)
		must.SliceEmpty(t, f.decideAndStart(), must.Sprint(n))
		f.advance(time.Millisecond)
		starts := f.decideAndStart()
		must.Len(t, 1, starts, must.Sprint(n))
		s = starts[0]
	}
}

// TestLongRunningTaskRunsAgainThoughCrashCountsForIt checks that a new owner holds a long-running task for which a crash counts back for 5 s, not for
// the leases of a server of its predecessor that has ended, and a short one for these.
func TestLongRunningTaskRunsAgainThoughCrashCountsForIt(t *testing.T) {
	for _, c := range []struct {
		step  basilwork.Step
		waits time.Duration
	}{{longStep(1, 1000), 5 * time.Second}, {stepOf(1, 1000), 12 * time.Second}} {
		f := newFixture(t)
		r := basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{c.step}}, Accepted: f.now.UnixMilli()}
		r.Progress = map[int]*basilwork.OccurrenceProgress{0: {Steps: make([]basilwork.StepProgress, 1)}}
		r.Progress[0].Steps[0].AddCrash(0, basilwork.Crash{Attempt: 1, Weight: 1})
		f.AddJob(r, true)
		f.AddPredecessorBackend(backendOf("b1", 16000), f.now.Add(12*time.Second))
		f.setBackends(backendOf("b2", 16000))
		must.True(t, f.Ended("b1", f.now))
		must.SliceEmpty(t, f.decideAndStart())
		must.False(t, f.Wake().After(f.now.Add(c.waits)))
		f.advance(c.waits - time.Millisecond)
		must.SliceEmpty(t, f.decideAndStart())
		must.False(t, f.Wake().After(f.now.Add(time.Millisecond)))
		f.advance(time.Millisecond)
		must.Len(t, 1, f.decideAndStart())
	}
}

// TestLongRunningTaskIsNotStartedOnServerThatHasFallenSilent checks that a long-running task goes to a server that answers, though another one has
// more such tasks, and to one that has not answered lately rather than to none.
func TestLongRunningTaskIsNotStartedOnServerThatHasFallenSilent(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	step := longStep(2, 1000)
	step.AntiAffinity = 0
	f.addJob("j1", step)
	f.decideAndStart()
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 1000))
	f.advance(time.Second)
	f.report("b2", 0)
	f.addJob("j2", step)
	starts := f.decideAndStart()
	must.Len(t, 2, starts)
	must.Eq(t, "b2", starts[0].Backend)
	must.Eq(t, "b1", starts[1].Backend)
}

// TestRunWhoseRepeatedStartWasOvertakenIsGivenUp checks that a run on a server that has ended is given up in 3 s though a report, or the answer to
// its stop, came before that to a repeated request for its start.
func TestRunWhoseRepeatedStartWasOvertakenIsGivenUp(t *testing.T) {
	for _, stopped := range []bool{false, true} {
		f := newFixture(t, backendOf("b1", 1000))
		f.addJob("j", longStep(1, 1000))
		s := f.Decide(f.now).Starts[0]
		f.advance(200 * time.Millisecond)
		f.Started(s.Ref, basilwork.RefusalNone, false, f.now)
		must.Len(t, 1, f.Decide(f.now).Starts)
		if stopped {
			f.Evacuate("b1", true)
			f.advance(unansweredWait)
			must.Len(t, 1, f.Decide(f.now).Stops)
			f.Stopped(s.Ref, true, f.now)
		} else {
			f.report("b1", 0)
		}
		f.Started(s.Ref, basilwork.RefusalNone, !stopped, f.now)
		f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
		f.backends["b1"].heardAt = f.now
		f.SetReachable("b1", false)
		f.advance(minEndedRunWait)
		must.True(t, f.Ended("b1", f.now))
		starts := f.decideAndStart()
		must.Len(t, 1, starts, must.Sprint(stopped))
		must.Eq(t, "b2", starts[0].Backend)
	}
}

// TestGivenUpRunStillTellsWhatWasStartedAfterSilence checks that a task which was started on a silent server after a long-running one isn't suspected
// of its crash once the other has been given up.
func TestGivenUpRunStillTellsWhatWasStartedAfterSilence(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.report("b1", 0)
	for n, s := range []basilwork.Step{longStep(1, 1000), stepOf(1, 1000)} {
		f.advance(200 * time.Millisecond)
		id := []string{"long", "short"}[n]
		f.addJob(id, s)
		starts := firstRequests(f.Decide(f.now).Starts)
		must.Len(t, 1, starts)
		must.Eq(t, id, starts[0].Task.Job)
		f.advance(200 * time.Millisecond)
		f.Started(starts[0].Ref, basilwork.RefusalNone, false, f.now)
	}
	f.SetReachable("b1", false)
	f.advance(minEndedRunWait)
	for _, r := range f.backends["b1"].sortedRuns() {
		f.Started(r.ref(), basilwork.RefusalUnsent, true, f.now) // its repetition
	}
	must.True(t, f.Ended("b1", f.now))
	f.Decide(f.now)
	must.Len(t, 1, f.backends["b1"].runs)
	f.Lost("b1", basilwork.LossReplaced, f.now)
	must.Len(t, 1, f.crashesOf("long"))
	must.SliceEmpty(t, f.crashesOf("short"))
}

// TestLongRunningTaskPrefersIdleServerToOneDueForMaintenance checks that a server that is asked seldom, as it is idle, doesn't pass for one that has
// fallen silent.
func TestLongRunningTaskPrefersIdleServerToOneDueForMaintenance(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.addJob("busy", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000))
	f.SetMaintenanceDue([]string{"b1"})
	f.report("b2", 0)
	f.advance(idleReportTime - time.Millisecond)
	f.report("b1", 0)
	f.addJob("j", longStep(1, 1000))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "b2", starts[0].Backend)
}
