package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// adoptJob adds a job of a previous owner, and its backend servers b1, which answers with a run of each task, and b2, which is silent.
func (f *fixture) adoptJob(s basilwork.Step) {
	f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{s}}, Accepted: f.now.UnixMilli()}, true)
	f.AddPredecessorBackend(backendOf("b1", 16000), time.Time{})
	f.AddPredecessorBackend(backendOf("b2", 16000), time.Time{})
	f.Report("b1", basilwork.Report{Running: []basilwork.RunStatus{{Task: "j.0.0.0", Attempt: 3, ProgressPercent: 100}}}, f.now, f.now)
	f.Attached("b1")
	f.setBackends(backendOf("b1", 16000), backendOf("b3", 16000))
}

// TestTaskSeenRunningDoesNotWaitForSilentBackend checks that a task that a backend server has reported as running is started again as soon as
// that run has ended, though another server of the previous owner is silent: no other run of it can exist there.
func TestTaskSeenRunningDoesNotWaitForSilentBackend(t *testing.T) {
	f := newFixture(t)
	f.adoptJob(longStep(2, 1000))
	must.SliceEmpty(t, f.decideAndStart(), must.Sprint("b2 may run the other task"))
	f.advance(time.Second)
	f.report("b1", 100, end("j.0.0.0", 1, 3, basilwork.RunEndFailed))
	f.advance(retryPause)
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "j.0.0.0", starts[0].Task.String())
	must.Eq(t, "b3", starts[0].Backend)
}

// TestGangWaitsForSilentBackendUnlessAllMembersWereSeen checks that a gang isn't started while a silent backend server may run a member.
func TestGangWaitsForSilentBackendUnlessAllMembersWereSeen(t *testing.T) {
	f := newFixture(t)
	gang := stepOf(2, 1000)
	gang.Gang = true
	f.adoptJob(gang)
	f.report("b1", 0, end("j.0.0.0", 1, 3, basilwork.RunEndBroken))
	f.advance(time.Second)
	must.SliceEmpty(t, f.decideAndStart())
	f.advance(14 * time.Second)
	must.Len(t, 2, f.decideAndStart())
}

// TestWaitForSilentBackendEndsAtTheGivenTime checks that tasks are held back exactly as long as a former owner's leases last, which may be longer
// than the grace period, and for the grace period if that isn't known.
func TestWaitForSilentBackendEndsAtTheGivenTime(t *testing.T) {
	for _, c := range []struct{ until, waits time.Duration }{
		{2 * time.Second, 2 * time.Second},
		{time.Minute, time.Minute},
		{0, 14 * time.Second},
	} {
		f := newFixture(t)
		f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{longStep(1, 1000)}}, Accepted: f.now.UnixMilli()}, true)
		var until time.Time
		if c.until > 0 {
			until = f.now.Add(c.until)
		}
		f.AddPredecessorBackend(backendOf("b1", 16000), until)
		f.setBackends(backendOf("b2", 16000))
		f.advance(c.waits - time.Millisecond)
		must.SliceEmpty(t, f.decideAndStart())
		f.advance(time.Millisecond)
		must.Len(t, 1, f.decideAndStart())
	}
}

// TestTasksStartOnceSilentBackendHasEnded checks that nothing is held back for a backend server that has ended, except tasks that have crashed
// others before: it may have crashed under them.
func TestTasksStartOnceSilentBackendHasEnded(t *testing.T) {
	f := newFixture(t)
	suspected := basilwork.Record{Job: basilwork.Job{ID: "suspected", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000)}}, Accepted: f.now.UnixMilli()}
	progress := &basilwork.OccurrenceProgress{Steps: make([]basilwork.StepProgress, 1)}
	progress.Steps[0].AddCrash(0, basilwork.Crash{Attempt: 1, Weight: 1})
	suspected.Progress = map[int]*basilwork.OccurrenceProgress{0: progress}
	f.AddJob(suspected, true)
	f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{longStep(1, 1000)}}, Accepted: f.now.UnixMilli()}, true)
	f.AddPredecessorBackend(backendOf("b1", 16000), time.Time{})
	f.setBackends(backendOf("b2", 16000))
	must.SliceEmpty(t, f.decideAndStart())
	must.True(t, f.Ended("b1", f.now))
	must.False(t, f.Ended("b1", f.now))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "j.0.0.0", starts[0].Task.String())
	f.advance(14 * time.Second)
	starts = f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "suspected.0.0.0", starts[0].Task.String())
}

