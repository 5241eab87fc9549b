package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestAbsenceIsCountedOverLossOfServer checks that the absence of a long-running task counts from when it was last known to be at work, not from the
// loss of its server: a line said 13.5 s for a task without an answer for 20.4 s.
func TestAbsenceIsCountedOverLossOfServer(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 100))
	r := f.withRun(t, longStep(1, 1000))
	f.advance(time.Second)
	f.report("b1", 100)
	f.advance(7 * time.Second)
	f.Lost("b1", basilwork.LossExpired, f.now)
	f.wait(3 * time.Second)
	w := f.ExplainWaits(f.now)
	must.Len(t, 1, w.List)
	must.Eq(t, 3*time.Second, w.List[0].Waited)
	must.Eq(t, 10*time.Second, w.List[0].Away)
	must.Eq(t, []Absence{{Task: r.Task, Attempt: 1, Since: f.now.Add(-10 * time.Second)}}, f.Absences(f.now, 10))
	must.SliceEmpty(t, f.Absences(f.now, 0))

	f.setBackends(backendOf("b2", 100), backendOf("b3", 4000))
	must.Len(t, 1, f.decideAndStart())
	must.Eq(t, Returns{Tasks: 1, Longest: 10 * time.Second, Task: r.Task, Attempt: 2}, f.TakeReturns())
	must.Eq(t, Returns{}, f.TakeReturns())
	must.SliceEmpty(t, f.Absences(f.now, 10))
}

// TestSilentServerIsNoReturn checks that a run that is listed again after a silence doesn't count as one that has returned.
func TestSilentServerIsNoReturn(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.withRun(t, longStep(1, 1000))
	f.advance(time.Second)
	f.report("b1", 100)
	f.advance(5 * time.Second)
	must.Len(t, 1, f.Absences(f.now, 1))
	f.report("b1", 100)
	must.SliceEmpty(t, f.Absences(f.now, 1))
	must.Eq(t, Returns{}, f.TakeReturns())
}

// TestAbsenceIsCountedOverChangeOfOwner checks that it counts from what the previous owner knew, unless this owner has seen the task at work.
func TestAbsenceIsCountedOverChangeOfOwner(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.options.Epoch = 2
	f.AddJob(basilwork.Record{
		Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{longStep(2, 1000), stepOf(1, 1000)}}, Accepted: f.now.UnixMilli(),
	}, true)
	f.SetStartLimit(0)
	f.wait(0)
	at := f.now.Add(-6 * time.Second)
	f.InheritAbsence(Absence{Task: basilwork.TaskID{Job: "j"}, Attempt: 1, Since: at})
	f.InheritAbsence(Absence{Task: basilwork.TaskID{Job: "j", Step: 1}, Attempt: 1, Since: at})
	f.InheritAbsence(Absence{Task: basilwork.TaskID{Job: "gone"}, Attempt: 1, Since: at})
	f.wait(3 * time.Second)
	w := f.ExplainWaits(f.now)
	must.SliceNotEmpty(t, w.List)
	must.True(t, w.List[0].LongRunning)
	must.Eq(t, 9*time.Second, w.List[0].Away)
	must.Len(t, 1, f.Absences(f.now, 10))
	f.SetStartLimit(10)
	f.decideAndStart()
	f.InheritAbsence(Absence{Task: basilwork.TaskID{Job: "j"}, Attempt: 1, Since: at})
	must.SliceEmpty(t, f.Absences(f.now, 10))
	must.Eq(t, 9*time.Second, f.TakeReturns().Longest)
}
