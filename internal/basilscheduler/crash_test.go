package basilscheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// crash has the backend server replaced by a new incarnation at its address, under another ID.
func (f *fixture) crash(id string) string {
	b := f.backends[id].Backend
	f.advance(3 * time.Second)
	f.Lost(id, basilwork.LossReplaced, f.now)
	b.ID += "'"
	list := []basilwork.Backend{b}
	for _, o := range f.list {
		list = append(list, o.Backend)
	}
	f.setBackends(list...)
	return b.ID
}

// backendsInRacks returns backend servers that stand two to a rack.
func backendsInRacks(count int) []basilwork.Backend {
	list := make([]basilwork.Backend, 0, count)
	for n := range count {
		b := backendOf(fmt.Sprintf("b%d", n), 8000)
		b.Address, b.Rack, b.StartedAt = b.ID, fmt.Sprintf("r1-%d", n/2), 1
		list = append(list, b)
	}
	return list
}

// backendsWithoutRacks returns backend servers of which no crash passes for one of a rack.
func backendsWithoutRacks(count int) []basilwork.Backend {
	list := backendsInRacks(count)
	for n := range list {
		list[n].Rack = ""
	}
	return list
}

// reportAll sends reports of all backend servers.
func (f *fixture) reportAll() {
	for _, b := range f.list {
		f.report(b.ID, 50)
	}
}

// state returns the state of the job, which must have unsaved changes.
func (f *fixture) state(id string) basilwork.JobState {
	r, _ := f.Take(id)
	return r.State
}

// TestTaskThatCrashesBackendsIsGivenUp checks that a task is given up after the second backend server that crashed at its start,
// and none that ran beside it.
func TestTaskThatCrashesBackendsIsGivenUp(t *testing.T) {
	f := newFixture(t, backendsInRacks(6)...)
	f.addJob("beside", stepOf(12, 1000))
	must.Len(t, 12, f.decideAndStart())
	f.advance(200 * time.Millisecond)
	f.reportAll()
	f.addJob("bad", stepOf(1, 1000))
	for n := range 2 {
		starts := f.decideAndStart()
		for _, s := range starts {
			if s.Task.Job == "bad" {
				must.Eq(t, n+1, s.Attempt)
				f.crash(s.Backend)
			}
		}
	}
	a := f.Decide(f.now)
	must.Len(t, 1, a.GivenUp)
	must.Eq(t, "bad", a.GivenUp[0].Task.Job)
	must.Eq(t, basilwork.JobStateFailed, f.state("bad"))
	must.NotEq(t, basilwork.JobStateFailed, f.state("beside"))
}

// TestTaskStartedTogetherWithCrashingOneIsNotGivenUp checks that a task outlasts two crashes that it did not cause, if another was
// started at the same moment before the second.
func TestTaskStartedTogetherWithCrashingOneIsNotGivenUp(t *testing.T) {
	f := newFixture(t, backendsInRacks(4)...)
	for n, id := range []string{"b0", "b2"} {
		for _, b := range f.list {
			b.recorded = b.ID == id
		}
		if n == 0 {
			f.addJob("beside", stepOf(1, 1000))
			must.Len(t, 1, f.decideAndStart())
			f.advance(time.Second)
			f.report(id, 50)
		}
		f.addJob(fmt.Sprint("bad", n), stepOf(1, 1000))
		must.Len(t, 1+n, f.decideAndStart())
		f.crash(id)
		f.Cancel("bad0", f.now)
	}
	must.SliceEmpty(t, f.Decide(f.now).GivenUp)
	must.NotEq(t, basilwork.JobStateFailed, f.state("beside"))
}

// TestTaskBesideCrashingOnesIsNotGivenUp checks that a task outlasts the crashes of four backend servers where other tasks had just been
// started that were given up since, but is given up after the fifth: it may crash them late in its run.
func TestTaskBesideCrashingOnesIsNotGivenUp(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(12)...)
	only := func(ids ...string) {
		for _, b := range f.list {
			b.recorded = slices.Contains(ids, b.ID)
		}
	}
	home := "b0"
	only(home)
	f.addJob("beside", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
	for n := range 5 {
		f.advance(time.Second)
		f.report(home, 10+n)
		bad := fmt.Sprint("bad", n)
		f.addJob(bad, stepOf(1, 1000))
		only(home)
		must.Len(t, 1, f.decideAndStart())
		f.crash(home)
		if n == 4 {
			break
		}
		must.NotEq(t, basilwork.JobStateFailed, f.state("beside"))
		only(fmt.Sprint("b", 2*n+1), fmt.Sprint("b", 2*n+2))
		starts := f.decideAndStart()
		must.Len(t, 2, starts)
		slices.SortFunc(starts, func(a, b Start) int { return -strings.Compare(a.Task.Job, b.Task.Job) })
		home = starts[0].Backend
		f.crash(starts[1].Backend)
		must.Eq(t, basilwork.JobStateFailed, f.state(bad))
	}
	must.Eq(t, basilwork.JobStateFailed, f.state("beside"))
}