// TestLongRunningTaskRunsOnceItsBackendHasEnded checks that a long-running task that was at work on a silent backend server starts elsewhere once the
// server has ended, and that a short one, which may have crashed it, doesn't before the server is lost.
func TestLongRunningTaskRunsOnceItsBackendHasEnded(t *testing.T) {
	f := newFixture(t, backendOf("b1", 16000))
	f.addJob("serves", longStep(1, 1000))
	f.addJob("short", stepOf(1, 1000))
	must.Len(t, 2, f.decideAndStart())
	f.advance(time.Second)
	f.report("b1", 100)
	f.setBackends(backendOf("b1", 16000), backendOf("b2", 16000))
	must.False(t, f.Ended("b1", f.now), must.Sprint("it answers"))
	must.SliceEmpty(t, f.SilentBackends())
	f.SetReachable("b1", false)
	must.Eq(t, []string{"b1"}, f.SilentBackends())
	must.True(t, f.Ended("b1", f.now))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "serves.0.0.0", starts[0].Task.String())
	must.Eq(t, "b2", starts[0].Backend)
	must.SliceEmpty(t, f.SilentBackends())
	f.Lost("b1", basilwork.LossExpired, f.now)
	starts = f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "short.0.0.0", starts[0].Task.String())
}

// TestCrashIsCountedThoughItsServerHadEnded checks that a crash beside a change of owner counts for the tasks that have crashed others before, also
// if the list of hosts told that the backend server had ended before its host was seen with another one.
func TestCrashIsCountedThoughItsServerHadEnded(t *testing.T) {
	for _, listed := range []bool{false, true} {
		f := newFixture(t)
		r := basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000)}}, Accepted: f.now.UnixMilli()}
		progress := &basilwork.OccurrenceProgress{Steps: make([]basilwork.StepProgress, 1)}
		progress.Steps[0].AddCrash(0, basilwork.Crash{Attempt: 1, Weight: 1})
		r.Progress = map[int]*basilwork.OccurrenceProgress{0: progress}
		f.AddJob(r, true)
		f.AddPredecessorBackend(backendOf("b1", 16000), time.Time{})
		f.setBackends(backendOf("b2", 16000))
		f.decideAndStart()
		if listed {
			must.True(t, f.Ended("b1", f.now))
		}
		f.advance(3 * time.Second)
		f.setBackends(backendOf("b2", 16000))
		must.True(t, f.MayHaveRuns("b1"), must.Sprintf("its successor tells of the crash; listed: %v", listed))
		f.Lost("b1", basilwork.LossReplaced, f.now)
		f.decideAndStart()
		must.Len(t, 2, progress.Steps[0].Crashes[0], must.Sprintf("listed: %v", listed))
	}
}

// TestJobIsNotGivenUpForCrashesThatOwnersInferred checks that a task under which one backend server certainly crashed is not given up because
// servers crash beside changes of owner while it runs nowhere.
func TestJobIsNotGivenUpForCrashesThatOwnersInferred(t *testing.T) {
	f := newFixture(t)
	f.options.Epoch = 3
	r := basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000)}}, Accepted: f.now.UnixMilli()}
	progress := &basilwork.OccurrenceProgress{Steps: make([]basilwork.StepProgress, 1)}
	for _, c := range []basilwork.Crash{{Attempt: 1, Weight: 1, Uncertain: true}, {Attempt: 2, Weight: 1}, {Attempt: attemptsPerEpoch, Weight: 1, Uncertain: true}} {
		progress.Steps[0].AddCrash(0, c)
	}
	r.Progress = map[int]*basilwork.OccurrenceProgress{0: progress}
	f.AddJob(r, true)
	f.AddPredecessorBackend(backendOf("b1", 16000), time.Time{})
	f.setBackends(backendOf("b2", 16000))
	must.SliceEmpty(t, f.decideAndStart())
	f.Lost("b1", basilwork.LossReplaced, f.now)
	must.SliceEmpty(t, f.Decide(f.now).GivenUp)
	must.Len(t, 4, progress.Steps[0].Crashes[0])
	must.NotEq(t, basilwork.JobStateFailed, f.state("j"))
}
