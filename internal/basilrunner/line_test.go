package basilrunner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// holds is a backend server that answers holds from a list and keeps what it was asked.
type holds struct {
	answers []basilwork.Report
	orders  []basilwork.HoldOrder
	sink    func(born int64)
}

func (h *holds) Hold(_ context.Context, _ basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	h.orders = append(h.orders, o)
	n := min(len(h.orders), len(h.answers)) - 1
	return h.answers[n], nil
}

func (h *holds) Start(context.Context, basilwork.Backend, basilwork.StartOrder) (int64, error) {
	return 0, nil
}

func (h *holds) Stop(context.Context, basilwork.Backend, basilwork.StopOrder) (int64, error) {
	return 0, nil
}

func (h *holds) Pace(context.Context, basilwork.Backend, basilwork.PaceOrder) (int64, error) {
	return 0, nil
}
func (h *holds) Report(_ string, r basilwork.Report, _ time.Time, _ bool) { h.sink(r.Born) }
func (h *holds) Attached(string)                                          {}
func (h *holds) Reachable(string, bool)                                   {}
func (h *holds) Lost(string, string)                                      {}
func (h *holds) Fenced(string)                                            {}

// TestRebornGetsNoOldAcknowledgement sends nothing to an incarnation that was stored of an earlier one's ends, as
// long as the owner has not taken in that there is a new one.
func TestRebornGetsNoOldAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holds{answers: []basilwork.Report{{Born: 1, Clock: 1}, {Born: 1, Clock: 50}, {Born: 2, Clock: 1}, {Born: 2, Clock: 50}}}
		l := NewLine(basilwork.Backend{ID: "b1", Born: 1}, Options{
			Commander: h, Sink: h, Fence: 1, MaxHold: 6 * time.Second,
			MayStart: func() bool { return true }, MayHold: func() bool { return true },
		})
		known := int64(1)
		h.sink = func(born int64) {
			l.SetBusy(true, known, 5) // what is stored of the first one's ends
			if len(h.orders) == 6 {
				known = born // only now the owner has taken it in
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		l.Run(ctx)
		must.Eq(t, 5, h.orders[1].Acknowledged, must.Sprint("the first incarnation gets it"))
		for n, o := range h.orders[2:6] {
			must.Eq(t, 0, o.Acknowledged, must.Sprintf("hold %d", n+2))
		}
	})
}

// silence is a backend server that answers one hold and no more, and takes every start.
type silence struct {
	holds
	started int
	lost    func()
}

func (s *silence) Hold(ctx context.Context, b basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	if len(s.orders) > 1 {
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: context.DeadlineExceeded}
	}
	return s.holds.Hold(ctx, b, o)
}

func (s *silence) Start(context.Context, basilwork.Backend, basilwork.StartOrder) (int64, error) {
	s.started++
	return 1, nil
}

func (s *silence) Lost(string, string) { s.lost() }

// TestStartThatWaitedIsNotSentOnceItsBackendServerIsLost sends nothing to an incarnation of which the owner was told
// that nothing runs there: its tasks are started elsewhere.
func TestStartThatWaitedIsNotSentOnceItsBackendServerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &silence{holds: holds{answers: []basilwork.Report{{Born: 1, Clock: 1}}, sink: func(int64) {}}}
		l := NewLine(basilwork.Backend{ID: "b1", Born: 1}, Options{
			Commander: s, Sink: s, Fence: 1, MaxHold: 6 * time.Second,
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
