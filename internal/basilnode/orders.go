package basilnode

import (
	"slices"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	ordersAtOnce = 64                     // in flight; each is a connection
	startsQueued = 128                    // that wait at most, but for whole gangs; as many as are sent within their age
	startAge     = 500 * time.Millisecond // that a decision to start holds: room, hosts and jobs change meanwhile
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=withdrawal -trimprefix=withdrawal -transform=snake -output=withdrawal_enumer.go

// withdrawal tells why a start that was decided is not sent.
type withdrawal int

const (
	withdrawalNone      withdrawal = iota
	withdrawalCancelled            // its job was cancelled
	withdrawalLate                 // the decision is too old
	withdrawalStale                // what is known of jobs is too old
	withdrawalStopping             // the owner gives up the shard
)

// order is one that waits to be sent.
type order struct {
	backend string
	send    func()
}

// waitingStart is a start that waits to be sent.
type waitingStart struct {
	basilscheduler.Start
	decided time.Time
	send    func()
}

// gang names the gang that the start is a part of.
func (w *waitingStart) gang() gangStart {
	return gangStart{step: w.Task.StepName(), attempt: w.Attempt}
}

// gangStart is one attempt to start a gang.
type gangStart struct {
	step    string
	attempt int
}

// withdrawn is a start that was not sent.
type withdrawn struct {
	basilscheduler.Start
	reason withdrawal
}

// orders are what an owner has to send to backend servers. Few are in flight; starts wait behind all others, and
// each is looked at again when its turn comes.
type orders struct {
	// current tells whether what is known of jobs allows starts.
	current func() bool
	// withdraw is told of starts that are not sent.
	withdraw  func(list []withdrawn)
	mutex     sync.Mutex // guards all below
	first     []order    // stops and paces
	starts    []waitingStart
	inFlight  int
	sending   map[string]int     // orders in flight, by backend server
	cancelled map[string]bool    // jobs
	begun     map[gangStart]bool // gangs of which a start was sent while others waited
	stopping  bool
}

// put queues an order that waits for no start.
func (q *orders) put(backend string, send func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.first = append(q.first, order{backend: backend, send: send})
	q.work()
}

// putStarts queues the starts of one decision, all at once so that no sender sees a part of a gang.
func (q *orders) putStarts(list []waitingStart) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.starts = append(q.starts, list...)
	for range list {
		q.work()
	}
}

// work has one more goroutine send orders, unless there are enough; the caller holds the mutex.
func (q *orders) work() {
	if q.inFlight < ordersAtOnce {
		q.inFlight++
		go q.run()
	}
}

func (q *orders) run() {
	for {
		o, list := q.next(time.Now())
		if len(list) > 0 {
			q.withdraw(list)
		}
		if o.send == nil {
			return
		}
		o.send()
		q.sent(o.backend)
	}
}

// next takes the order whose turn it is, or none, and the starts before it that are not to be sent. Orders to backend
// servers that have enough of them are passed over: what sends those looks again.
func (q *orders) next(now time.Time) (order, []withdrawn) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for n, o := range q.first {
		if q.sending[o.backend] < basilrunner.OrdersAtOnce {
			q.first = slices.Delete(q.first, n, n+1)
			return q.take(o), nil
		}
	}
	var list []withdrawn
	var passed []waitingStart
	for n, s := range q.starts {
		if reason := q.look(&s, now); reason != withdrawalNone {
			list = append(list, withdrawn{Start: s.Start, reason: reason})
			continue
		}
		if q.sending[s.Backend] >= basilrunner.OrdersAtOnce {
			passed = append(passed, s)
			continue
		}
		q.starts = q.starts[n+1-len(passed):]
		copy(q.starts, passed)
		q.begin(&s)
		return q.take(order{backend: s.Backend, send: s.send}), list
	}
	q.starts = passed
	if len(passed) == 0 {
		q.begun = nil
	}
	q.inFlight--
	return order{}, list
}

// begin notes that the other members of the start's gang are to follow it.
func (q *orders) begin(s *waitingStart) {
	if !s.Gang {
		return
	}
	if q.begun == nil {
		q.begun = make(map[gangStart]bool)
	}
	q.begun[s.gang()] = true
}

// take notes that the order is sent; the caller holds the mutex.
func (q *orders) take(o order) order {
	if q.sending == nil {
		q.sending = make(map[string]int)
	}
	q.sending[o.backend]++
	return o
}

// sent notes that an order was answered, or will not be.
func (q *orders) sent(backend string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.sending[backend]--; q.sending[backend] == 0 {
		delete(q.sending, backend)
	}
}

// look tells why a start is not to be sent now. The members of a gang are sent together: one that is on its way
// needs the others.
func (q *orders) look(s *waitingStart, now time.Time) withdrawal {
	switch {
	case q.cancelled[s.Task.Job]:
		return withdrawalCancelled
	case s.Gang && q.begun[s.gang()]:
		return withdrawalNone
	case q.stopping:
		return withdrawalStopping
	case now.Sub(s.decided) > startAge:
		return withdrawalLate
	case !q.current():
		return withdrawalStale
	}
	return withdrawalNone
}

// cancel has nothing of the jobs started any more.
func (q *orders) cancel(ids ...string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.cancelled == nil {
		q.cancelled = make(map[string]bool)
	}
	for _, id := range ids {
		q.cancelled[id] = true
	}
}

// forget drops what was noted of jobs.
func (q *orders) forget(ids []string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, id := range ids {
		delete(q.cancelled, id)
	}
}

// stop has nothing started any more.
func (q *orders) stop() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.stopping = true
}

// room returns how many more starts may wait.
func (q *orders) room() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return max(0, startsQueued-len(q.starts))
}

// idle tells whether no order waits or is in flight.
func (q *orders) idle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.inFlight == 0
}
