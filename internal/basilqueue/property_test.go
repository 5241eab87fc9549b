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

// TestMain fixes the seed of the properties unless the command line asks for more of them.
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

// queueModel submits, cancels and ends jobs at random and counts how each ended.
type queueModel struct {
	capacity *modelCapacity
	queues   *Queues
	largest  int
	passes   []*Pass
	cancels  []context.CancelFunc
	results  chan ended
	given    chan *Pass
	jobs     int
}

func (m *queueModel) submit(t *rapid.T) {
	k := Ticket{
		Service:    "s",
		Team:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
		Kind:       rapid.SampledFrom([]string{"quote", "report", "new"}).Draw(t, "kind"),
		Urgent:     rapid.IntRange(0, 5).Draw(t, "urgent") == 0,
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Guess:      time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "guess")),
	}
	if d := rapid.IntRange(0, 20).Draw(t, "deadline"); d > 0 {
		k.Deadline = time.Now().Add(time.Duration(d*d) * 100 * time.Millisecond)
	}
	for range rapid.IntRange(1, 12).Draw(t, "burst") {
		ctx, cancel := context.WithCancel(context.Background())
		m.cancels = append(m.cancels, cancel)
		m.jobs++
		go func() {
			p, err := m.queues.Acquire(ctx, k)
			if err == nil {
				m.given <- p
			}
			m.results <- ended{err: err}
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
	m.largest = max(m.largest, n)
	m.capacity.resize(n)
}

// check holds after each event, when all goroutines wait.
func (m *queueModel) check(t *rapid.T) {
	synctest.Wait()
	for len(m.given) > 0 {
		m.passes = append(m.passes, <-m.given)
	}
	q := m.queues.queue("s")
	q.mutex.Lock()
	defer q.mutex.Unlock()
	must.EqOp(t, len(m.passes), q.line.running, must.Sprint("passes"))
	must.EqOp(t, len(m.passes), m.capacity.used, must.Sprint("places"))
	must.LessEq(t, m.largest, len(m.passes))
	must.EqOp(t, m.jobs, len(m.results)+q.line.waiting(), must.Sprint("each job waits or has ended once"))
	must.EqOp(t, q.line.waiting(), int(q.waiting.Load()))
	must.LessEq(t, max(1, m.largest/2), q.line.started[ClassLong], must.Sprint("share of long jobs"))
	must.LessEq(t, max(1, m.largest/4), q.line.started[ClassUnproven], must.Sprint("share of unproven jobs"))
	must.EqOp(t, q.line.running-q.line.longRunning, m.linked(&q.line))
	for i := range q.line.lanes {
		size := 0
		for _, f := range q.line.lanes[i].flows {
			must.Positive(t, f.waiting.len())
			size += f.waiting.len()
		}
		must.EqOp(t, q.line.lanes[i].size, size)
	}
}

func (m *queueModel) linked(l *line) int {
	n := 0
	for p := l.oldest; p != nil; p = p.newer {
		n++
	}
	return n
}

// drain ends all and checks that each job ended in exactly one way.
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

func TestQueuePropertyOneEndForEachJob(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			m := &queueModel{capacity: &modelCapacity{}, results: make(chan ended, 1<<14), given: make(chan *Pass, 1<<14)}
			defer func() {
				failure = recover()
				for _, c := range m.cancels {
					c() // no goroutine may outlive the bubble
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

func TestOrderTreePropertySortedWithRanks(t *testing.T) {
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
