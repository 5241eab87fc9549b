package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// fixture is a pool with backend servers that have answered, at a time that tests advance.
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
	f.list(backends...)
	return f
}

// list replaces the backend servers; all have answered.
func (f *fixture) list(backends ...basilwork.Backend) {
	f.SetBackends(backends)
	for _, b := range backends {
		f.Recorded(b.ID)
		f.Attached(b.ID)
	}
}

func backendOf(id string, cpu int) basilwork.Backend {
	return basilwork.Backend{ID: id, Service: "stretch", Rack: "r1-" + id, Labels: []string{"a"}, Room: basilwork.Room{CPU: cpu, Memory: 65536}}
}

func (f *fixture) add(id string, steps ...basilwork.Step) {
	f.AddJob(basilwork.Record{
		Job: basilwork.Job{ID: id, Queue: "quote", Steps: steps}, Accepted: f.now.UnixMilli(),
	}, false)
}

func stepOf(count, cpu int) basilwork.Step {
	return basilwork.Step{Count: count, Room: basilwork.Room{CPU: cpu, Memory: 512}, Estimate: time.Second}
}

func longStep(count, cpu int) basilwork.Step {
	return basilwork.Step{Count: count, Room: basilwork.Room{CPU: cpu, Memory: 512}, LongRunning: true, AntiAffinity: 1, MaxUnavailable: 1, LimitsAway: true}
}

// begin decides and lets all starts be answered with success.
func (f *fixture) begin() []Start {
	a := f.Decide(f.now)
	for _, s := range a.Starts {
		f.Started(s.Ref, basilwork.RefusalNone, true, f.now)
	}
	return a.Starts
}

// report has a backend server list its runs at the percentage, and the ends.
func (f *fixture) report(id string, percent int, ends ...basilwork.EndStatus) {
	r := basilwork.Report{Ended: ends}
	ended := make(map[string]bool)
	for _, e := range ends {
		ended[e.Task] = true
	}
	for _, x := range f.backends[id].sortedRuns() {
		if x.phase != phaseStarting && !ended[x.task.id.String()] {
			r.Running = append(r.Running, basilwork.RunStatus{Task: x.task.id.String(), Attempt: x.attempt, Percent: percent})
		}
	}
	f.Report(id, r, f.now, f.now)
}

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

// TestRebornStopsTheNewIncarnationsRuns leaves alone what a backend server that started again lists as running there.
func TestRebornStopsTheNewIncarnationsRuns(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	sent := f.now
	f.pass(100 * time.Millisecond)
	s := stepOf(3, 1000)
	s.LongRunning = true
	f.add("one", s)
	must.Len(t, 3, f.begin())
	f.pass(700 * time.Millisecond)
	answer := basilwork.Report{Running: []basilwork.RunStatus{
		{Task: "one.0.0.0", Attempt: 1, Percent: 100}, {Task: "one.0.0.1", Attempt: 2, Percent: 100}, {Task: "one.0.0.2", Attempt: 1, Percent: 100},
	}}
	f.Reborn("b1", answer, sent, f.now)
	a := f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.Eq(t, Ref{Backend: "b1", Task: basilwork.TaskID{Job: "one", Index: 1}, Attempt: 1}, a.Stops[0].Ref)
}

// TestRebornSettles restarts what a rebirth ended, and never what may have been ordered from the new incarnation.
func TestRebornSettles(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.add("one", stepOf(1, 1000))
	must.Len(t, 1, f.begin())
	f.pass(time.Second)
	sent := f.now
	f.pass(100 * time.Millisecond)
	f.add("two", stepOf(1, 1000))
	must.Len(t, 1, f.begin())
	f.pass(100 * time.Millisecond)
	f.list(backendOf("b1", 4000), backendOf("b2", 4000))
	f.Reborn("b1", basilwork.Report{}, sent, f.now)
	f.Report("b1", basilwork.Report{}, sent, f.now)
	f.Attached("b1")
	a := f.Decide(f.now)
	must.Len(t, 1, a.Stops)
	must.Eq(t, "two", a.Stops[0].Task.Job)
	must.Len(t, 1, a.Starts)
	must.Eq(t, "one", a.Starts[0].Task.Job)
	must.Eq(t, "b2", a.Starts[0].Backend)
	f.Started(a.Starts[0].Ref, basilwork.RefusalNone, true, f.now)
	f.pass(time.Second)
	f.Stopped(a.Stops[0].Ref, true, f.now)
	f.pass(100 * time.Millisecond)
	f.report("b1", 50, basilwork.EndStatus{Number: 1, Task: "two.0.0.0", Attempt: 1, End: basilwork.RunEndStopped})
	starts := f.begin()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].Attempt)
}
