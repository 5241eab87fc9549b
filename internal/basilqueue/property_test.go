package basilqueue

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/pkg/basilapi"
)

// TestMain fixes the seed of the property tests unless the command line sets the seed or the number of checks.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.steps", "60")
	fixed := true
	flag.Visit(func(f *flag.Flag) { fixed = fixed && f.Name != "rapid.checks" && f.Name != "rapid.seed" })
	if fixed {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// queueModel is a state machine that submits, cancels and ends jobs at random and collects their results.
type queueModel struct {
	capacity *modelCapacity
	queues   *Queues
	maxSlots int
	passes   []*Pass
	cancels  []context.CancelFunc
	results  chan jobResult
	granted  chan *Pass
	jobs     int
}

func (m *queueModel) submit(t *rapid.T) {
	ticket := JobRequest{
		Service:         "s",
		Team:            rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Kind:            rapid.SampledFrom([]string{"quote", "report", "new"}).Draw(t, "kind"),
		Urgent:          rapid.IntRange(0, 5).Draw(t, "urgent") == 0,
		Idempotent:      rapid.Bool().Draw(t, "idempotent"),
		DeclaredRunTime: time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "guess")),
	}
	if d := rapid.IntRange(0, 20).Draw(t, "deadline"); d > 0 {
		ticket.Deadline = time.Now().Add(time.Duration(d*d) * 100 * time.Millisecond)
	}
	for range rapid.IntRange(1, 12).Draw(t, "burst") {
		ctx, cancel := context.WithCancel(context.Background())
		m.cancels = append(m.cancels, cancel)
		m.jobs++
		go func() {
			p, err := m.queues.Acquire(ctx, ticket)
			if err == nil {
				m.granted <- p
			}
			m.results <- jobResult{err: err}
		}()
	}
}

func (m *queueModel) cancel(t *rapid.T) {
	for range rapid.IntRange(0, len(m.cancels)).Draw(t, "cancels") {
		m.cancels[0]()
		m.cancels = m.cancels[1:]
	}
}

func (m *queueModel) end(t *rapid.T) {
	if len(m.passes) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.passes)-1).Draw(t, "pass")
	p := m.passes[i]
	m.passes = slices.Delete(m.passes, i, i+1)
	p.Done(time.Since(p.started), rapid.SampledFrom(basilapi.OutcomeValues()).Draw(t, "outcome"))
	p.Done(time.Hour, basilapi.OutcomeRan)
}

func (m *queueModel) resize(t *rapid.T) {
	n := rapid.IntRange(0, 8).Draw(t, "places")
	m.maxSlots = max(m.maxSlots, n)
	m.capacity.resize(n)
}

// check verifies the invariants after each action, once all goroutines are blocked.
func (m *queueModel) check(t *rapid.T) {
	synctest.Wait()
	for len(m.granted) > 0 {
		m.passes = append(m.passes, <-m.granted)
	}
	q := m.queues.queue("s")
	q.mutex.Lock()
	defer q.mutex.Unlock()
	must.EqOp(t, len(m.passes), q.scheduler.running, must.Sprint("running jobs"))
	must.EqOp(t, len(m.passes), m.capacity.used, must.Sprint("slots in use"))
	must.LessEq(t, m.maxSlots, len(m.passes))
	must.EqOp(t, m.jobs, len(m.results)+q.scheduler.waiting(), must.Sprint("each job is queued or has one result"))
	must.EqOp(t, q.scheduler.waiting(), int(q.waiting.Load()))
	must.LessEq(t, max(1, m.maxSlots/2), q.scheduler.runningByClass[ClassLong], must.Sprint("share of long jobs"))
	must.LessEq(t, max(1, m.maxSlots/4), q.scheduler.runningByClass[ClassUnproven], must.Sprint("share of unproven jobs"))
	must.EqOp(t, q.scheduler.running-q.scheduler.longRunning, m.countShort(&q.scheduler))
	for i := range q.scheduler.classQueues {
		size := 0
		for _, f := range q.scheduler.classQueues[i].teams {
			must.Positive(t, f.waiting.len())
			size += f.waiting.len()
		}
		must.EqOp(t, q.scheduler.classQueues[i].size, size)
	}
}

func (m *queueModel) countShort(s *scheduler) int {
	n := 0
	for p := s.oldestShort; p != nil; p = p.newer {
		n++
	}
	return n
}

// drain cancels or ends all jobs and checks that each one had exactly one result.
func (m *queueModel) drain(t *rapid.T) {
	for _, c := range m.cancels {
		c()
	}
	m.check(t)
	for len(m.passes) > 0 {
		m.passes[0].Done(0, basilapi.OutcomeNotRun)
		m.passes = m.passes[1:]
	}
	m.check(t)
	must.EqOp(t, m.jobs, len(m.results))
	for range m.jobs {
		e := <-m.results
		_, refused := RetryAfter(e.err)
		must.True(t, e.err == nil || refused != errors.Is(e.err, context.Canceled))
	}
}

func TestQueuePropertyOneResultPerJob(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			m := &queueModel{capacity: &modelCapacity{}, results: make(chan jobResult, 1<<14), granted: make(chan *Pass, 1<<14)}
			defer func() {
				failure = recover()
				for _, c := range m.cancels {
					c() // all goroutines must end within the synctest bubble
				}
			}()
			m.queues = NewQueues(Options{Capacity: m.capacity, MaxWaiting: 16})
			m.resize(r)
			r.Repeat(map[string]func(*rapid.T){
				"submit": m.submit, "cancel": m.cancel, "end": m.end, "resize": m.resize, "": m.check,
				"sleep": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				},
			})
			m.drain(r)
		})
		if failure != nil {
			panic(failure)
		}
	})
}

func TestOrderTreePropertyMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tree := orderTree[int]{before: func(a, b int) bool { return a < b }}
		var want []int
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			v := rapid.IntRange(0, 60).Draw(r, "value")
			i, found := slices.BinarySearch(want, v)
			must.EqOp(r, i, tree.rank(v))
			if found {
				want = slices.Delete(want, i, i+1)
				tree.remove(v)
			} else {
				want = slices.Insert(want, i, v)
				tree.insert(v)
			}
			var got []int
			tree.each(func(v int) { got = append(got, v) })
			must.True(r, slices.Equal(want, got))
			must.EqOp(r, len(want), tree.len())
			if len(want) > 0 {
				must.EqOp(r, want[0], tree.first())
				must.EqOp(r, want[len(want)-1], tree.last())
			}
		}
	})
}
