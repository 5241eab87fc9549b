package basilqueue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Timing of a queue.
const (
	outageGrace         = 500 * time.Millisecond // how long jobs wait while none runs and no slot is available
	outageRetry         = time.Second
	capacityCachePeriod = time.Millisecond      // how long a capacity lookup is cached
	shedPeriod          = 50 * time.Millisecond // interval of checks for jobs that can't start in time
)

// Queue holds the waiting jobs of one service.
type Queue struct {
	queues  *Queues
	service string
	waiting atomic.Int64
	urgent  atomic.Int64 // waiting urgent jobs

	mutex          sync.Mutex
	scheduler      scheduler
	shedAt         time.Time
	capacityAt     time.Time
	cachedCapacity int       // result of the last capacity lookup
	outageSince    time.Time // when jobs stopped running and no slot was available; zero outside an outage
	counters       counters
}

func newQueue(q *Queues, service string) *Queue {
	queue := &Queue{queues: q, service: service, counters: newCounters()}
	queue.scheduler = scheduler{runTimes: newRunTimes(), longPercent: q.options.LongPercent, capacity: queue.capacity}
	return queue
}

// acquire blocks until the job gets a pass, is rejected or ctx is done.
func (q *Queue) acquire(ctx context.Context, t JobRequest) (*Pass, error) {
	w, r := q.enqueue(t, time.Now())
	if w == nil {
		return r.pass, r.err
	}
	select {
	case r = <-w.result:
		return r.pass, r.err
	case <-ctx.Done():
		return nil, q.abandon(ctx, w)
	}
}

// enqueue starts or rejects the job immediately, or else queues it and returns its waiter.
func (q *Queue) enqueue(t JobRequest, now time.Time) (*waiter, result) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w := q.scheduler.classify(t, now)
	if !t.Deadline.IsZero() && !t.Deadline.After(now) {
		return nil, q.reject(w.class, q.unreachable(addJitter(minRetryAfter)))
	}
	if q.scheduler.mayStart(w, now) {
		if slot, ok := q.takeSlot(w, now); ok {
			return nil, result{pass: q.startJob(w, slot, now)}
		}
	}
	if ok, after := q.scheduler.reachable(w, now); !ok {
		return nil, q.reject(w.class, q.unreachable(after))
	}
	if !q.makeRoom(w, now) {
		return nil, q.reject(w.class, errors.WithStack(ErrQueueFull{Service: q.service, RetryAfter: q.scheduler.retryAfter(w)}))
	}
	w.result = make(chan result, 1)
	q.scheduler.push(w)
	q.addWaiting(w, 1)
	q.dispatch(now)
	return w, result{}
}

// makeRoom reports whether the job fits into the queue of its class.
//
// If the queue is full, it rejects the queued jobs that can't start in time, or
// else evicts the last job of the largest team.
func (q *Queue) makeRoom(w *waiter, now time.Time) bool {
	limit := q.queues.options.MaxWaiting
	queue := &q.scheduler.classQueues[w.class]
	if queue.size < limit {
		return true
	}
	q.shed(now)
	if queue.size < limit {
		return true
	}
	victim := queue.evictionCandidate(w)
	if victim == nil {
		return false
	}
	q.resolve(victim, q.reject(victim.class, errors.WithStack(ErrQueueFull{Service: q.service, RetryAfter: q.scheduler.retryAfter(victim)})))
	return true
}

func (q *Queue) unreachable(after time.Duration) error {
	return errors.WithStack(ErrDeadlineUnreachable{Service: q.service, RetryAfter: after})
}

func (q *Queue) reject(c Class, err error) result {
	q.counters.countRejected(c, err)
	return result{err: err}
}

// capacity returns the maximum number of passes, cached for capacityCachePeriod.
func (q *Queue) capacity(now time.Time) int {
	if now.Sub(q.capacityAt) >= capacityCachePeriod || q.cachedCapacity == 0 {
		q.capacityAt = now
		q.cachedCapacity = q.queues.options.Capacity.Size(q.service)
	}
	return q.cachedCapacity
}

