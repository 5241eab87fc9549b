package basilrunner

import "time"

const (
	renewalLimit  = 1500 * time.Millisecond // after the last answer, for which leases are renewed without one: what a lease of 5 s leaves of 7 s until a server that is gone is given up
	tryInterval   = 250 * time.Millisecond  // from a hold without an answer to the next: a silent backend server gets at most 4 a second
	partialPeriod = 5 * time.Second         // for which misses count as lost answers once some came as soon as ever: a requested lease
	growingTry    = 3                       // one try in so many has a growing timeout: the least that tells slow answers as soon as doubling each does
)

// renewal tracks how the holds of a connection are answered.
type renewal struct {
	misses       int       // holds without an answer since the last answer
	answeredMiss bool      // the last hold was the first to be answered after a miss
	partialAt    time.Time // when a hold after a miss was last answered as soon as others
}

// missed records a hold without an answer.
func (r *renewal) missed() {
	r.misses++
	r.answeredMiss = false
}

// answered records an answer to a hold; soon tells that it took no longer than answers take without a miss.
func (r *renewal) answered(soon bool, now time.Time) {
	if r.misses > 0 && soon {
		r.partialAt = now
	}
	r.answeredMiss = r.misses > 0
	r.misses = 0
}

// partial reports whether answers are lost rather than slow.
func (r *renewal) partial(now time.Time) bool {
	return !r.partialAt.IsZero() && now.Sub(r.partialAt) < partialPeriod
}

// mayRenew reports whether a hold may carry a deadline. One that is carried out late is safe, since the deadline is a time on the
// backend server's clock and the owner gives the server up only after it. The caller must hold the mutex.
func (c *Connection) mayRenew(now time.Time) bool {
	return c.firstMissAt.IsZero() || now.Sub(c.lease.LastAnswer()) < renewalLimit
}

// renewing reports whether runs depend on the holds. The caller must hold the mutex.
func (c *Connection) renewing() bool { return c.busy && c.attached }

// holdTimeout returns the timeout of a hold without the time that it waits at the backend server. The last one before the leases expire
// lasts until then. The caller must hold the mutex.
func (c *Connection) holdTimeout(now time.Time) time.Duration {
	if !c.renewing() {
		return c.timeout.Get()
	}
	timeout := c.timeout.GetInitial()
	if c.renewal.misses%growingTry == growingTry-1 && !c.renewal.partial(now) {
		timeout = c.timeout.Get()
	}
	if c.renewal.misses == 0 {
		return timeout
	}
	if left := c.expiry().Sub(now); left < timeout+tryInterval {
		return max(minTimeout, left+time.Millisecond)
	}
	return timeout
}

// missPause returns the pause after a hold that failed. The first miss is followed at once, since most often only its answer was lost.
// The tries to renew leases follow each other by tryInterval, and no sooner after a miss than the given pause between holds: an owner
// that is short of processor time takes slow answers for lost ones.
func (c *Connection) missPause(now time.Time, pause time.Duration) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case c.renewing() && c.renewal.misses > 0:
		return max(pause, c.heldAt.Add(tryInterval).Sub(now))
	case c.timeout.Misses() <= 1:
		return 0
	}
	return retryPause
}
