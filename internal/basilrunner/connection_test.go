package basilrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// fakeBackend is a backend server that answers holds from a list and records the orders; it is also the connection's sink.
type fakeBackend struct {
	answers []basilwork.Report
	orders  []basilwork.HoldOrder
	sink    func(startedAt int64)
}

func (h *fakeBackend) Hold(_ context.Context, _ basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	h.orders = append(h.orders, o)
	n := min(len(h.orders), len(h.answers)) - 1
	return h.answers[n], nil
}

func (h *fakeBackend) Start(context.Context, basilwork.Backend, basilwork.StartOrder) (int64, error) {
	return 0, nil
}

func (h *fakeBackend) Stop(context.Context, basilwork.Backend, basilwork.StopOrder) (int64, error) {
	return 0, nil
}

func (h *fakeBackend) Pace(context.Context, basilwork.Backend, basilwork.PaceOrder) (int64, error) {
	return 0, nil
}

func (h *fakeBackend) Report(_ string, r basilwork.Report, _ time.Time, _ bool) { h.sink(r.StartedAt) }
func (h *fakeBackend) Attached(string)                                          {}
func (h *fakeBackend) Reachable(string, bool)                                   {}
func (h *fakeBackend) Lost(string, basilwork.Loss)                              {}
func (h *fakeBackend) Fenced(string)                                            {}

// TestRestartedBackendGetsNoOldAcknowledgement checks that a restarted backend server gets no acknowledgement of runs of its
// previous incarnation, also while the owner hasn't noticed the restart yet.
func TestRestartedBackendGetsNoOldAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &fakeBackend{answers: []basilwork.Report{{StartedAt: 1, Clock: 1}, {StartedAt: 1, Clock: 50}, {StartedAt: 2, Clock: 1}, {StartedAt: 2, Clock: 50}}}
		l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
			Commander: h, Sink: h, Fence: 1, MaxLease: 6 * time.Second,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		known := int64(1)
		h.sink = func(startedAt int64) {
			l.SetBusy(true, known, 5) // acknowledges runs of the first incarnation
			if len(h.orders) == 6 {
				known = startedAt // the owner notices the restart only now
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		l.Run(ctx)
		must.Eq(t, 5, h.orders[1].Acknowledged, must.Sprint("the first incarnation gets the acknowledgement"))
		for n, o := range h.orders[2:6] {
			must.Eq(t, 0, o.Acknowledged, must.Sprintf("hold %d", n+2))
		}
	})
}

// silentBackend is a backend server that answers the first holds only, and accepts every start.
type silentBackend struct {
	fakeBackend
	started int
	lost    func()
}

func (s *silentBackend) Hold(ctx context.Context, b basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	if len(s.orders) > 1 {
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: context.DeadlineExceeded}
	}
	return s.fakeBackend.Hold(ctx, b, o)
}

func (s *silentBackend) Start(context.Context, basilwork.Backend, basilwork.StartOrder) (int64, error) {
	s.started++
	return 1, nil
}

func (s *silentBackend) Lost(string, basilwork.Loss) { s.lost() }

// TestWaitingStartIsNotSentToLostBackend checks that no start is sent to an incarnation after the owner was
// told that it is lost, because its tasks may then be started elsewhere.
func TestWaitingStartIsNotSentToLostBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentBackend{fakeBackend: fakeBackend{answers: []basilwork.Report{{StartedAt: 1, Clock: 1}}, sink: func(int64) {}}}
		l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
			Commander: s, Sink: s, Fence: 1, MaxLease: 6 * time.Second,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		l.SetBusy(true, 1, 0)
		var refusal basilwork.Refusal
		s.lost = func() { refusal, _ = l.Start(t.Context(), basilwork.StartOrder{Task: "a.0.0.0", Attempt: 1}) }
		l.Run(t.Context())
		must.Eq(t, 0, s.started)
		must.Eq(t, basilwork.RefusalUnsent, refusal)
	})
}

