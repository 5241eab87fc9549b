package basilrunner

import "time"

const (
	slowClock = 0.98                   // the least rate of a backend server's clock
	slack     = 250 * time.Millisecond // for ends that are carried out a little late
)

// Lease is what is known of the leases on one incarnation of a backend server.
//
// Times are of the runtime's steady clock; the zero value knows nothing.
type Lease struct {
	clock    int64 // of the backend server, milliseconds, in its newest answer
	answered time.Time
	deadline int64 // the latest that was sent, on its clock
}

// Answered notes an answer that carried the backend server's clock.
func (l *Lease) Answered(clock int64, now time.Time) {
	if clock < l.clock || clock == 0 {
		return
	}
	l.clock = clock
	l.answered = now
}

// Known tells whether the backend server's clock is known.
func (l *Lease) Known() bool { return l.clock > 0 }

// LastAnswer returns when the newest answer came.
func (l *Lease) LastAnswer() time.Time { return l.answered }

// Deadline returns the time on the backend server's clock that is at least the duration away, and notes it as sent.
//
// The clock is taken to have gone on at its least rate, so the lease is never longer than the duration by much.
func (l *Lease) Deadline(now time.Time, d time.Duration) int64 {
	passed := time.Duration(float64(now.Sub(l.answered)) * slowClock)
	at := l.clock + (passed + d).Milliseconds()
	l.deadline = max(l.deadline, at)
	return at
}

// Ends returns when everything that runs there has certainly ended, if no newer deadline is sent.
func (l *Lease) Ends() time.Time {
	left := time.Duration(max(0, l.deadline-l.clock)) * time.Millisecond
	return l.answered.Add(time.Duration(float64(left)/slowClock) + slack)
}
