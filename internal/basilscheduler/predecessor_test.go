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

// TestWaitForSilentBackendEndsAtTheGivenTime checks that tasks are held back no longer than a former owner's leases last, and in no case
// longer than the grace period.
func TestWaitForSilentBackendEndsAtTheGivenTime(t *testing.T) {
	for _, c := range []struct{ until, waits time.Duration }{
		{2 * time.Second, 2 * time.Second},
		{time.Minute, 14 * time.Second},
	} {
		f := newFixture(t)
		f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{longStep(1, 1000)}}, Accepted: f.now.UnixMilli()}, true)
		f.AddPredecessorBackend(backendOf("b1", 16000), f.now.Add(c.until))
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
