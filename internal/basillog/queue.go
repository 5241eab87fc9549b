package basillog

import (
	"io"
	"sync/atomic"
)

// queuedLines is how many lines wait for a slow reader before further ones are dropped.
const queuedLines = 4096

// Queue writes lines from a goroutine of its own, so that a reader that stops reading blocks nobody.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	done    chan struct{}
}

// NewQueue returns a queue in front of the writer.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if _, err := w.Write(line); err != nil {
			q.dropped.Add(1) // there is nowhere left to log it
			continue
		}
		q.written.Add(int64(len(line)))
	}
}

// Write queues a line, or drops it when too many wait; it never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Counts returns how many bytes were written and how many lines were dropped.
func (q *Queue) Counts() (written, dropped int64) { return q.written.Load(), q.dropped.Load() }

// Close ends the queue; done is closed when everything queued is written.
func (q *Queue) Close() (done <-chan struct{}) {
	close(q.lines)
	return q.done
}
