package basilqueue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Limits of the queues.
const (
	defaultMaxWaiting = 4096
	checkPeriod       = 10 * time.Millisecond // between looks at places that came free unnoticed
)

// Options are the settings of Queues; Capacity must be set.
type Options struct {
	Capacity    Capacity
	LongPercent int // of the slots that long jobs may hold; 0 is the default
	MaxWaiting  int // jobs of one class that may wait in one queue; 0 is the default
}

// Queues holds a queue for each service.
type Queues struct {
	options  Options
	quotas   quotas
	queues   sync.Map // service name to *Queue
	list     atomic.Pointer[[]*Queue]
	turn     atomic.Uint32
	mutex    sync.Mutex  // guards the making of queues and the timer
	timer    *time.Timer // nil before the first wait
	watching bool
}

// NewQueues returns queues that hold no job.
func NewQueues(o Options) *Queues {
	if o.LongPercent <= 0 {
		o.LongPercent = defaultLongPercent
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	q := &Queues{options: o}
	q.list.Store(&[]*Queue{})
	return q
}

// Acquire waits until the job may be sent.
//
// It fails with ErrQuotaExceeded, ErrQueueFull, ErrDeadlineUnreachable or
// ErrNoCapacity, which are told as soon as they are known, and with the context's
// error. Whatever the error, the job was not sent.
func (q *Queues) Acquire(ctx context.Context, t Ticket) (*Pass, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	u := q.queue(t.Service)
	if err := q.Charge(t.Team); err != nil {
		u.quotaExceeded()
		return nil, err
	}
	return u.acquire(ctx, t)
}

// Charge counts one job against the team's quota without a place in line; it fails with ErrQuotaExceeded.
func (q *Queues) Charge(team string) error { return q.quotas.take(team) }

func (q *Queues) queue(service string) *Queue {
	if u, ok := q.queues.Load(service); ok {
		return u.(*Queue)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	u, loaded := q.queues.LoadOrStore(service, newQueue(q, service))
	if !loaded {
		list := append(append([]*Queue{}, *q.list.Load()...), u.(*Queue))
		q.list.Store(&list)
	}
	return u.(*Queue)
}

// dispatch offers a place that came free to all queues, those with urgent jobs first.
//
// Services may share backend servers, so the place is any queue's.
func (q *Queues) dispatch() {
	list := *q.list.Load()
	start := int(q.turn.Add(1))
	now := time.Now()
	for i := range list {
		if u := list[(start+i)%len(list)]; u.urgent.Load() > 0 {
			u.serve(now)
		}
	}
	for i := range list {
		if u := list[(start+i)%len(list)]; u.waiting.Load() > 0 {
			u.serve(now)
		}
	}
}

// watch looks after waiting jobs until there are none; the first one calls it.
func (q *Queues) watch() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.watching {
		return
	}
	q.watching = true
	if q.timer == nil {
		q.timer = time.AfterFunc(checkPeriod, q.check)
		return
	}
	q.timer.Reset(checkPeriod)
}

func (q *Queues) check() {
	now := time.Now()
	list := *q.list.Load()
	start := int(q.turn.Add(1))
	for i := range list {
		if u := list[(start+i)%len(list)]; u.waiting.Load() > 0 {
			u.check(now)
		}
	}
	q.rewatch()
}

// rewatch arms the timer again if jobs wait.
func (q *Queues) rewatch() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.watching = false
	for _, u := range *q.list.Load() {
		if u.waiting.Load() > 0 {
			q.watching = true
			q.timer.Reset(checkPeriod)
			return
		}
	}
}
