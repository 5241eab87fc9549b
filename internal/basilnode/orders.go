package basilnode

import (
	"slices"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	maxOrdersInFlight = 64                     // each uses a network connection
	maxQueuedStarts   = 128                    // as many as can be sent within maxStartAge; a whole gang may exceed it
	maxStartAge       = 500 * time.Millisecond // older decisions are dropped, as free room, hosts and jobs have changed since
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=withdrawal -trimprefix=withdrawal -transform=snake -output=withdrawal_enumer.go

// withdrawal is the reason why a decided start is not sent.
type withdrawal int

const (
	withdrawalNone      withdrawal = iota
	withdrawalCancelled            // the job was cancelled
	withdrawalLate                 // the decision is too old
	withdrawalStale                // the data about jobs or backend servers is too old
	withdrawalStopping             // the owner is giving up the shard
	withdrawalUnlisted             // the backend server didn't answer, its row could not be stored, or it is not available any more
)

// queuedStart is a start that waits to be sent.
type queuedStart struct {
	basilscheduler.Start
	decided time.Time
	send    func() (answered bool)
	backend *backendOrders // of its backend server when it was queued
}

// gang identifies the gang that the start belongs to.
func (w *queuedStart) gang() gangAttempt {
	return gangAttempt{step: w.Task.StepName(), attempt: w.Attempt}
}

// gangAttempt identifies one attempt to start a gang.
type gangAttempt struct {
	step    string
	attempt int
}

// withdrawnStart is a start that was not sent, with the reason.
type withdrawnStart struct {
	basilscheduler.Start
	reason withdrawal
}

// orderQueue holds the orders that an owner has to send to backend servers. The number in flight is limited, in total
// and per backend server. Starts come after all other orders, and each is checked again just before it is sent.
type orderQueue struct {
	// fresh reports whether the data about jobs and backend servers is recent enough to start tasks.
	fresh func() bool
	// withdraw is called with the starts that are not sent.
	withdraw       func(list []withdrawnStart)
	mutex          sync.Mutex // guards all below
	backends       map[string]*backendOrders
	turns          []string // backend servers with waiting stops or paces
	starts         []queuedStart
	senders        int                  // goroutines that send orders
	startsInFlight int                  // starts that are being sent
	silentInFlight int                  // orders to silent backend servers that are being sent
	cancelled      map[string]bool      // by job
	startedGangs   map[gangAttempt]bool // gangs of which a start was sent; the others must follow
	stopping       bool
}

// put queues an order that is sent before all starts. A start of the same run that still waits repeats one without an answer, and is dropped.
func (q *orderQueue) put(o order) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.starts = slices.DeleteFunc(q.starts, func(s queuedStart) bool { return s.Ref == o.Ref })
	b := q.backend(o.Backend)
	if len(b.waiting) == 0 {
		q.turns = append(q.turns, o.Backend)
	}
	b.add(o)
	q.spawnSender()
}

// putStarts queues the starts of one decision under one lock, so that no sending goroutine sees part of a gang.
func (q *orderQueue) putStarts(list []queuedStart) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, s := range list {
		s.backend = q.backend(s.Backend)
		q.starts = append(q.starts, s)
	}
	for range list {
		q.spawnSender()
	}
}

// spawnSender starts another sending goroutine unless the limit is reached. The caller must hold the mutex.
func (q *orderQueue) spawnSender() {
	if q.senders < maxOrdersInFlight {
		q.senders++
		go q.run()
	}
}

func (q *orderQueue) run() {
	for {
		s, list := q.next(time.Now())
		if len(list) > 0 {
			q.withdraw(list)
		}
		if s.send == nil {
			return
		}
		q.finish(&s, s.send())
	}
}

// sending is an order that is being sent.
type sending struct {
	backend *backendOrders
	send    func() (answered bool)
	start   bool
	silent  bool // the backend server was silent before
}

