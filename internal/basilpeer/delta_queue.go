package basilpeer

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds of what waits for one peer; the oldest goes first.
const (
	maxQueuedEntryBytes  = 256 << 10
	maxQueuedAnswerBytes = 1 << 20
	maxQueuedHosts       = 4096 // leaving hosts, and pools with a load, each
)

// deltaQueue holds what one peer has not been sent yet, merged into one delta.
type deltaQueue struct {
	wake chan struct{}

	mu      sync.Mutex
	filled  bool
	state   Delta // the fields that have one value
	entries boundedMessages
	answers boundedMessages
	leaving latest[int64]
	load    latest[int]
}

func newDeltaQueue() *deltaQueue { return &deltaQueue{wake: make(chan struct{}, 1)} }

// put merges the delta into what waits; it never blocks.
func (q *deltaQueue) put(d Delta) {
	q.mu.Lock()
	q.merge(d)
	q.mu.Unlock()
	q.signal()
}

// signal wakes the one that empties the queue.
func (q *deltaQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take removes what waits and tells whether there was anything.
func (q *deltaQueue) take() (Delta, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d, filled := q.state, q.filled
	d.Entries, d.Answers = q.entries.take(), q.answers.take()
	q.leaving.take(func(host string, epoch int64) {
		d.Leaving = append(d.Leaving, LeavingHost{Host: host, Epoch: epoch})
	})
	q.load.take(func(pool string, slots int) {
		d.Load = append(d.Load, PoolLoad{Pool: pool, Slots: slots})
	})
	q.state, q.filled = Delta{}, false
	return d, filled
}

func (q *deltaQueue) merge(d Delta) {
	q.filled = true
	q.state = q.state.advance(d)
	q.entries.add(d.Entries, maxQueuedEntryBytes)
	q.answers.add(d.Answers, maxQueuedAnswerBytes)
	for _, h := range d.Leaving {
		if epoch, found := q.leaving.get(h.Host); !found || epoch < h.Epoch {
			q.leaving.put(h.Host, h.Epoch)
		}
	}
	for _, l := range d.Load {
		q.load.put(l.Pool, l.Slots)
	}
}

// advance returns the fields that have one value, brought up to date by a newer delta.
func (d Delta) advance(newer Delta) Delta {
	return Delta{
		Sequence:    max(d.Sequence, newer.Sequence),
		Revision:    max(d.Revision, newer.Revision),
		Ready:       newer.Ready,
		Stopping:    newer.Stopping,
		Incarnation: newer.Incarnation,
	}
}

// boundedMessages keeps the last messages that together fit into a number of bytes.
type boundedMessages struct {
	list  [][]byte
	bytes int
}

func (m *boundedMessages) add(messages [][]byte, most int) {
	for _, b := range messages {
		m.list = append(m.list, b)
		m.bytes += len(b)
	}
	for m.bytes > most {
		m.bytes -= len(m.list[0])
		m.list[0] = nil
		m.list = m.list[1:]
	}
}

func (m *boundedMessages) take() [][]byte {
	taken := m.list
	*m = boundedMessages{}
	return taken
}

// latest keeps one value per host, for the hosts that were put last.
type latest[V any] struct{ values *simplelru.LRU[string, V] }

func (l *latest[V]) get(host string) (V, bool) {
	if l.values == nil {
		var none V
		return none, false
	}
	return l.values.Peek(host)
}

func (l *latest[V]) put(host string, v V) {
	if l.values == nil {
		values, err := simplelru.NewLRU[string, V](maxQueuedHosts, nil)
		if err != nil {
			panic(err)
		}
		l.values = values
	}
	l.values.Add(host, v)
}

// take calls the function for each host, the oldest first, and forgets them.
func (l *latest[V]) take(f func(host string, v V)) {
	if l.values == nil {
		return
	}
	for _, host := range l.values.Keys() {
		v, _ := l.values.Peek(host)
		f(host, v)
	}
	l.values = nil
}
