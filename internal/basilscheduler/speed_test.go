package basilscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// learnSound lets jobs run as long as their estimates say, so that the spread of the queue is known.
func (f *fixture) learnSound(t *testing.T) {
	t.Helper()
	for n := range 20 {
		f.add(fmt.Sprintf("sound-%02d", n), stepOf(1, 1000))
		starts := f.begin()
		must.Len(t, 1, starts)
		f.pass(time.Second)
		f.report(starts[0].Backend, 100, end(starts[0].Task.String(), int64(n+1), starts[0].Attempt, basilwork.RunEndDone))
	}
}

// TestSlowBackendIsAvoided moves runs off a backend server that takes four times as long, gives it no new ones, and
// tries it again later.
func TestSlowBackendIsAvoided(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.learnSound(t)
	f.list(backendOf("b1", 4000), backendOf("b2", 4000))
	for n := range 3 {
		f.add(fmt.Sprintf("job-%d", n), stepOf(1, 1000))
	}
	must.Len(t, 3, f.begin())
	f.pass(time.Second)
	f.report("b1", 25)
	a := f.Decide(f.now)
	must.Len(t, 3, a.Stops)
	must.Positive(t, len(a.Slow))
	must.Eq(t, []string{"b1"}, f.Load(f.now).Slow)
	for n, s := range a.Stops {
		f.Stopped(s.Ref, true, f.now)
		f.pass(100 * time.Millisecond)
		f.report("b1", 25, end(s.Task.String(), int64(21+n), 1, basilwork.RunEndStopped))
	}
	starts := f.begin()
	must.Len(t, 3, starts)
	for _, s := range starts {
		must.Eq(t, "b2", s.Backend)
	}
	f.pass(slowPause)
	f.list(backendOf("b1", 4000))
	f.add("later", stepOf(1, 1000))
	must.Len(t, 1, f.begin())
}

// TestSoundBackendsAreNotSlow takes no backend server to be slow for estimates that are off by their spread.
func TestSoundBackendsAreNotSlow(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	r := rand.New(rand.NewPCG(1, 1))
	numbers := make(map[string]int64)
	slow := 0
	for n := range 300 {
		f.add(fmt.Sprintf("job-%03d", n), stepOf(1, 1000))
		starts := f.begin()
		must.Len(t, 1, starts)
		s := starts[0]
		f.pass(time.Duration(float64(time.Second) * (0.3 + 1.4*r.Float64())))
		numbers[s.Backend]++
		f.report(s.Backend, 100, end(s.Task.String(), numbers[s.Backend], s.Attempt, basilwork.RunEndDone))
		slow += len(f.Load(f.now).Slow)
	}
	must.Eq(t, 0, slow)
}

// TestWrongEstimatesAreNotSlowness goes on placing work when a queue's estimates are far too low for all of it.
func TestWrongEstimatesAreNotSlowness(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
	numbers := make(map[string]int64)
	for n := range 40 {
		f.add(fmt.Sprintf("job-%03d", n), stepOf(4, 4000))
		starts := f.begin()
		must.Len(t, 4, starts, must.Sprintf("job %d", n))
		f.pass(5 * time.Second)
		for _, s := range starts {
			numbers[s.Backend]++
			f.report(s.Backend, 100, end(s.Task.String(), numbers[s.Backend], s.Attempt, basilwork.RunEndDone))
		}
	}
	must.SliceEmpty(t, f.Load(f.now).Slow)
}

// TestOneLongJobIsNotSlowness does not take a backend server to be slow for one job of the few that take far longer
// than their estimates.
func TestOneLongJobIsNotSlowness(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.learnSound(t)
	f.add("tail", stepOf(1, 1000))
	s := f.begin()[0]
	f.pass(7 * time.Second)
	f.report("b1", 100, end(s.Task.String(), 21, s.Attempt, basilwork.RunEndDone))
	f.add("next", stepOf(1, 1000))
	must.Len(t, 1, f.begin())
}
