package basilnode

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	reservedOrders  = maxOrdersInFlight / 4 // not for starts, so that those without an answer leave stops a quarter
	maxSilentOrders = reservedOrders / 2    // to silent backend servers, so that stops elsewhere have the other half
)

// order is a stop or a pace for a run, which waits to be sent.
type order struct {
	basilscheduler.Ref
	pace     bool
	send     func(queued time.Duration) (answered bool)
	queuedAt time.Time
}

// sameKind reports whether the other order is for the same run and of the same kind.
func (o *order) sameKind(p *order) bool { return o.Ref == p.Ref && o.pace == p.pace }

// backendOrders are the orders to one backend server.
type backendOrders struct {
	waiting  []order // oldest first
	inFlight int     // starts too
	misses   int     // orders without an answer since the newest answer
}

// silent reports whether as many orders in a row got no answer as may be in flight. Fewer may be lost by a server that is well.
func (b *backendOrders) silent() bool { return b.misses >= basilrunner.MaxConcurrentOrders }

// finish records the outcome of an order.
func (b *backendOrders) finish(answered bool) {
	b.inFlight--
	b.misses++
	if answered {
		b.misses = 0
	}
}

// add queues an order. One of the same kind for the same run is replaced in its place, so that repetitions don't pile up.
func (b *backendOrders) add(o order) {
	n := slices.IndexFunc(b.waiting, func(p order) bool { return o.sameKind(&p) })
	if n < 0 {
		b.waiting = append(b.waiting, o)
		return
	}
	o.queuedAt = b.waiting[n].queuedAt
	b.waiting[n] = o
}

// limit returns how many orders may be in flight. A silent backend server gets one at a time, to learn whether it answers again.
func (b *backendOrders) limit() int {
	if b.silent() {
		return 1
	}
	return basilrunner.MaxConcurrentOrders
}

// backend returns the orders to a backend server. The caller must hold the mutex.
func (q *orderQueue) backend(id string) *backendOrders {
	if q.backends == nil {
		q.backends = make(map[string]*backendOrders)
	}
	if q.backends[id] == nil {
		q.backends[id] = &backendOrders{}
	}
	return q.backends[id]
}

// nextWaiting removes the next order other than a start from the queue, if one may be sent. Backend servers take turns, those
// with the fewest orders in flight first, so that none holds up another's. The caller must hold the mutex.
func (q *orderQueue) nextWaiting() (order, bool) {
	best := -1
	for n, id := range q.turns {
		b := q.backends[id]
		if b.inFlight >= b.limit() || b.silent() && q.silentInFlight >= maxSilentOrders {
			continue
		}
		if best < 0 || b.inFlight < q.backends[q.turns[best]].inFlight {
			best = n
		}
	}
	if best < 0 {
		return order{}, false
	}
	id := q.turns[best]
	b := q.backends[id]
	o := b.waiting[0]
	b.waiting = slices.Delete(b.waiting, 0, 1)
	q.turns = slices.Delete(q.turns, best, best+1)
	if len(b.waiting) > 0 {
		q.turns = append(q.turns, id)
	}
	return o, true
}

// answered records that a backend server has answered something else than an order, so that it is not silent any more.
func (q *orderQueue) answered(id string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	b := q.backends[id]
	if b == nil || !b.silent() {
		return
	}
	b.misses = 0
	for range min(len(b.waiting), basilrunner.MaxConcurrentOrders) {
		q.spawnSender()
	}
}

// drop removes the orders that wait for a backend server, and what is known of its answers.
func (q *orderQueue) drop(id string) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if b := q.backends[id]; b != nil {
		b.waiting = nil // those in flight still count for it
		delete(q.backends, id)
		q.turns = slices.DeleteFunc(q.turns, func(t string) bool { return t == id })
	}
}
