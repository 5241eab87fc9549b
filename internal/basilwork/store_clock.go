package basilwork

import (
	"sync"
	"time"
)

// StoreClock relates the steady clock of the store to a local one, so that entry hosts can compare times that they store.
//
// It is safe for concurrent use. A nil StoreClock never has a reading.
type StoreClock struct {
	local    func() time.Duration
	mutex    sync.Mutex
	reading  time.Duration // of the store's clock, in its newest answer
	sent     time.Duration // local time at which the call of that answer was sent
	received time.Duration // local time at which the answer arrived
}

// NewStoreClock returns a clock without a reading; local must count the time that the host is suspended.
func NewStoreClock(local func() time.Duration) *StoreClock { return &StoreClock{local: local} }

// Local returns the local time, or 0 for a nil StoreClock.
func (c *StoreClock) Local() time.Duration {
	if c == nil {
		return 0
	}
	return c.local()
}

// Record records a reading of the store's clock from the answer to a call that was sent at the local time.
func (c *StoreClock) Record(reading, sent time.Duration) {
	if c == nil || reading <= 0 {
		return
	}
	received := c.local()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sent >= c.sent {
		c.reading, c.sent, c.received = reading, sent, received
	}
}

// Bounds returns the earliest and the latest time that the store's clock may show now; ok is false without a reading.
func (c *StoreClock) Bounds() (earliest, latest time.Duration, ok bool) {
	if c == nil {
		return 0, 0, false
	}
	now := c.local()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reading + now - c.received, c.reading + now - c.sent, c.reading > 0
}
