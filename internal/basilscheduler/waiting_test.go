package basilscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// decisionsTime returns how long a hundred decisions take, each after the end of a run: the least of some tries.
func decisionsTime(p *peak) time.Duration {
	least := time.Hour
	for range 5 {
		var took time.Duration
		for range 100 {
			took += p.end()
		}
		least = min(least, took)
	}
	return least
}

// TestDecisionCostDoesNotGrowWithWaitingTasks has twenty times the tasks wait for the same backend servers.
func TestDecisionCostDoesNotGrowWithWaitingTasks(t *testing.T) {
	few, many := decisionsTime(newPeak(200, 20)), decisionsTime(newPeak(4000, 20))
	t.Logf("%v for 200 waiting tasks, %v for 4000", few, many)
	must.Less(t, 5*few, many)
}

// callsTime returns how long a thousand calls take: the least of some tries.
func callsTime(p *peak, call func(*peak)) time.Duration {
	least := time.Hour
	for range 5 {
		began := time.Now()
		for range 1000 {
			call(p)
		}
		least = min(least, time.Since(began))
	}
	return least
}

func (p *peak) load()  { p.Load(p.now) }
func (p *peak) dirty() { p.Dirty() }

// TestLoadCostDoesNotGrowWithWaitingTasks has twenty times the tasks wait for the same backend servers.
func TestLoadCostDoesNotGrowWithWaitingTasks(t *testing.T) {
	few, many := callsTime(newPeak(200, 20), (*peak).load), callsTime(newPeak(4000, 20), (*peak).load)
	t.Logf("%v for 200 waiting tasks, %v for 4000", few, many)
	must.Less(t, 5*few, many)
}

// TestDirtyCostDoesNotGrowWithJobs has twenty times the jobs wait while none changes.
func TestDirtyCostDoesNotGrowWithJobs(t *testing.T) {
	few, many := callsTime(newPeak(200, 20), (*peak).dirty), callsTime(newPeak(4000, 20), (*peak).dirty)
	t.Logf("%v for 200 waiting tasks, %v for 4000", few, many)
	must.Less(t, 5*few, many)
}

// TestDecisionCostDoesNotGrowWithRuns has sixteen times the tasks run while as many wait.
func TestDecisionCostDoesNotGrowWithRuns(t *testing.T) {
	few, many := decisionsTime(newPeak(200, 20)), decisionsTime(newPeak(200, 320))
	t.Logf("%v beside the runs of 20 backend servers, %v of 320", few, many)
	must.Less(t, 8*few, many)
}

// TestDecisionCostDoesNotGrowWithSlowBackends has backend servers with room that are taken to be slow.
func TestDecisionCostDoesNotGrowWithSlowBackends(t *testing.T) {
	few := decisionsTime(newPeak(4000, 60))
	p := newPeak(4000, 60)
	for _, b := range p.addIdle(40) {
		b.odds = oddsMost
		b.slowUntil = p.now.Add(time.Hour)
	}
	many := decisionsTime(p)
	t.Logf("%v without slow backend servers, %v with 40", few, many)
	must.Less(t, 6*few, many)
}

// TestDecisionCostDoesNotGrowWithOtherLabels has backend servers with room that lack the label of what waits.
func TestDecisionCostDoesNotGrowWithOtherLabels(t *testing.T) {
	few := decisionsTime(newPeak(4000, 60))
	p := newPeak(4000, 60)
	for _, b := range p.addIdle(40) {
		b.Labels = []string{"b"}
	}
	many := decisionsTime(p)
	t.Logf("%v without other backend servers, %v with 40", few, many)
	must.Less(t, 6*few, many)
}

// addIdle adds backend servers without runs.
func (p *peak) addIdle(count int) []*backend {
	list := slices.Clone(p.Backends())
	before := len(list)
	for n := range count {
		list = append(list, backendOf(fmt.Sprintf("idle%02d", n), 64000))
	}
	p.SetBackends(list)
	var added []*backend
	for _, b := range list[before:] {
		p.Recorded(b.ID)
		p.Attached(b.ID)
		added = append(added, p.backends[b.ID])
	}
	return added
}

