package basilrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	longestLease = 6 * time.Second
	oldClock     = 1000 * 1000 // of an incarnation that has been up for long
)

// scriptedBackend is a backend server that answers holds from a list, and none after these.
type scriptedBackend struct {
	fakeBackend
	ordered time.Time // when an order for the first incarnation last carried a deadline
	lost    func()
}

func (s *scriptedBackend) Hold(ctx context.Context, b basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	if o.Deadline > oldClock {
		s.ordered = time.Now()
	}
	if len(s.orders) == len(s.answers) {
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: context.DeadlineExceeded}
	}
	return s.fakeBackend.Hold(ctx, b, o)
}

func (s *scriptedBackend) Lost(string, basilwork.Loss) { s.lost() }

// connect returns a connection to the backend server, which may have runs, and where to find when it was lost.
func (s *scriptedBackend) connect(e Earlier) (*Connection, *time.Time) {
	s.sink = func(int64) {}
	lost := new(time.Time)
	s.lost = func() { *lost = time.Now() }
	c := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
		Commander: s, Sink: s, Fence: 1, MaxLease: longestLease, Earlier: e,
		MayStart: func() bool { return true }, MayHold: func() bool { return true },
	})
	c.SetBusy(true, 1, 0)
	return c, lost
}

func answersOf(startedAt, clock int64, count int) []basilwork.Report {
	var answers []basilwork.Report
	for n := range count {
		answers = append(answers, basilwork.Report{StartedAt: startedAt, Clock: clock + int64(n)*defaultHoldPause.Milliseconds()})
	}
	return answers
}

// TestLateOrdersForFormerIncarnationExtendLeases checks that a backend server that came back under its ID, and fell silent, isn't given up while
// an order for the incarnation before, whose deadline is far ahead on the new clock, may still be carried out or extend leases.
func TestLateOrdersForFormerIncarnationExtendLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedBackend{fakeBackend: fakeBackend{answers: append(answersOf(1, oldClock, 2), answersOf(2, 1, 2)...)}}
		c, lost := s.connect(Earlier{})
		c.Run(t.Context())
		must.False(t, s.ordered.IsZero())
		waited := lost.Sub(s.ordered)
		must.Greater(t, basilwork.MaxOrderDelay+longestLease, waited)
		must.Less(t, basilwork.MaxOrderDelay+longestLease+2*time.Second, waited)
	})
}

// TestLateOrdersOfEarlierConnectionExtendLeases checks the same for a backend server whose incarnation before was given up.
func TestLateOrdersOfEarlierConnectionExtendLeases(t *testing.T) {
	for startedAt, extended := range map[int64]bool{1: false, 2: true} {
		synctest.Test(t, func(t *testing.T) {
			first := &scriptedBackend{fakeBackend: fakeBackend{answers: answersOf(1, oldClock, 3)}}
			c, lost := first.connect(Earlier{})
			c.Run(t.Context())
			must.Less(t, longestLease+2*time.Second, lost.Sub(first.ordered))
			unanswered, _ := first.connect(c.Earlier())
			again := &scriptedBackend{fakeBackend: fakeBackend{answers: answersOf(startedAt, 1, 1)}}
			if !extended {
				again.answers = answersOf(startedAt, oldClock+longestLease.Milliseconds(), 1)
			}
			c, lost = again.connect(unanswered.Earlier())
			began := time.Now()
			c.Run(t.Context())
			must.Eq(t, extended, lost.Sub(first.ordered) > basilwork.MaxOrderDelay+longestLease)
			must.Less(t, basilwork.MaxOrderDelay+longestLease+2*time.Second, lost.Sub(first.ordered))
			must.Positive(t, lost.Sub(began))
			var earlier EarlierConnections
			earlier.Add("b1", unanswered.Earlier(), time.Now())
			must.Eq(t, unanswered.Earlier(), earlier.Get("b1"))
			earlier.Add("b2", Earlier{}, first.ordered.Add(basilwork.MaxOrderDelay+time.Millisecond))
			must.Eq(t, Earlier{}, earlier.Get("b1"))
		})
	}
}

// TestRestartIsForgottenInTime checks that a backend server that came back under its ID counts like any other once no order for the incarnation
// before can be carried out any more.
func TestRestartIsForgottenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settled = basilwork.MaxOrderDelay + longestLease
		s := &scriptedBackend{fakeBackend: fakeBackend{answers: append(answersOf(1, oldClock, 2), answersOf(2, 1, int(settled/defaultHoldPause))...)}}
		c, lost := s.connect(Earlier{})
		c.Run(t.Context())
		must.Less(t, settled+longestLease+2*time.Second, lost.Sub(s.ordered))
	})
}
