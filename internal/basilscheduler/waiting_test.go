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

// decisionTime returns the minimum duration of 100 decisions over five tries, each decision after the end of a run.
func decisionTime(p *fullPool) time.Duration {
	least := time.Hour
	for range 5 {
		var took time.Duration
		for range 100 {
			took += p.endRunAndDecide()
		}
		least = min(least, took)
	}
	return least
}

// TestDecisionCostDoesNotGrowWithWaitingTasks compares pools of the same size with 20 times as many waiting tasks.
func TestDecisionCostDoesNotGrowWithWaitingTasks(t *testing.T) {
	few, many := decisionTime(newFullPool(200, 20)), decisionTime(newFullPool(4000, 20))
	t.Logf("%v for 200 waiting tasks, %v for 4000", few, many)
	must.Less(t, 5*few, many)
}

// callTime returns the minimum duration of 1000 calls over five tries.
func callTime(p *fullPool, call func(*fullPool)) time.Duration {
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

func (p *fullPool) load()  { p.Load(p.now) }
func (p *fullPool) dirty() { p.DirtyJobs() }

// TestLoadCostDoesNotGrowWithWaitingTasks compares pools of the same size with 20 times as many waiting tasks.
func TestLoadCostDoesNotGrowWithWaitingTasks(t *testing.T) {
	few, many := callTime(newFullPool(200, 20), (*fullPool).load), callTime(newFullPool(4000, 20), (*fullPool).load)
	t.Logf("%v for 200 waiting tasks, %v for 4000", few, many)
	must.Less(t, 5*few, many)
}

// TestDirtyCostDoesNotGrowWithJobs compares pools with 20 times as many waiting jobs, of which none changes.
func TestDirtyCostDoesNotGrowWithJobs(t *testing.T) {
	few, many := callTime(newFullPool(200, 20), (*fullPool).dirty), callTime(newFullPool(4000, 20), (*fullPool).dirty)
	t.Logf("%v for 200 waiting tasks, %v for 4000", few, many)
	must.Less(t, 5*few, many)
}

// TestDecisionCostDoesNotGrowWithRuns compares pools with 16 times as many running tasks and the same number of waiting ones.
func TestDecisionCostDoesNotGrowWithRuns(t *testing.T) {
	few, many := decisionTime(newFullPool(200, 20)), decisionTime(newFullPool(200, 320))
	t.Logf("%v with runs on 20 backend servers, %v with runs on 320", few, many)
	must.Less(t, 8*few, many)
}

// TestDecisionCostDoesNotGrowWithSlowBackends adds backend servers that have room but are considered slow.
func TestDecisionCostDoesNotGrowWithSlowBackends(t *testing.T) {
	few := decisionTime(newFullPool(4000, 60))
	p := newFullPool(4000, 60)
	for _, b := range p.addIdleBackends(40) {
		b.slowOdds = maxOdds
		b.slowUntil = p.now.Add(time.Hour)
	}
	many := decisionTime(p)
	t.Logf("%v without slow backend servers, %v with 40", few, many)
	must.Less(t, 6*few, many)
}

// TestDecisionCostDoesNotGrowWithOtherLabels adds backend servers that have room but lack the label that the tasks need.
func TestDecisionCostDoesNotGrowWithOtherLabels(t *testing.T) {
	few := decisionTime(newFullPool(4000, 60))
	p := newFullPool(4000, 60)
	for _, b := range p.addIdleBackends(40) {
		b.Labels = []string{"b"}
	}
	many := decisionTime(p)
	t.Logf("%v without backend servers that lack the label, %v with 40", few, many)
	must.Less(t, 6*few, many)
}

// addIdleBackends adds usable backend servers without runs.
func (p *fullPool) addIdleBackends(count int) []*backend {
	list := slices.Clone(p.Backends())
	before := len(list)
	for n := range count {
		list = append(list, backendOf(fmt.Sprintf("idle%02d", n), 64000))
	}
	p.SetBackends(list)
	var added []*backend
	for _, b := range list[before:] {
		p.SetRecorded(b.ID, true)
		p.Attached(b.ID)
		added = append(added, p.backends[b.ID])
	}
	return added
}

// TestTicketRequestsAreLimited checks that tickets are requested for the next steps only, not for all that wait.
func TestTicketRequestsAreLimited(t *testing.T) {
	p := newFullPool(4000, 20)
	p.setAdvice(&basilwork.Advice{})
	p.now = p.now.Add(time.Second)
	asked := make(map[string]bool)
	for _, a := range p.Decide(p.now).Advice {
		asked[a.Step] = true
	}
	must.Between(t, 1, len(asked), 100)
}

// TestTicketsAreRemovedWithJobs checks that no tickets of finished or cancelled jobs are kept.
func TestTicketsAreRemovedWithJobs(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{{Name: "quote", Service: "stretch", Advice: &basilwork.Advice{}}}})
	for n := range 20 {
		id := fmt.Sprintf("j%02d", n)
		f.addJob(id, stepOf(1, 1000))
		requests := f.Decide(f.now).Advice
		must.Len(t, 1, requests)
		f.Advised(requests[0].Step, []basilwork.Ticket{{Backend: "b1", Value: "ticket"}}, time.Second, f.now)
		if n%2 == 0 {
			f.Cancel(id, f.now)
			continue
		}
		s := f.decideAndStart()[0]
		f.advance(time.Second)
		f.report("b1", 100, end(s.Task.String(), int64(n+1), s.Attempt, basilwork.RunEndDone))
		f.Take(id)
		f.Stored(id, f.now)
	}
	must.MapEmpty(t, f.tickets)
}

