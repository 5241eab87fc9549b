package basilqueue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Periods of a queue.
const (
	outageGrace = 500 * time.Millisecond // jobs wait while none runs and no place can be taken
	outageRetry = time.Second
	sizePeriod  = time.Millisecond      // between looks at the number of places
	shedPeriod  = 50 * time.Millisecond // between looks for jobs that can't start in time
)

// Queue holds the jobs of one service that wait to be sent.
type Queue struct {
	queues  *Queues
	service string
	waiting atomic.Int64
	urgent  atomic.Int64 // those of waiting that are urgent

	mutex    sync.Mutex
	line     line
	shedAt   time.Time
	sizedAt  time.Time
	places   int       // as of sizedAt
	dryAt    time.Time // since when nothing runs and nothing can be taken; zero is not so
	counters counters
}

func newQueue(q *Queues, service string) *Queue {
	u := &Queue{queues: q, service: service, counters: newCounters()}
	u.line = line{times: newRunTimes(), longPercent: q.options.LongPercent, size: u.size}
	return u
}

// acquire waits for a pass in the caller's goroutine.
func (q *Queue) acquire(ctx context.Context, t Ticket) (*Pass, error) {
	w, v := q.enter(t, time.Now())
	if w == nil {
		return v.pass, v.err
	}
	select {
	case v = <-w.outcome:
		return v.pass, v.err
	case <-ctx.Done():
		return nil, q.abandon(ctx, w)
	}
}

// enter grants or refuses at once, or puts the job in line and returns what waits there.
func (q *Queue) enter(t Ticket, now time.Time) (*waiter, verdict) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	w := q.line.classify(t, now)
	if !t.Deadline.IsZero() && !t.Deadline.After(now) {
		return nil, q.refuse(w.class, q.unreachable(spread(minRetryAfter)))
	}
	if q.line.mayStart(w, now) {
		if slot, ok := q.take(w, now); ok {
			return nil, verdict{pass: q.admit(w, slot, now)}
		}
	}
	if ok, after := q.line.reachable(w, now); !ok {
		return nil, q.refuse(w.class, q.unreachable(after))
	}
	if !q.makeRoom(w, now) {
		return nil, q.refuse(w.class, errors.WithStack(ErrQueueFull{Service: q.service, RetryAfter: q.line.retryAfter(w)}))
	}
	w.outcome = make(chan verdict, 1)
	q.line.push(w)
	q.count(w, 1)
	q.dispatch(now)
	return w, verdict{}
}

// makeRoom tells whether the job fits, after others made room that can't start in time or that crowd out its team.
func (q *Queue) makeRoom(w *waiter, now time.Time) bool {
	limit := q.queues.options.MaxWaiting
	l := &q.line.lanes[w.class]
	if l.size < limit {
		return true
	}
	q.shed(now)
	if l.size < limit {
		return true
	}
	victim := l.crowding(w)
	if victim == nil {
		return false
	}
	q.end(victim, q.refuse(victim.class, errors.WithStack(ErrQueueFull{Service: q.service, RetryAfter: q.line.retryAfter(victim)})))
	return true
}

func (q *Queue) unreachable(after time.Duration) error {
	return errors.WithStack(ErrDeadlineUnreachable{Service: q.service, RetryAfter: after})
}

func (q *Queue) refuse(c Class, err error) verdict {
	q.counters.refused(c, err)
	return verdict{err: err}
}

// size returns how many passes there may be; it is looked up anew once it is stale.
func (q *Queue) size(now time.Time) int {
	if now.Sub(q.sizedAt) >= sizePeriod || q.places == 0 {
		q.sizedAt = now
		q.places = q.queues.options.Capacity.Size(q.service)
	}
	return q.places
}

// take takes a place for the job; it notes since when there is none.
//
// A job whose backend server refused it holds a pass but no place, so places that
// seem free are left to such jobs.
func (q *Queue) take(w *waiter, now time.Time) (Slot, bool) {
	var slot Slot
	ok := q.line.running < q.size(now)
	if ok {
		slot, ok = q.queues.options.Capacity.Take(q.service, w.ticket.Idempotent)
	}
	switch {
	case ok || q.line.running > 0:
		q.dryAt = time.Time{}
	case q.dryAt.IsZero():
		q.dryAt = now
	}
	return slot, ok
}

func (q *Queue) admit(w *waiter, slot Slot, now time.Time) *Pass {
	p := &Pass{queue: q, slot: slot}
	q.line.start(w, p, now)
	q.counters.admitted(w.class, now.Sub(w.arrived))
	return p
}

// dispatch grants passes while there are places; the caller holds the lock.
func (q *Queue) dispatch(now time.Time) {
	for w := q.line.next(now); w != nil; w = q.line.next(now) {
		slot, ok := q.take(w, now)
		if !ok {
			return
		}
		q.line.lanes[w.class].charge(w)
		q.end(w, verdict{pass: q.admit(w, slot, now)})
	}
}

// end takes the job out of line with its verdict.
func (q *Queue) end(w *waiter, v verdict) {
	q.line.remove(w)
	q.count(w, -1)
	w.outcome <- v
}

func (q *Queue) count(w *waiter, n int64) {
	if w.class == ClassUrgent {
		q.urgent.Add(n)
	}
	if q.waiting.Add(n) == 1 && n == 1 {
		q.queues.watch()
	}
}

// abandon gives up the place in line; a pass that was granted meanwhile is given back.
func (q *Queue) abandon(ctx context.Context, w *waiter) error {
	q.mutex.Lock()
	var granted *Pass
	select {
	case v := <-w.outcome:
		granted = v.pass
	default:
		q.line.remove(w)
		q.count(w, -1)
	}
	q.counters.abandoned++
	q.mutex.Unlock()
	if granted != nil {
		granted.Done(0, basilapi.OutcomeNotRun)
	}
	return errors.WithStack(ctx.Err())
}

// done ends a pass; it tells whether this was the first call.
func (q *Queue) done(p *Pass, ran time.Duration, o basilapi.Outcome) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if p.ended {
		return false
	}
	p.ended = true
	q.line.finish(p)
	if o != basilapi.OutcomeNotRun {
		q.line.observe(p, ran)
	}
	return true
}

// serve grants what it can.
func (q *Queue) serve(now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch(now)
}

// check grants what it can and refuses what can't start in time.
func (q *Queue) check(now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch(now)
	if now.Sub(q.shedAt) >= shedPeriod {
		q.shed(now)
	}
}

// shed refuses waiting jobs that can't start in time, and all of them in an outage.
func (q *Queue) shed(now time.Time) {
	q.shedAt = now
	if !q.dryAt.IsZero() && q.line.running == 0 && now.Sub(q.dryAt) >= outageGrace {
		for w := q.line.any(); w != nil; w = q.line.any() {
			q.end(w, q.refuse(w.class, errors.WithStack(ErrNoCapacity{Service: q.service, RetryAfter: spread(outageRetry)})))
		}
		return
	}
	for _, w := range q.line.doomed(now) {
		q.line.lanes[w.class].misjudged(w, now)
		q.end(w, q.refuse(w.class, q.unreachable(q.line.retryAfter(w))))
	}
}
