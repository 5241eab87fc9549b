package basilnode

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// holdFor holds the events of an owner with the backend servers for a time in which each reports each 440 ms, as busy ones do, a batch of jobs is
// accepted each 20 ms and the list of servers is passed on each 250 ms.
func holdFor(o *owner, servers int, d time.Duration) (h heldEvents) {
	const step = 20 * time.Millisecond
	add := func() {
		for len(o.events) > 0 {
			h.add(<-o.events)
		}
	}
	n := &Node{backendsByID: make(map[string]basilwork.Backend)}
	for at := time.Duration(0); at < d; at += step {
		for s := range servers {
			if at%(440*time.Millisecond) != 0 {
				break
			}
			id := fmt.Sprint("b", s)
			o.Report(id, basilwork.Report{StartedAt: 1}, time.Now(), false)
			if at == 0 {
				o.Attached(id)
			}
			add()
		}
		if at%(250*time.Millisecond) < step {
			n.sendBackends([]*owner{o})
		}
		if at%time.Second == 0 {
			o.send(func(time.Time) {})
		}
		add()
		time.Sleep(step)
	}
	return h
}

func newHoldingOwner(t *testing.T) *owner {
	o, _ := newLoggingOwner(time.Now())
	o.ctx, o.events, o.stats = t.Context(), make(chan event, eventQueueSize), newLoopStats(o.node.metrics)
	o.workload.processor = func() time.Duration { return 0 }
	return o
}

// TestHeldReportsAreBoundedWhileJobsAreAccepted checks that an owner that reads its jobs for long keeps one report of each backend server and one
// list, besides the first report of each, though other events come in between.
func TestHeldReportsAreBoundedWhileJobsAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const servers, seconds = 300, 8
		h := holdFor(newHoldingOwner(t), servers, seconds*time.Second)
		must.LessEq(t, 3*servers+1+seconds, len(h.list))
	})
}

// TestHeldEventsAreHandledAsOfTheirTime checks that what has happened while an owner read its jobs counts as of then, in its order: a backend server
// that fell silent seconds ago was not heard when the read ended.
func TestHeldEventsAreHandledAsOfTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newHoldingOwner(t)
		var h heldEvents
		began := time.Now()
		var handled []time.Duration
		note := func(now time.Time) { handled = append(handled, now.Sub(began)) }
		for _, e := range []event{
			{subject: "b1", complete: true, handle: note},
			{subject: "b2", handle: note},
			{subject: "b1", complete: true, handle: note},
			{subject: "b1", handle: note},
			{subject: "b1", complete: true, handle: note},
		} {
			time.Sleep(time.Second)
			o.sendEvent(e)
			h.add(<-o.events)
		}
		time.Sleep(time.Minute)
		h.handle()
		must.Eq(t, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second}, handled)
	})
}

// TestAnswerThatArrivedBeforeStepCounts checks that an owner doesn't take a predecessor's runs for ended while the report that lists them waits to be
// handled, as after a long read of its jobs: their tasks would run twice.
func TestAnswerThatArrivedBeforeStepCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 64 { // events and the timer are chosen at random
			o := newHoldingOwner(t)
			b := basilwork.Backend{ID: "b1", Service: "stretch"}
			o.pool.AddPredecessorBackend(b, time.Now().Add(time.Second))
			time.Sleep(time.Second - time.Millisecond)
			o.Report(b.ID, basilwork.Report{StartedAt: 1}, time.Now(), false)
			o.Attached(b.ID)
			time.Sleep(time.Second)
			for timer := time.NewTimer(0); !o.await(timer); {
				synctest.Wait()
			}
			must.Zero(t, len(o.events))
			must.Zero(t, o.pool.PredecessorBackends())
		}
	})
}
