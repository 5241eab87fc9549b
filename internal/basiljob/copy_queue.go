package basiljob

import (
	"sync"

	"basilstage.example/basilstage/pkg/basilapi"
)

// maxCopyBacklog is how many answers wait for a slow copier before the oldest are given up.
const maxCopyBacklog = 4096

// copyQueue hands answers to the copier in batches, one at a time, without holding up who puts them.
type copyQueue struct {
	copier  Copier
	mutex   sync.Mutex
	waiting []basilapi.JobAnswer
	busy    bool
	idle    chan struct{} // nil when nobody waits
}

func (q *copyQueue) put(a basilapi.JobAnswer) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.waiting) >= maxCopyBacklog {
		q.waiting = q.waiting[1:]
	}
	q.waiting = append(q.waiting, a)
	if !q.busy {
		q.busy = true
		go q.drain()
	}
}

// drain hands over batches until none is left; each holds what came in during the one before.
func (q *copyQueue) drain() {
	for batch := q.take(); len(batch) > 0; batch = q.take() {
		q.copier.Copy(batch)
	}
}

func (q *copyQueue) take() []basilapi.JobAnswer {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	batch := q.waiting
	q.waiting = nil
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

func (q *copyQueue) whenIdle() <-chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.busy {
		return closed
	}
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	return q.idle
}
