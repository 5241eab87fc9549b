package basilrouter

import (
	"sync/atomic"
	"time"
)

// Limits of the credits that one entry host holds at one backend server.
const (
	milli               = 1000 // thousandths of a credit
	minCreditMilli      = milli
	connectionsPerHost  = 64
	creditCutFactor     = 2
	creditCutHoldoff    = 20 * time.Millisecond
	creditGrowthPerTrip = milli // credits gained for each full window of answers
)

// DefaultSlots is how many jobs a backend server runs at once unless its Backend says otherwise.
const DefaultSlots = 8

// credit is the window of requests that may be in flight at one backend server.
//
// It grows additively while it is used up and is halved by a refusal; it never
// exceeds the backend server's slots.
type credit struct {
	inFlight atomic.Int64
	limit    atomic.Int64 // thousandths
	ceiling  atomic.Int64 // thousandths
	cutAt    atomic.Int64 // Unix nanoseconds of the last cut
	resume   atomic.Int64 // Unix nanoseconds; refused until then
}

func (c *credit) reset(share, slots int) {
	c.ceiling.Store(int64(slots) * milli)
	c.limit.Store(int64(min(max(share, 1), slots)) * milli)
}

// free tells whether one more request fits.
func (c *credit) free() bool {
	return (c.inFlight.Load()+1)*milli <= c.limit.Load()
}

// paused tells whether a refusal is so recent that another one is likely.
func (c *credit) paused(now int64) bool { return now < c.resume.Load() }

// pause holds requests back for about the time in which one slot comes free.
func (c *credit) pause(now, typical, fraction int64, random uint32) {
	mean := typical * milli / max(c.ceiling.Load(), milli) / fraction
	c.resume.Store(now + mean/2 + int64(uint64(random)*uint64(mean)>>randomShift))
}

// spare returns how many more requests fit.
func (c *credit) spare() int {
	return int(max(0, c.limit.Load()/milli-c.inFlight.Load()))
}

func (c *credit) acquire() bool {
	for {
		n := c.inFlight.Load()
		if (n+1)*milli > c.limit.Load() {
			return false
		}
		if c.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

func (c *credit) release() { c.inFlight.Add(-1) }

// grow widens the window after an answer if the window was full.
func (c *credit) grow() {
	if c.free() {
		return
	}
	l := c.limit.Load()
	wider := min(l+creditGrowthPerTrip*milli/max(l, 1), c.ceiling.Load())
	c.limit.CompareAndSwap(l, wider)
}

// cut narrows the window after a refusal; a burst of refusals cuts once.
func (c *credit) cut(now int64) {
	last := c.cutAt.Load()
	if now-last < int64(creditCutHoldoff) || !c.cutAt.CompareAndSwap(last, now) {
		return
	}
	l := c.limit.Load()
	c.limit.CompareAndSwap(l, max(l/creditCutFactor, minCreditMilli))
}
