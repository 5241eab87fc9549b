package basilpeer

import "sync"

// Bounds of what waits for one peer; the oldest goes first.
const (
	maxQueuedEntryBytes  = 256 << 10
	maxQueuedAnswerBytes = 1 << 20
	maxQueuedHosts       = 4096 // leaving hosts, and loads, each
)

// deltaQueue holds what one peer has not been sent yet, merged into one delta.
type deltaQueue struct {
	mu      sync.Mutex
	pending Delta
	filled  bool
	wake    chan struct{}
}

func newDeltaQueue() *deltaQueue { return &deltaQueue{wake: make(chan struct{}, 1)} }

// put merges the delta into what waits; it never blocks.
func (q *deltaQueue) put(d Delta) {
	q.mu.Lock()
	q.pending = mergeDeltas(q.pending, d)
	q.filled = true
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
	d, filled := q.pending, q.filled
	q.pending, q.filled = Delta{}, false
	return d, filled
}

// mergeDeltas returns the older delta brought up to date by the newer one.
func mergeDeltas(older, newer Delta) Delta {
	return Delta{
		Sequence:    max(older.Sequence, newer.Sequence),
		Revision:    max(older.Revision, newer.Revision),
		Entries:     boundBytes(concat(older.Entries, newer.Entries), maxQueuedEntryBytes),
		Leaving:     bound(latest(older.Leaving, newer.Leaving, LeavingHost.key, newerEpoch), maxQueuedHosts),
		Load:        bound(latest(older.Load, newer.Load, RunnerLoad.key, always[RunnerLoad]), maxQueuedHosts),
		Answers:     boundBytes(concat(older.Answers, newer.Answers), maxQueuedAnswerBytes),
		Ready:       newer.Ready,
		Stopping:    newer.Stopping,
		Incarnation: newer.Incarnation,
	}
}

func (h LeavingHost) key() string { return h.Host }

func (l RunnerLoad) key() string { return l.Host }

func newerEpoch(old, fresh LeavingHost) bool { return fresh.Epoch >= old.Epoch }

func always[T any](T, T) bool { return true }

// concat returns a fresh slice of both, so that merges never share memory with callers.
func concat[T any](older, newer []T) []T {
	if len(older)+len(newer) == 0 {
		return nil
	}
	both := make([]T, 0, len(older)+len(newer))
	return append(append(both, older...), newer...)
}

// latest returns one item per key: the newer one, where it replaces the older.
func latest[T any](older, newer []T, key func(T) string, replaces func(old, fresh T) bool) []T {
	if len(newer) == 0 {
		return older
	}
	merged := make([]T, 0, len(older)+len(newer))
	place := make(map[string]int, len(older)+len(newer))
	for _, t := range concat(older, newer) {
		i, found := place[key(t)]
		switch {
		case !found:
			place[key(t)] = len(merged)
			merged = append(merged, t)
		case replaces(merged[i], t):
			merged[i] = t
		}
	}
	return merged
}

// bound keeps the last items.
func bound[T any](items []T, most int) []T { return items[max(0, len(items)-most):] }

// boundBytes keeps the last messages that together fit.
func boundBytes(messages [][]byte, most int) [][]byte {
	total := 0
	for i := len(messages) - 1; i >= 0; i-- {
		total += len(messages[i])
		if total > most {
			return messages[i+1:]
		}
	}
	return messages
}
