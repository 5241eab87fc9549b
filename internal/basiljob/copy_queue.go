package basiljob

import (
	"sync"

	"basilstage.example/basilstage/pkg/basilapi"
)

// maxCopyBacklog is the number of answers queued for a slow copier; beyond it the oldest are dropped.
const maxCopyBacklog = 4096

// copyQueue passes answers to a copier in batches without blocking the producer. Only one batch is copied at a time.
type copyQueue struct {
	copier Copier
	mutex  sync.Mutex
	queued []basilapi.JobAnswer
	busy   bool          // drain is running
	idle   chan struct{} // closed when the queue becomes idle; nil if there are no waiters
}

func (q *copyQueue) enqueue(a basilapi.JobAnswer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.queued) >= maxCopyBacklog {
		q.queued = q.queued[1:]
	}
	q.queued = append(q.queued, a)
	if !q.busy {
		q.busy = true
		go q.drain()
	}
}

// drain copies batches until the queue is empty. Each batch holds the answers queued while the previous one was copied.
func (q *copyQueue) drain() {
	for batch := q.takeBatch(); len(batch) > 0; batch = q.takeBatch() {
		q.copier.Copy(batch)
	}
}

// takeBatch removes and returns all queued answers. If there are none, it marks the
// queue idle and wakes the waiters.
func (q *copyQueue) takeBatch() []basilapi.JobAnswer {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	batch := q.queued
	q.queued = nil
	if len(batch) > 0 {
		return batch
	}
	q.busy = false
	if q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
	return nil
}

// idleChannel returns a channel that is closed once all queued answers were copied.
func (q *copyQueue) idleChannel() <-chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.busy {
		return closedChannel
	}
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	return q.idle
}
