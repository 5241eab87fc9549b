package basilrunner

import "time"

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
	deadline   int64 // latest expiry that was sent, on the backend server's clock
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
	return at
}

// Expiry returns the time at which all runs there have certainly ended, unless a later deadline is sent.
func (l *Lease) Expiry() time.Time {
	left := time.Duration(max(0, l.deadline-l.clock)) * time.Millisecond
	return l.answeredAt.Add(time.Duration(float64(left)/minClockRate) + expiryMargin)
}

// LastExpiry returns the time at which leases of the longest duration have expired that were granted before the newest answer.
func (l *Lease) LastExpiry(longest time.Duration) time.Time {
	return l.answeredAt.Add(time.Duration(float64(longest)/minClockRate) + expiryMargin)
}
