package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// openStarts has a task lose its backend server by a crash under its run, and then the given number by crashes that are found while its
// starts there have no answer. It returns these starts.
func openStarts(t *testing.T, count int) (*fixture, []Start) {
	t.Helper()
	f := newFixture(t, backendsWithoutRacks(8)...)
	f.addJob("j", stepOf(1, 1000))
	f.reportAll()
	f.Lost(f.decideAndStart()[0].Backend, basilwork.LossReplaced, f.now)
	var open []Start
	for range count {
		f.advance(20 * time.Millisecond)
		s := f.Decide(f.now).Starts
		must.Len(t, 1, s)
		f.advance(10 * time.Millisecond)
		f.Lost(s[0].Backend, basilwork.LossReplaced, f.now)
		open = append(open, s[0])
	}
	return f, open
}

func (f *fixture) crashesOf(id string) []basilwork.Crash {
	return f.jobs[id].occurrences[0].steps[0].progress.Crashes[0]
}

// TestJobOutlastsRefusalsAfterCrashes checks that a job is not failed while the starts that decide it may still be refused, and that the
// crashes counted under them are taken back once they are, also in what is stored.
func TestJobOutlastsRefusalsAfterCrashes(t *testing.T) {
	f, open := openStarts(t, 2)
	a := f.Decide(f.now)
	must.SliceEmpty(t, a.GivenUp)
	must.SliceEmpty(t, a.Starts)
	f.Take("j")
	for _, s := range open {
		f.Started(s.Ref, basilwork.RefusalGone, true, f.now)
	}
	must.Len(t, 1, f.crashesOf("j"))
	must.Eq(t, suspicionOf(f.crashesOf("j")), f.suspicion(basilwork.TaskID{Job: "j"}))
	must.Eq(t, basilwork.JobStateActive, f.state("j"))
	must.Len(t, 1, f.Decide(f.now).Starts)
}

// TestJobIsFailedOnceStartsStayUnanswered checks that the crashes count for good once a start got no answer or one that doesn't exclude that
// it began, or once none came in time, and that the task is not started meanwhile.
func TestJobIsFailedOnceStartsStayUnanswered(t *testing.T) {
	cases := []struct {
		name  string
		close func(f *fixture, s Start)
	}{
		{"no answer", func(f *fixture, s Start) { f.Started(s.Ref, basilwork.RefusalNone, false, f.now) }},
		{"started", func(f *fixture, s Start) { f.Started(s.Ref, basilwork.RefusalNone, true, f.now) }},
		{"old", func(f *fixture, s Start) { f.Started(s.Ref, basilwork.RefusalOld, true, f.now) }},
		{"nothing in time", func(f *fixture, _ Start) { f.advance(answerWait) }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f, open := openStarts(t, 2)
			must.SliceEmpty(t, f.Decide(f.now).GivenUp)
			var givenUp []GivenUp
			for _, s := range open {
				a := f.Decide(f.now)
				must.SliceEmpty(t, a.Starts)
				givenUp = append(givenUp, a.GivenUp...)
				tc.close(f, s)
			}
			must.Len(t, 1, append(givenUp, f.Decide(f.now).GivenUp...))
			must.Eq(t, basilwork.JobStateFailed, f.state("j"))
		})
	}
}

// TestFailedJobIsStoredThoughItsCrashesWereBefore checks that a job which is failed once a start stays unanswered is stored as failed, though
// the crashes that decide it had been stored before.
func TestFailedJobIsStoredThoughItsCrashesWereBefore(t *testing.T) {
	f, open := openStarts(t, 2)
	f.Decide(f.now)
	_, ok := f.Take("j")
	must.True(t, ok)
	for _, s := range open {
		f.Started(s.Ref, basilwork.RefusalNone, false, f.now)
	}
	must.Len(t, 1, f.Decide(f.now).GivenUp)
	ids, _ := f.DirtyJobs()
	must.Eq(t, []string{"j"}, ids)
	must.Eq(t, basilwork.JobStateFailed, f.state("j"))
}

// TestRefusedStartOnRestartedBackendIsNoCrash checks that a start which a backend server refused counts no crash there, though the server came
// back under its ID before the refusal arrived.
func TestRefusedStartOnRestartedBackendIsNoCrash(t *testing.T) {
	f := newFixture(t, backendsInRacks(2)...)
	f.addJob("j", stepOf(1, 1000))
	s := f.Decide(f.now).Starts[0]
	f.advance(10 * time.Millisecond)
	f.Restarted(s.Backend, basilwork.Report{}, f.now, f.now)
	must.Positive(t, f.suspicion(s.Task))
	f.Started(s.Ref, basilwork.RefusalBusy, true, f.now)
	must.Zero(t, f.suspicion(s.Task))
	must.MapEmpty(t, f.jobs["j"].occurrences[0].steps[0].progress.Crashes)
}

// TestStartRefusedBeforeCrashIsKnownIsNoSuspect checks that a crash found after the refusal doesn't count under the refused start.
func TestStartRefusedBeforeCrashIsKnownIsNoSuspect(t *testing.T) {
	f := newFixture(t, backendsInRacks(2)...)
	f.addJob("j", stepOf(1, 1000))
	s := f.Decide(f.now).Starts[0]
	f.Lost(s.Backend, basilwork.LossExpired, f.now)
	f.Started(s.Ref, basilwork.RefusalGone, true, f.now)
	b := backendOf(s.Backend, 8000)
	b.Address, b.StartedAt = s.Backend, 2
	f.setBackends(b)
	f.Decide(f.now)
	must.Zero(t, f.suspicion(s.Task))
}
