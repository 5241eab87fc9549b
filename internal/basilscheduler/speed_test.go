package basilscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// learnEstimates runs jobs exactly as long as estimated, so that the run times of the queue are known to vary little.
func (f *fixture) learnEstimates(t *testing.T) {
	t.Helper()
	for n := range 20 {
		f.addJob(fmt.Sprintf("sound-%02d", n), stepOf(1, 1000))
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		f.advance(time.Second)
		f.report(starts[0].Backend, 100, end(starts[0].Task.String(), int64(n+1), starts[0].Attempt, basilwork.RunEndDone))
	}
}

// TestSlowBackendIsAvoided checks that runs move off a backend server that takes four times as long, and that it gets new
// runs only after a delay.
func TestSlowBackendIsAvoided(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.learnEstimates(t)
	f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000))
	for n := range 3 {
		f.addJob(fmt.Sprintf("job-%d", n), stepOf(1, 1000))
	}
	must.Len(t, 3, f.decideAndStart())
	f.advance(time.Second)
	f.report("b1", 25)
	a := f.Decide(f.now)
	must.Len(t, 3, a.Stops)
	must.Positive(t, len(a.Slow))
	must.Eq(t, []string{"b1"}, f.Load(f.now).Slow)
	for n, s := range a.Stops {
		f.Stopped(s.Ref, true, f.now)
		f.advance(100 * time.Millisecond)
		f.report("b1", 25, end(s.Task.String(), int64(21+n), 1, basilwork.RunEndStopped))
	}
	starts := f.decideAndStart()
	must.Len(t, 3, starts)
	for _, s := range starts {
		must.Eq(t, "b2", s.Backend)
	}
	f.advance(slowRetryDelay)
	f.setBackends(backendOf("b1", 4000))
	f.addJob("later", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
}

// TestEstimateSpreadIsNotSlowness checks that no backend server counts as slow because run times vary around the estimates.
func TestEstimateSpreadIsNotSlowness(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	r := rand.New(rand.NewPCG(1, 1))
	endNumbers := make(map[string]int64)
	slow := 0
	for n := range 300 {
		f.addJob(fmt.Sprintf("job-%03d", n), stepOf(1, 1000))
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		s := starts[0]
		f.advance(time.Duration(float64(time.Second) * (0.3 + 1.4*r.Float64())))
		endNumbers[s.Backend]++
		f.report(s.Backend, 100, end(s.Task.String(), endNumbers[s.Backend], s.Attempt, basilwork.RunEndDone))
		slow += len(f.Load(f.now).Slow)
	}
	must.Eq(t, 0, slow)
}

// TestLowEstimatesAreNotSlowness checks that placement continues if the estimates of a queue are far too low everywhere.
func TestLowEstimatesAreNotSlowness(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
	endNumbers := make(map[string]int64)
	for n := range 40 {
		f.addJob(fmt.Sprintf("job-%03d", n), stepOf(4, 4000))
		starts := f.decideAndStart()
		must.Len(t, 4, starts, must.Sprintf("job %d", n))
		f.advance(5 * time.Second)
		for _, s := range starts {
			endNumbers[s.Backend]++
			f.report(s.Backend, 100, end(s.Task.String(), endNumbers[s.Backend], s.Attempt, basilwork.RunEndDone))
		}
	}
	must.SliceEmpty(t, f.Load(f.now).Slow)
}

// TestSingleLongJobIsNotSlowness checks that a backend server does not count as slow after a single job that takes far longer
// than estimated.
func TestSingleLongJobIsNotSlowness(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.learnEstimates(t)
	f.addJob("tail", stepOf(1, 1000))
	s := f.decideAndStart()[0]
	f.advance(7 * time.Second)
	f.report("b1", 100, end(s.Task.String(), 21, s.Attempt, basilwork.RunEndDone))
	f.addJob("next", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
}