// TestTaskIsGivenUpAfterFourCrashes checks that a task is given up after four crashes at most, however long it ran before each and
// whatever else was started beside it.
func TestTaskIsGivenUpAfterFourCrashes(t *testing.T) {
	f := newFixture(t, backendsInRacks(12)...)
	f.addJob("bad", stepOf(1, 1000))
	crashes := 0
	for n := 0; f.jobs["bad"] != nil && !f.jobs["bad"].record.State.Final(); n++ {
		must.Less(t, 5, n)
		starts := f.decideAndStart()
		f.advance(time.Second)
		f.reportAll()
		f.addJob(fmt.Sprint("beside", n), stepOf(12, 1000))
		f.decideAndStart()
		for _, s := range starts {
			if s.Task.Job == "bad" {
				crashes++
				f.crash(s.Backend)
			}
		}
	}
	must.Between(t, 2, crashes, 4)
	must.Eq(t, basilwork.JobStateFailed, f.state("bad"))
}

// TestTasksOfFailedRackAreNotGivenUp checks that tasks outlast two failures of the racks that they run in.
func TestTasksOfFailedRackAreNotGivenUp(t *testing.T) {
	f := newFixture(t, backendsInRacks(6)...)
	f.addJob("j", stepOf(16, 1000))
	for range 2 {
		starts := f.decideAndStart()
		f.reportAll()
		rack := f.backends[starts[0].Backend].Rack
		var ids []string
		for _, b := range f.list {
			if b.Rack == rack {
				ids = append(ids, b.ID)
				f.SetReachable(b.ID, false)
			}
		}
		must.Len(t, 2, ids)
		for _, id := range ids {
			f.crash(id)
		}
	}
	must.SliceEmpty(t, f.Decide(f.now).GivenUp)
	must.NotEq(t, basilwork.JobStateFailed, f.state("j"))
}

// TestUnreachableBackendIsNoCrash checks that a lost backend server counts as crashed only if it comes back in another incarnation.
func TestUnreachableBackendIsNoCrash(t *testing.T) {
	for _, started := range []int64{1, 2} {
		f := newFixture(t, backendsInRacks(2)...)
		f.addJob("j", stepOf(1, 1000))
		id := f.decideAndStart()[0].Backend
		b := f.backends[id].Backend
		f.advance(7 * time.Second)
		f.Lost(id, basilwork.LossExpired, f.now)
		b.StartedAt = started
		other := f.list[0].Backend
		f.setBackends(b, other)
		f.Decide(f.now)
		must.Eq(t, started > 1, f.jobs["j"].occurrences[0].steps[0].tasks[0].suspicion > 0)
	}
}

// TestCrashCountsAfterSuccessorLeft checks that a crash counts though the newer incarnation left again before the lost one's leases had
// expired.
func TestCrashCountsAfterSuccessorLeft(t *testing.T) {
	f := newFixture(t, backendsInRacks(2)...)
	f.addJob("j", stepOf(1, 1000))
	id := f.decideAndStart()[0].Backend
	lost, other := f.backends["b0"].Backend, f.backends["b1"].Backend
	if id == "b1" {
		lost, other = other, lost
	}
	successor := lost
	successor.ID, successor.StartedAt = "successor", 2
	f.setBackends(lost, other, successor)
	f.setBackends(lost, other)
	f.advance(7 * time.Second)
	f.Lost(id, basilwork.LossExpired, f.now)
	f.Decide(f.now)
	must.Positive(t, f.suspicion(basilwork.TaskID{Job: "j"}))
}

// TestLongRunningTaskAtWorkIsNoSuspect checks that crashes count against a long-running task only until it is at work.
func TestLongRunningTaskAtWorkIsNoSuspect(t *testing.T) {
	f := newFixture(t, backendsInRacks(8)...)
	f.addJob("j", longStep(1, 1000))
	suspicion := func() int { return f.jobs["j"].occurrences[0].steps[0].tasks[0].suspicion }
	first := f.decideAndStart()[0].Backend
	f.crash(first)
	must.Positive(t, suspicion())
	for range 4 {
		id := f.decideAndStart()[0].Backend
		f.advance(time.Second)
		f.report(id, 100)
		must.Zero(t, suspicion())
		f.crash(id)
		must.Zero(t, suspicion())
	}
}