// next removes the next order to send from the queue, or none, and returns with it the starts before it that must not be
// sent. It skips backend servers that have the maximum number of orders in flight: the goroutines that send those call
// next again.
func (q *orderQueue) next(now time.Time) (sending, []withdrawnStart) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if o, ok := q.nextWaiting(); ok {
		queued := now.Sub(o.queuedAt)
		return q.markInFlight(sending{backend: q.backends[o.Backend], send: func() bool { return o.send(queued) }}), nil
	}
	var list []withdrawnStart
	var skipped []queuedStart
	for n, s := range q.starts {
		if reason := q.check(&s, now); reason != withdrawalNone {
			list = append(list, withdrawnStart{Start: s.Start, reason: reason})
			continue
		}
		if q.startsInFlight >= maxOrdersInFlight-reservedOrders || s.backend.inFlight >= basilrunner.MaxConcurrentOrders {
			skipped = append(skipped, s)
			continue
		}
		q.starts = q.starts[n+1-len(skipped):]
		copy(q.starts, skipped)
		q.markGangStarted(&s)
		return q.markInFlight(sending{backend: s.backend, send: s.send, start: true}), list
	}
	q.starts = skipped
	if len(skipped) == 0 {
		q.startedGangs = nil
	}
	q.senders--
	return sending{}, list
}

// markGangStarted records that the other starts of the gang must follow this one. The caller must hold the mutex.
func (q *orderQueue) markGangStarted(s *queuedStart) {
	if !s.Gang {
		return
	}
	if q.startedGangs == nil {
		q.startedGangs = make(map[gangAttempt]bool)
	}
	q.startedGangs[s.gang()] = true
}

// markInFlight counts the order as in flight and returns it. The caller must hold the mutex.
func (q *orderQueue) markInFlight(s sending) sending {
	s.backend.inFlight++
	s.silent = s.backend.silent() && !s.start
	if s.silent {
		q.silentInFlight++
	}
	if s.start {
		q.startsInFlight++
	}
	return s
}

// finish records that an order is no longer in flight, with an answer or without one.
func (q *orderQueue) finish(s *sending, answered bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	s.backend.finish(answered)
	if s.start {
		q.startsInFlight--
	}
	if !s.silent {
		return
	}
	q.silentInFlight--
	if answered { // more than one may be in flight again
		for range min(len(s.backend.waiting), basilrunner.MaxConcurrentOrders) {
			q.spawnSender()
		}
	}
}

// check returns the reason why a start must not be sent now, if any. Once one start of a gang was sent, the others are
// sent too, however late, because the members work only together; only a cancelled job stops them.
func (q *orderQueue) check(s *queuedStart, now time.Time) withdrawal {
	switch {
	case q.cancelled[s.Task.Job]:
		return withdrawalCancelled
	case s.Gang && q.startedGangs[s.gang()]:
		return withdrawalNone
	case q.stopping:
		return withdrawalStopping
	case now.Sub(s.decided) > maxStartAge:
		return withdrawalLate
	case !q.fresh():
		return withdrawalStale
	}
	return withdrawalNone
}

// cancel blocks all further starts of the jobs.
func (q *orderQueue) cancel(ids ...string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.cancelled == nil {
		q.cancelled = make(map[string]bool)
	}
	for _, id := range ids {
		q.cancelled[id] = true
	}
}

// isCancelled reports whether further starts of the job are blocked.
func (q *orderQueue) isCancelled(id string) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.cancelled[id]
}

// forget removes the jobs from the set of cancelled ones.
func (q *orderQueue) forget(ids []string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, id := range ids {
		delete(q.cancelled, id)
	}
}

// stop blocks all further starts, except those of gangs that were begun.
func (q *orderQueue) stop() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.stopping = true
}

// room returns how many more starts may be queued.
func (q *orderQueue) room() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return max(0, maxQueuedStarts-len(q.starts))
}

// queued returns the number of orders other than starts that wait to be sent.
func (q *orderQueue) queued() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var count int
	for _, id := range q.turns {
		count += len(q.backends[id].waiting)
	}
	return count
}

// idle reports whether no order is queued or in flight.
func (q *orderQueue) idle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.senders == 0
}
