package basilqueue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Defaults and timing of the queues.
const (
	defaultMaxWaiting = 4096
	checkPeriod       = 10 * time.Millisecond // interval of checks for slots that became free without a call to Pass.Done
)

// Options configures Queues; Capacity is required.
type Options struct {
	Capacity    Capacity
	LongPercent int // share of slots that long jobs may hold; 0 selects the default
	MaxWaiting  int // maximum waiting jobs per class and service; 0 selects the default
}

// Queues holds a queue for each service.
type Queues struct {
	options  Options
	quotas   quotas
	queues   sync.Map // service name to *Queue
	list     atomic.Pointer[[]*Queue]
	rotation atomic.Uint32
	mutex    sync.Mutex  // guards the creation of queues and the timer
	timer    *time.Timer // nil until a job waits for the first time
	checking bool
}

// NewQueues returns Queues without any jobs.
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

// Acquire blocks until the job may be sent to a backend server.
//
// It returns ErrQuotaExceeded, ErrQueueFull, ErrDeadlineUnreachable or
// ErrNoCapacity as soon as the job can be rejected, or the context's error. On any
// error, the job has not been sent.
func (q *Queues) Acquire(ctx context.Context, t JobRequest) (*Pass, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	queue := q.queue(t.Service)
	if err := q.ChargeQuota(t.Team); err != nil {
		queue.countQuotaExceeded()
		return nil, err
	}
	return queue.acquire(ctx, t)
}

// ChargeQuota counts one job against the team's quota without queueing it; it returns ErrQuotaExceeded if the quota is used up.
func (q *Queues) ChargeQuota(team string) error { return q.quotas.take(team) }

func (q *Queues) queue(service string) *Queue {
	if queue, ok := q.queues.Load(service); ok {
		return queue.(*Queue)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queue, loaded := q.queues.LoadOrStore(service, newQueue(q, service))
	if !loaded {
		list := append(append([]*Queue{}, *q.list.Load()...), queue.(*Queue))
		q.list.Store(&list)
	}
	return queue.(*Queue)
}

// dispatch offers a freed slot to all queues, those with urgent jobs first.
//
// Services may share backend servers, so any queue may be able to use the slot.
func (q *Queues) dispatch() {
	list := *q.list.Load()
	start := int(q.rotation.Add(1))
	now := time.Now()
	for i := range list {
		if queue := list[(start+i)%len(list)]; queue.urgent.Load() > 0 {
			queue.startWaiting(now)
		}
	}
	for i := range list {
		if queue := list[(start+i)%len(list)]; queue.waiting.Load() > 0 {
			queue.startWaiting(now)
		}
	}
}

// startChecks starts the periodic check, which runs while jobs wait; a queue calls it when its first job starts to wait.
func (q *Queues) startChecks() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.checking {
		return
	}
	q.checking = true
	if q.timer == nil {
		q.timer = time.AfterFunc(checkPeriod, q.check)
		return
	}
	q.timer.Reset(checkPeriod)
}

func (q *Queues) check() {
	now := time.Now()
	list := *q.list.Load()
	start := int(q.rotation.Add(1))
	for i := range list {
		if queue := list[(start+i)%len(list)]; queue.waiting.Load() > 0 {
			queue.check(now)
		}
	}
	q.rearmTimer()
}

// rearmTimer schedules the next check if jobs are waiting.
func (q *Queues) rearmTimer() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.checking = false
	for _, queue := range *q.list.Load() {
		if queue.waiting.Load() > 0 {
			q.checking = true
			q.timer.Reset(checkPeriod)
			return
		}
	}
}