// TestWaitingStepsMatchTasks compares the waiting list and the backlog with a count of all tasks after random events.
func TestWaitingStepsMatchTasks(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000), backendOf("b2", 8000), backendOf("b3", 8000))
	r := rand.New(rand.NewPCG(2, 3))
	endNumbers := make(map[string]int64)
	ends := []basilwork.RunEnd{basilwork.RunEndDone, basilwork.RunEndDone, basilwork.RunEndFailed, basilwork.RunEndLost}
	for n := range 400 {
		f.advance(time.Duration(r.IntN(100)) * time.Millisecond)
		if n%6 == 0 {
			second := stepOf(1+r.IntN(3), 1000)
			second.After = []int{0}
			f.addJob(fmt.Sprintf("j%04d", n), stepOf(1+r.IntN(3), 2000), second)
		}
		if n%97 == 0 {
			f.Cancel(fmt.Sprintf("j%04d", n/6*6), f.now)
		}
		f.decideAndStart()
		f.checkWaitingSteps(t)
		b := f.Pool.list[r.IntN(len(f.Pool.list))]
		if runs := b.sortedRuns(); len(runs) > 0 {
			x := runs[r.IntN(len(runs))]
			endNumbers[b.ID]++
			f.report(b.ID, 50, end(x.task.id.String(), endNumbers[b.ID], x.attempt, ends[r.IntN(len(ends))]))
		}
		ids, _ := f.DirtyJobs()
		for _, id := range ids {
			f.Take(id)
			f.Stored(id, f.now)
		}
	}
}

func (f *fixture) checkWaitingSteps(t *testing.T) {
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
						must.LessEq(t, x.id.Index, s.firstIdle)
					}
				}
				must.Eq(t, idle, s.idle)
				if s.ready() && !j.record.State.Final() {
					waiting += idle
					wanted += idle * s.spec.Resources.CPU
				}
				must.Eq(t, queued[s], s.queued)
				must.True(t, s.queued || !s.startable(f.now), must.Sprint(s.tasks[0].id))
			}
			must.Eq(t, live, o.liveRuns)
		}
	}
	l := f.Load(f.now)
	must.Eq(t, waiting, l.Waiting)
	must.Eq(t, wanted, l.WaitingDemand.CPU)
}
