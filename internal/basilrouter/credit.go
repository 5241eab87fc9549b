package basilrouter

import (
	"sync/atomic"
	"time"
)

// Limits of the credits that one entry host holds for one backend server.
const (
	milli                 = 1000 // credits are counted in thousandths
	minCreditLimit        = milli
	connectionsPerHost    = 64
	creditCutDivisor      = 2
	creditCutHoldoff      = 20 * time.Millisecond
	creditGrowthPerWindow = milli // growth of the limit per full window of responses
)

// DefaultSlots is the number of jobs that a backend server runs concurrently if Backend.Slots is 0.
const DefaultSlots = 8

// creditWindow limits the requests that may be in flight at one backend server.
//
// The limit follows additive increase, multiplicative decrease: it grows while all
// credits are in use, is halved by a refusal, and never exceeds the server's slots.
type creditWindow struct {
	inFlight    atomic.Int64
	limitMilli  atomic.Int64 // thousandths of a credit
	maxMilli    atomic.Int64 // thousandths of a credit; the backend server's slots
	cutAt       atomic.Int64 // Unix nanoseconds of the last reduction
	pausedUntil atomic.Int64 // Unix nanoseconds; no requests are sent before
}

func (c *creditWindow) reset(share, slots int) {
	c.maxMilli.Store(int64(slots) * milli)
	c.limitMilli.Store(int64(min(max(share, 1), slots)) * milli)
}

// hasFree reports whether one more request fits.
func (c *creditWindow) hasFree() bool {
	return (c.inFlight.Load()+1)*milli <= c.limitMilli.Load()
}

// paused reports whether the last refusal is so recent that another one is likely.
func (c *creditWindow) paused(now int64) bool { return now < c.pausedUntil.Load() }

// pause holds requests back after a refusal, for a random time around the expected interval between
// two slots becoming free (typical latency / slots), divided by the divisor.
func (c *creditWindow) pause(now, typical, divisor int64, random uint32) {
	mean := typical * milli / max(c.maxMilli.Load(), milli) / divisor
	c.pausedUntil.Store(now + mean/2 + int64(uint64(random)*uint64(mean)>>randomShift))
}

// freeCount returns the number of further requests that fit.
func (c *creditWindow) freeCount() int {
	return int(max(0, c.limitMilli.Load()/milli-c.inFlight.Load()))
}

func (c *creditWindow) acquire() bool {
	for {
		n := c.inFlight.Load()
		if (n+1)*milli > c.limitMilli.Load() {
			return false
		}
		if c.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (c *creditWindow) release() { c.inFlight.Add(-1) }

// grow raises the limit after a response if all credits were in use.
func (c *creditWindow) grow() {
	if c.hasFree() {
		return
	}
	l := c.limitMilli.Load()
	raised := min(l+creditGrowthPerWindow*milli/max(l, 1), c.maxMilli.Load())
	c.limitMilli.CompareAndSwap(l, raised)
}

// cut lowers the limit after a refusal; refusals within creditCutHoldoff count as one.
func (c *creditWindow) cut(now int64) {
	last := c.cutAt.Load()
	if now-last < int64(creditCutHoldoff) || !c.cutAt.CompareAndSwap(last, now) {
		return
	}
	l := c.limitMilli.Load()
	c.limitMilli.CompareAndSwap(l, max(l/creditCutDivisor, minCreditLimit))
}
