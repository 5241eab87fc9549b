package basilrunner

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	renewalLimit  = 1500 * time.Millisecond // after the last answer, for which leases are renewed without one: what a lease of 5 s leaves of 7 s until a server that is gone is given up
	tryInterval   = 250 * time.Millisecond  // from a hold without an answer to the next: a silent backend server gets at most 4 a second
	partialPeriod = 5 * time.Second         // for which misses count as lost answers once some came as soon as ever: a requested lease
	growingTry    = 3                       // one try in so many has a growing timeout: the least that tells slow answers as soon as doubling each does
	narrowLease   = time.Second             // a lease that had less left when it was renewed nearly lapsed
)

// renewal tracks how the holds of a connection are answered.
type renewal struct {
	misses       int       // holds without an answer since the last answer
	answeredMiss bool      // the last hold was the first to be answered after a miss
	partialAt    time.Time // when a hold after a miss was last answered as soon as others
	granted      int64     // newest deadline that was answered since the runs began, on the backend server's clock; zero for none
	unanswered   int64     // all holds without an answer
	narrow       int64     // all renewals of leases that had less than narrowLease left
}

// Renewals is how the holds of a connection have been answered so far.
type Renewals struct {
	Unanswered, Narrow int64         // holds without an answer, and renewals of leases that would have expired within a second
	Left               time.Duration // until all runs have certainly ended, unless leases are renewed
}

// Renewals returns how the holds have been answered so far.
func (c *Connection) Renewals() Renewals {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Renewals{Unanswered: c.renewal.unanswered, Narrow: c.renewal.narrow, Left: time.Until(c.expiry())}
}

// missed records a hold without an answer.
func (r *renewal) missed() {
	r.misses++
	r.unanswered++
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

// recordGrant records an answered deadline, and tells when little was left then of the one before.
func (c *Connection) recordGrant(deadline int64, answer basilwork.Report) {
	c.mutex.Lock()
	id := c.backend.ID
	left := time.Duration(c.renewal.granted-answer.Clock) * time.Millisecond
	narrow := c.renewal.granted > 0 && left < narrowLease && answer.StartedAt <= c.backend.StartedAt
	c.renewal.granted = max(c.renewal.granted, deadline)
	if narrow {
		c.renewal.narrow++
	}
	c.mutex.Unlock()
	if narrow && c.options.LeaseNarrow != nil {
		c.options.LeaseNarrow(id, left)
	}
}

// mayRenew reports whether a hold may carry a deadline. One that is carried out late is safe, since the deadline is a time on the
// backend server's clock and the owner gives the server up only after it. The caller must hold the mutex.
func (c *Connection) mayRenew(now time.Time) bool {
	return c.firstMissAt.IsZero() || now.Sub(c.lease.LastAnswer()) < renewalLimit
}

// renewing reports whether runs depend on the holds. The caller must hold the mutex.
func (c *Connection) renewing() bool { return c.busy && c.attached }

// orderTimeout returns the timeout of an order. It doesn't grow while answers are lost rather than slow.
func (c *Connection) orderTimeout(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.renewal.partial(now) {
		return c.timeout.GetInitial()
	}
	return c.timeout.Get()
}

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