// TestStartsToSilentBackendAreNoSuspects checks that of the starts without an answer only the first may have crashed the backend
// server.
func TestStartsToSilentBackendAreNoSuspects(t *testing.T) {
	f := newFixture(t, backendsInRacks(1)...)
	for n := range 3 {
		id := fmt.Sprint("j", n)
		f.addJob(id, stepOf(1, 1000))
		starts := firstRequests(f.Decide(f.now).Starts)
		must.Len(t, 1, starts)
		f.advance(200 * time.Millisecond)
		f.Started(starts[0].Ref, basilwork.RefusalNone, false, f.now)
	}
	f.crash("b0")
	for n, positive := range []bool{true, false, false} {
		must.Eq(t, positive, f.jobs[fmt.Sprint("j", n)].occurrences[0].steps[0].tasks[0].suspicion > 0)
	}
}

// TestEarlierUnansweredStartHidesNoCrash checks that a crash counts for the start that came before it, although an earlier start without
// an answer has not been cleared up yet and the backend server answered in between.
func TestEarlierUnansweredStartHidesNoCrash(t *testing.T) {
	f := newFixture(t, backendsInRacks(1)...)
	for _, id := range []string{"j", "bad"} {
		f.addJob(id, stepOf(1, 1000))
		starts := firstRequests(f.Decide(f.now).Starts)
		must.Len(t, 1, starts)
		f.advance(200 * time.Millisecond)
		f.Started(starts[0].Ref, basilwork.RefusalNone, false, f.now)
		if id == "j" {
			f.Report("b0", basilwork.Report{}, f.now, f.now)
			f.advance(100 * time.Millisecond)
		}
	}
	f.crash("b0")
	must.Positive(t, f.suspicion(basilwork.TaskID{Job: "bad"}))
}

// TestJobIsNotFailedForStartsToSilentBackends checks that a task is not given up after one crash under it and a start that a
// backend server, which had crashed by itself, may never have begun, but after one more.
func TestJobIsNotFailedForStartsToSilentBackends(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(8)...)
	f.addJob("j", stepOf(1, 1000))
	f.crash(f.decideAndStart()[0].Backend)
	starts := f.Decide(f.now).Starts
	must.Len(t, 1, starts)
	f.advance(200 * time.Millisecond)
	f.Started(starts[0].Ref, basilwork.RefusalNone, false, f.now)
	f.crash(starts[0].Backend)
	starts = f.decideAndStart()
	must.Len(t, 1, starts)
	must.NotEq(t, basilwork.JobStateFailed, f.state("j"))
	f.crash(starts[0].Backend)
	must.Len(t, 1, f.Decide(f.now).GivenUp)
}

// TestCrashesOutlastOwner checks that a new owner goes on counting the crashes under a task.
func TestCrashesOutlastOwner(t *testing.T) {
	f := newFixture(t, backendsInRacks(4)...)
	f.addJob("bad", stepOf(1, 1000))
	f.crash(f.decideAndStart()[0].Backend)
	r, ok := f.Take("bad")
	must.True(t, ok)
	next := newFixture(t, backendsInRacks(4)...)
	next.AddJob(r, false)
	starts := next.decideAndStart()
	must.Eq(t, 2, starts[0].Attempt)
	next.crash(starts[0].Backend)
	must.Len(t, 1, next.Decide(next.now).GivenUp)
}

// TestNothingStartsBesideNewSuspect checks that other tasks are kept off a backend server right after a suspect was started there.
func TestNothingStartsBesideNewSuspect(t *testing.T) {
	f := newFixture(t, backendsInRacks(2)...)
	f.addJob("bad", stepOf(1, 1000))
	f.crash(f.decideAndStart()[0].Backend)
	suspect := f.decideAndStart()[0].Backend
	f.addJob("j", stepOf(4, 1000))
	for _, s := range f.decideAndStart() {
		must.NotEq(t, suspect, s.Backend)
	}
	f.advance(quarantineTime)
	f.report(suspect, 20)
	f.addJob("k", stepOf(10, 1000))
	must.Len(t, 10, f.decideAndStart())
}

// TestWaitingTasksSearchNoClosedBackends checks that waiting tasks find no room on backend servers where nothing is started for now, so
// that a decision does not try each of them on each.
func TestWaitingTasksSearchNoClosedBackends(t *testing.T) {
	f := newFixture(t, backendsInRacks(2)...)
	f.addJob("bad", stepOf(1, 1000))
	f.crash(f.decideAndStart()[0].Backend)
	f.advance(avoidTime)
	suspect := f.decideAndStart()[0].Backend
	for _, b := range f.list {
		b.recorded = b.ID == suspect
	}
	f.addJob("j", stepOf(4, 1000))
	must.SliceEmpty(t, f.decideAndStart())
	must.True(t, f.full())
}