// TestIdleBackendIsStillAsked checks that a backend server without known runs is asked for reports, as a start without an answer
// may be carried out seconds later, and that this extends no lease.
func TestIdleBackendIsStillAsked(t *testing.T) {
	const longestGap = 3 * time.Second // the shortest time for which deployments let a run go on that began late
	synctest.Test(t, func(t *testing.T) {
		h := &fakeBackend{answers: []basilwork.Report{{StartedAt: 1, Clock: 1}}, sink: func(int64) {}}
		l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
			Commander: h, Sink: h, Fence: 1, MaxLease: 6 * time.Second,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*longestGap)
		defer cancel()
		l.Run(ctx)
		must.GreaterEq(t, 10, len(h.orders))
		must.LessEq(t, 20, len(h.orders))
		for _, o := range h.orders {
			must.Eq(t, 0, o.Deadline)
		}
	})
}

// TestIdleBackendIsNotLostTooEarly checks that a silent backend server without known runs counts as lost only when the longest
// leases have expired, as it may have runs that this owner doesn't know.
func TestIdleBackendIsNotLostTooEarly(t *testing.T) {
	const longest = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := &silentBackend{fakeBackend: fakeBackend{answers: []basilwork.Report{{StartedAt: 1, Clock: 1}}, sink: func(int64) {}}}
		l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
			Commander: s, Sink: s, Fence: 1, MaxLease: longest,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		began := time.Now()
		var silent time.Duration
		s.lost = func() { silent = time.Since(began) - idleHoldInterval }
		l.Run(t.Context())
		must.Greater(t, longest, silent)
		must.Less(t, 2*longest, silent)
	})
}

// TestRunsOfFormerOwnerAreNotLostBeforeTheirLeases checks that a backend server that falls silent before this owner has extended a lease counts as
// lost only when the leases of former owners have run out.
func TestRunsOfFormerOwnerAreNotLostBeforeTheirLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentBackend{fakeBackend: fakeBackend{answers: []basilwork.Report{{StartedAt: 1, Clock: 1}}, sink: func(int64) {}}}
		inherited := time.Now().Add(5 * time.Second)
		l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
			Commander: s, Sink: s, Fence: 1, MaxLease: 6 * time.Second, Inherited: inherited,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		l.SetBusy(true, 1, 0)
		l.SetSuspended(true)
		var lost time.Time
		s.lost = func() { lost = time.Now() }
		l.Run(t.Context())
		must.False(t, lost.Before(inherited))
		must.Less(t, 2*time.Second, lost.Sub(inherited))
		for _, o := range s.orders {
			must.Zero(t, o.Deadline)
		}
	})
}

// TestRequestedLeasesAreNoLongerThanTheTerm checks that leases are limited by the term, which doesn't lengthen those that backend servers grant.
func TestRequestedLeasesAreNoLongerThanTheTerm(t *testing.T) {
	must.Eq(t, 5*time.Second, (&Options{MaxLease: 10 * time.Second, Term: 5 * time.Second}).term())
	must.Eq(t, 5700*time.Millisecond, (&Options{MaxLease: 6 * time.Second, Term: 8 * time.Second}).term())
	must.Eq(t, 5700*time.Millisecond, (&Options{MaxLease: 6 * time.Second}).term())
}

// TestSilenceTellsWhenBackendIsLost checks that a silent backend server is lost when the connection has told so, and that one that answers isn't
// called silent.
func TestSilenceTellsWhenBackendIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silentBackend{fakeBackend: fakeBackend{answers: []basilwork.Report{{StartedAt: 1, Clock: 1}}}}
		c := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
			Commander: s, Sink: s, Fence: 1, MaxLease: 6 * time.Second,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		c.SetBusy(true, 1, 0)
		s.sink = func(int64) {
			since, _ := c.Silence()
			must.True(t, since.IsZero())
		}
		var lostAt time.Time
		s.lost = func() { lostAt = time.Now() }
		answered := time.Now()
		go c.Run(t.Context())
		time.Sleep(3 * time.Second)
		since, told := c.Silence()
		must.Less(t, time.Second, since.Sub(answered))
		time.Sleep(10 * time.Second)
		synctest.Wait()
		must.Between(t, 0, lostAt.Sub(told), time.Second)
	})
}
