package basiltimer

import (
	"sync"
	"time"
)

// Weights and factor are those of TCP's retransmission timeout.
const (
	latencyWeight   = 0.125 // weight of a new latency in the mean
	deviationWeight = 0.25  // weight of its difference from the mean in the deviation
	deviations      = 4     // added to the mean
	maxDoublings    = 3
)

// AnswerTimeout derives the timeout of calls from the latency of their answers, as TCP derives its retransmission timeout.
//
// It answers a load of calls of which some are never answered, so that each loss costs little time where answers are quick,
// and slow answers aren't taken for lost ones. It is safe for concurrent use. Create it with NewAnswerTimeout.
type AnswerTimeout struct {
	shortest, longest time.Duration
	mutex             sync.Mutex // guards the following fields
	mean, deviation   time.Duration
	known             bool
	misses            int // since the last answer; each but the first doubles the timeout, since one may just be lost
}

// NewAnswerTimeout returns a timeout between the two limits. It is the longest until the first answer.
func NewAnswerTimeout(shortest, longest time.Duration) *AnswerTimeout {
	return &AnswerTimeout{shortest: shortest, longest: longest}
}

// Answered records the latency of an answer.
func (t *AnswerTimeout) Answered(latency time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.misses = 0
	if !t.known {
		t.mean, t.deviation, t.known = latency, latency/2, true
		return
	}
	difference := latency - t.mean
	t.mean += time.Duration(latencyWeight * float64(difference))
	t.deviation += time.Duration(deviationWeight * float64(max(difference, -difference)-t.deviation))
}

// Responsive records an answer whose latency says nothing of that of others.
func (t *AnswerTimeout) Responsive() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.misses = 0
}

// Missed records a call without an answer.
func (t *AnswerTimeout) Missed() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.misses++
}

// Misses returns the number of calls without an answer since the last answer.
func (t *AnswerTimeout) Misses() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.misses
}

// Latency returns what most answers take no longer than; ok is false before the first.
func (t *AnswerTimeout) Latency() (latency time.Duration, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.mean + t.deviation, t.known
}

// Get returns the timeout of the next call.
func (t *AnswerTimeout) Get() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.doubled(min(max(0, t.misses-1), maxDoublings))
}

// GetInitial returns the timeout of a call as if none had been missed.
func (t *AnswerTimeout) GetInitial() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.doubled(0)
}

func (t *AnswerTimeout) doubled(times int) time.Duration {
	if !t.known {
		return t.longest
	}
	return min(t.longest, max(t.shortest, t.mean+deviations*t.deviation)<<times)
}