// TestTicketsAreAskedForWhatIsNext asks for tickets of the steps that come next, not of all that wait.
func TestTicketsAreAskedForWhatIsNext(t *testing.T) {
	p := newPeak(4000, 20)
	p.configure(&basilwork.Advice{})
	p.now = p.now.Add(time.Second)
	asked := make(map[string]bool)
	for _, a := range p.Decide(p.now).Advice {
		asked[a.Step] = true
	}
	must.Between(t, 1, len(asked), 100)
}

// TestTicketsAreForgotten keeps no tickets of jobs that are over.
func TestTicketsAreForgotten(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{{Name: "quote", Service: "stretch", Advice: &basilwork.Advice{}}}})
	for n := range 20 {
		id := fmt.Sprintf("j%02d", n)
		f.add(id, stepOf(1, 1000))
		asks := f.Decide(f.now).Advice
		must.Len(t, 1, asks)
		f.Advised(asks[0].Step, []basilwork.Ticket{{Backend: "b1", Value: "ticket"}}, time.Second, f.now)
		if n%2 == 0 {
			f.Cancel(id, f.now)
			continue
		}
		s := f.begin()[0]
		f.pass(time.Second)
		f.report("b1", 100, end(s.Task.String(), int64(n+1), s.Attempt, basilwork.RunEndDone))
		f.Take(id)
		f.Stored(id, f.now)
	}
	must.MapEmpty(t, f.tickets)
}

// TestWaitingStepsAreKept compares what the pool keeps of waiting steps with a count of all tasks, whatever happens.
func TestWaitingStepsAreKept(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000), backendOf("b2", 8000), backendOf("b3", 8000))
	r := rand.New(rand.NewPCG(2, 3))
	numbers := make(map[string]int64)
	ends := []basilwork.RunEnd{basilwork.RunEndDone, basilwork.RunEndDone, basilwork.RunEndFailed, basilwork.RunEndLost}
	for n := range 400 {
		f.pass(time.Duration(r.IntN(100)) * time.Millisecond)
		if n%6 == 0 {
			second := stepOf(1+r.IntN(3), 1000)
			second.After = []int{0}
			f.add(fmt.Sprintf("j%04d", n), stepOf(1+r.IntN(3), 2000), second)
		}
		if n%97 == 0 {
			f.Cancel(fmt.Sprintf("j%04d", n/6*6), f.now)
		}
		f.begin()
		f.checkWaiting(t)
		b := f.Pool.list[r.IntN(len(f.Pool.list))]
		if runs := b.sortedRuns(); len(runs) > 0 {
			x := runs[r.IntN(len(runs))]
			numbers[b.ID]++
			f.report(b.ID, 50, end(x.task.id.String(), numbers[b.ID], x.attempt, ends[r.IntN(len(ends))]))
		}
		ids, _ := f.Dirty()
		for _, id := range ids {
			f.Take(id)
			f.Stored(id, f.now)
		}
	}
}

func (f *fixture) checkWaiting(t *testing.T) {
	t.Helper()
	queued := make(map[*step]bool)
	for _, c := range f.waiting.list {
		must.False(t, queued[c.step])
		queued[c.step] = true
	}
	var waiting, wanted int
	for _, j := range f.jobs {
		for _, o := range j.occurrences {
			live := 0
			for _, s := range o.steps {
				idle := 0
				for _, x := range s.tasks {
					live += len(x.runs)
					if x.idle() {
						idle++
						must.LessEq(t, x.id.Index, s.first)
					}
				}
				must.Eq(t, idle, s.idle)
				if s.ready() && !j.record.State.Final() {
					waiting += idle
					wanted += idle * s.spec.Room.CPU
				}
				must.Eq(t, queued[s], s.queued)
				must.True(t, s.queued || !s.startable(f.now), must.Sprint(s.tasks[0].id))
			}
			must.Eq(t, live, o.live)
		}
	}
	l := f.Load(f.now)
	must.Eq(t, waiting, l.Waiting)
	must.Eq(t, wanted, l.Wanted.CPU)
}
