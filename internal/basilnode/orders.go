package basilnode

import (
	"sync"
	"time"

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
	first     []func()   // stops and paces
	starts    []waitingStart
	inFlight  int
	cancelled map[string]bool // jobs
	begun     gangStart       // the newest gang of which a start was sent
	stopping  bool
}

// put queues an order that waits for no start.
func (q *orders) put(send func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.first = append(q.first, send)
	q.work()
}

// putStart queues a start.
func (q *orders) putStart(s basilscheduler.Start, decided time.Time, send func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.starts = append(q.starts, waitingStart{Start: s, decided: decided, send: send})
	q.work()
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
		send, list := q.next(time.Now())
		if len(list) > 0 {
			q.withdraw(list)
		}
		if send == nil {
			return
		}
		send()
	}
}

// next takes the order whose turn it is, or nil, and the starts before it that are not to be sent.
func (q *orders) next(now time.Time) (send func(), list []withdrawn) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.first) > 0 {
		send, q.first = q.first[0], q.first[1:]
		return send, nil
	}
	for len(q.starts) > 0 {
		s := q.starts[0]
		q.starts = q.starts[1:]
		if reason := q.look(&s, now); reason != withdrawalNone {
			list = append(list, withdrawn{Start: s.Start, reason: reason})
			continue
		}
		if s.Gang {
			q.begun = s.gang()
		}
		return s.send, list
	}
	q.inFlight--
	return nil, list
}

// look tells why a start is not to be sent now. The members of a gang are sent together: one that is on its way
// needs the others.
func (q *orders) look(s *waitingStart, now time.Time) withdrawal {
	switch {
	case q.cancelled[s.Task.Job]:
		return withdrawalCancelled
	case s.Gang && q.begun == s.gang():
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
