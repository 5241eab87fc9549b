package basilrunner

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	minClockRate = 0.98                   // lowest assumed rate of a backend server's clock
	expiryMargin = 250 * time.Millisecond // for runs that are ended a little after their lease expires
)

// Lease tracks the leases on one incarnation of a backend server.
//
// Times are readings of the runtime's monotonic clock; the zero value has no answer yet.
type Lease struct {
	clock      int64 // reading of the backend server's clock in its newest answer, milliseconds
	answeredAt time.Time
	deadline   int64     // latest expiry that was sent, on the backend server's clock
	orderedAt  time.Time // when an expiry was last sent
	lateUntil  time.Time // until when orders with an expiry on the clock of an earlier incarnation may be carried out
}

// Next returns the leases on the next incarnation under the same ID, before it has answered.
//
// Orders that were meant for this incarnation may be carried out there late. As the clock starts anew, an expiry of theirs may be far ahead
// on it, and extends leases by the longest duration.
func (l *Lease) Next() Lease {
	next := Lease{lateUntil: l.lateUntil}
	if !l.orderedAt.IsZero() {
		next.lateUntil = later(next.lateUntil, l.orderedAt.Add(basilwork.MaxOrderDelay))
	}
	return next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// RecordAnswer records an answer that carried a reading of the backend server's clock.
func (l *Lease) RecordAnswer(clock int64, now time.Time) {
	if clock < l.clock || clock == 0 {
		return
	}
	l.clock = clock
	l.answeredAt = now
}

// Known reports whether the backend server's clock is known.
func (l *Lease) Known() bool { return l.clock > 0 }

// LastAnswer returns the time at which the newest answer arrived.
func (l *Lease) LastAnswer() time.Time { return l.answeredAt }

// Deadline returns the time on the backend server's clock that lies d in the future, and records it as sent.
//
// The clock is assumed to have advanced at its lowest rate, so that the lease is never much longer than d.
func (l *Lease) Deadline(now time.Time, d time.Duration) int64 {
	passed := time.Duration(float64(now.Sub(l.answeredAt)) * minClockRate)
	at := l.clock + (passed + d).Milliseconds()
	l.deadline = max(l.deadline, at)
	l.orderedAt = now
	return at
}

// Expiry returns the time at which all runs there have certainly ended, unless a later deadline is sent. The backend server grants leases of
// the longest duration at most.
func (l *Lease) Expiry(longest time.Duration) time.Time {
	left := time.Duration(max(0, l.deadline-l.clock)) * time.Millisecond
	return later(endOf(l.answeredAt, left), l.lateExpiry(longest))
}

// LastExpiry returns the time at which leases of the longest duration have expired that were granted before the newest answer, or by a late
// order for an earlier incarnation.
func (l *Lease) LastExpiry(longest time.Duration) time.Time {
	return later(endOf(l.answeredAt, longest), l.lateExpiry(longest))
}

// lateExpiry returns the time at which leases have expired that late orders for an earlier incarnation extend, or the zero time if there are none.
func (l *Lease) lateExpiry(longest time.Duration) time.Time {
	if l.lateUntil.IsZero() {
		return time.Time{}
	}
	return endOf(l.lateUntil, longest)
}

// endOf returns the time at which runs have certainly ended whose lease, on the backend server's clock, had the given time left.
func endOf(at time.Time, left time.Duration) time.Time {
	return at.Add(time.Duration(float64(left)/minClockRate) + expiryMargin)
}
