package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// fixture is a pool of backend servers that have answered, with a clock that tests advance.
type fixture struct {
	*Pool
	now time.Time
}

func newFixture(t *testing.T, backends ...basilwork.Backend) *fixture {
	t.Helper()
	f := &fixture{now: time.Unix(1000, 0)}
	f.Pool = New(Options{Epoch: 1, Grace: 14 * time.Second}, f.now)
	f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{
		{Name: "quote", Service: "stretch", MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond},
	}})
	f.setBackends(backends...)
	return f
}

// setBackends replaces the list of backend servers, all of which have answered.
func (f *fixture) setBackends(backends ...basilwork.Backend) {
	f.SetBackends(backends)
	for _, b := range backends {
		f.SetRecorded(b.ID, true)
		f.Attached(b.ID)
	}
}

func backendOf(id string, cpu int) basilwork.Backend {
	return basilwork.Backend{ID: id, Service: "stretch", Rack: "r1-" + id, Labels: []string{"a"}, Resources: basilwork.Resources{CPU: cpu, Memory: 65536}}
}

func (f *fixture) addJob(id string, steps ...basilwork.Step) {
	f.AddJob(basilwork.Record{
		Job: basilwork.Job{ID: id, Queue: "quote", Steps: steps}, Accepted: f.now.UnixMilli(),
	}, false)
}

func stepOf(count, cpu int) basilwork.Step {
	return basilwork.Step{Count: count, Resources: basilwork.Resources{CPU: cpu, Memory: 512}, Estimate: time.Second}
}

func longStep(count, cpu int) basilwork.Step {
	return basilwork.Step{Count: count, Resources: basilwork.Resources{CPU: cpu, Memory: 512}, LongRunning: true, AntiAffinity: 1, MaxUnavailable: 1, HasMaxUnavailable: true}
}

// decideAndStart makes a decision and answers all its starts with success.
func (f *fixture) decideAndStart() []Start {
	a := f.Decide(f.now)
	for _, s := range a.Starts {
		f.Started(s.Ref, basilwork.RefusalNone, true, f.now)
	}
	return a.Starts
}

// report sends a report that lists the runs of a backend server at the given progress, and the ended ones.
func (f *fixture) report(id string, percent int, ends ...basilwork.EndedRun) {
	r := basilwork.Report{Ended: ends}
	ended := make(map[string]bool)
	for _, e := range ends {
		ended[e.Task] = true
	}
	for _, x := range f.backends[id].sortedRuns() {
		if x.phase != phaseStarting && !ended[x.task.id.String()] {
			r.Running = append(r.Running, basilwork.RunStatus{Task: x.task.id.String(), Attempt: x.attempt, ProgressPercent: percent})
		}
	}
	f.Report(id, r, f.now, f.now)
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// TestRestartKeepsListedRuns checks that runs listed by the restarted backend server are not stopped, but those of unknown
// incarnation are.
func TestRestartKeepsListedRuns(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	sent := f.now
	f.advance(100 * time.Millisecond)
	s := stepOf(3, 1000)
	s.LongRunning = true
	f.addJob("one", s)
	must.Len(t, 3, f.decideAndStart())
	f.advance(700 * time.Millisecond)
	answer := basilwork.Report{Running: []basilwork.RunStatus{
		{Task: "one.0.0.0", Attempt: 1, ProgressPercent: 100}, {Task: "one.0.0.1", Attempt: 2, ProgressPercent: 100}, {Task: "one.0.0.2", Attempt: 1, ProgressPercent: 100},
	}}
	f.Restarted("b1", answer, sent, f.now)
	a := f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.Eq(t, Ref{Backend: "b1", Task: basilwork.TaskID{Job: "one", Index: 1}, Attempt: 1}, a.Stops[0].Ref)
}

// TestRestartResolvesRuns checks that a task whose run ended with the restart is started again, and one whose run may exist on
// the new incarnation only after that run has ended.
func TestRestartResolvesRuns(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.addJob("one", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
	f.advance(time.Second)
	sent := f.now
	f.advance(100 * time.Millisecond)
	f.addJob("two", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
	f.advance(100 * time.Millisecond)
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000))
	f.Restarted("b1", basilwork.Report{}, sent, f.now)
	f.Report("b1", basilwork.Report{}, sent, f.now)
	f.Attached("b1")
	a := f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.Eq(t, "two", a.Stops[0].Task.Job)
	must.Len(t, 1, a.Starts)
	must.Eq(t, "one", a.Starts[0].Task.Job)
	must.Eq(t, "b2", a.Starts[0].Backend)
	f.Started(a.Starts[0].Ref, basilwork.RefusalNone, true, f.now)
	f.advance(time.Second)
	f.Stopped(a.Stops[0].Ref, true, f.now)
	f.advance(100 * time.Millisecond)
	f.report("b1", 50, basilwork.EndedRun{Number: 1, Task: "two.0.0.0", Attempt: 1, End: basilwork.RunEndStopped})
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].Attempt)
}