// takeSlot takes a slot for the job and tracks the start of an outage.
//
// A job whose backend server refused it holds a pass but no slot, so free slots
// are reserved for such jobs.
func (q *Queue) takeSlot(w *waiter, now time.Time) (Slot, bool) {
	var slot Slot
	ok := q.scheduler.running < q.capacity(now)
	if ok {
		slot, ok = q.queues.options.Capacity.Take(q.service, w.ticket.Idempotent)
	}
	switch {
	case ok || q.scheduler.running > 0:
		q.outageSince = time.Time{}
	case q.outageSince.IsZero():
		q.outageSince = now
	}
	return slot, ok
}

func (q *Queue) startJob(w *waiter, slot Slot, now time.Time) *Pass {
	p := &Pass{queue: q, slot: slot}
	q.scheduler.start(w, p, now)
	q.counters.countAdmitted(w.class, now.Sub(w.arrived))
	return p
}

// dispatch starts queued jobs while slots are available; the caller must hold the lock.
func (q *Queue) dispatch(now time.Time) {
	for w := q.scheduler.next(now); w != nil; w = q.scheduler.next(now) {
		slot, ok := q.takeSlot(w, now)
		if !ok {
			return
		}
		q.scheduler.classQueues[w.class].charge(w)
		q.resolve(w, result{pass: q.startJob(w, slot, now)})
	}
}

// resolve removes the job from the queue and delivers its result.
func (q *Queue) resolve(w *waiter, r result) {
	q.scheduler.remove(w)
	q.addWaiting(w, -1)
	w.result <- r
}

func (q *Queue) addWaiting(w *waiter, n int64) {
	if w.class == ClassUrgent {
		q.urgent.Add(n)
	}
	if q.waiting.Add(n) == 1 && n == 1 {
		q.queues.startChecks()
	}
}

// abandon removes a cancelled job from the queue; a pass that was granted in the meantime is returned.
func (q *Queue) abandon(ctx context.Context, w *waiter) error {
	q.mutex.Lock()
	var granted *Pass
	select {
	case r := <-w.result:
		granted = r.pass
	default:
		q.scheduler.remove(w)
		q.addWaiting(w, -1)
	}
	q.counters.abandoned++
	q.mutex.Unlock()
	if granted != nil {
		granted.Done(0, basilapi.OutcomeNotRun)
	}
	return errors.WithStack(ctx.Err())
}

// done ends a pass; it reports whether this was the first call.
func (q *Queue) done(p *Pass, ran time.Duration, o basilapi.Outcome) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if p.ended {
		return false
	}
	p.ended = true
	q.scheduler.finish(p)
	if o != basilapi.OutcomeNotRun {
		q.scheduler.observe(p, ran)
	}
	return true
}

// startWaiting starts queued jobs while slots are available.
func (q *Queue) startWaiting(now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch(now)
}

// check starts queued jobs while slots are available and rejects those that can't start in time.
func (q *Queue) check(now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch(now)
	if now.Sub(q.shedAt) >= shedPeriod {
		q.shed(now)
	}
}

// shed rejects queued jobs that can't start in time, or all of them in an outage.
func (q *Queue) shed(now time.Time) {
	q.shedAt = now
	if !q.outageSince.IsZero() && q.scheduler.running == 0 && now.Sub(q.outageSince) >= outageGrace {
		for w := q.scheduler.any(); w != nil; w = q.scheduler.any() {
			q.resolve(w, q.reject(w.class, errors.WithStack(ErrNoCapacity{Service: q.service, RetryAfter: addJitter(outageRetry)})))
		}
		return
	}
	for _, w := range q.scheduler.unreachableWaiters(now) {
		q.scheduler.classQueues[w.class].recordLateRejection(w, now)
		q.resolve(w, q.reject(w.class, q.unreachable(q.scheduler.retryAfter(w))))
	}
}
