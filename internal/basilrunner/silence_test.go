package basilrunner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// fallingSilent is a backend server that answers for some seconds and then falls silent; it records the latest deadline that was sent.
type fallingSilent struct {
	fakeBackend
	began, until time.Time
	deadline     atomic.Int64
	started      atomic.Int64
	reachable    func(reachable bool)
}

func (s *fallingSilent) Hold(ctx context.Context, _ basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	s.sent(o.Deadline)
	if time.Now().After(s.until) {
		<-ctx.Done()
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: ctx.Err()}
	}
	time.Sleep(10 * time.Millisecond)
	return basilwork.Report{StartedAt: 1, Clock: 1 + time.Since(s.began).Milliseconds()}, nil
}

func (s *fallingSilent) Start(_ context.Context, _ basilwork.Backend, o basilwork.StartOrder) (int64, error) {
	s.started.Add(1)
	s.sent(o.Deadline)
	return 0, basilwork.ErrNoAnswer{Cause: context.DeadlineExceeded}
}

func (s *fallingSilent) sent(deadline int64) { s.deadline.Store(max(s.deadline.Load(), deadline)) }

func (s *fallingSilent) Report(string, basilwork.Report, time.Time, bool) {}
func (s *fallingSilent) Reachable(_ string, reachable bool)               { s.reachable(reachable) }

// TestSilentBackendIsSuspended checks that nothing is extended or started on a silent backend server that is suspended, and that the time
// is told at which the leases have expired that were granted before, whether or not it has runs.
func TestSilentBackendIsSuspended(t *testing.T) {
	for _, busy := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			const longest = 6 * time.Second
			now := time.Now()
			s := &fallingSilent{began: now, until: now.Add(10 * time.Second)}
			l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
				Commander: s, Sink: s, Fence: 1, MaxLease: longest,
				MayStart: func() bool { return true }, MayHold: func() bool { return true },
			})
			l.SetBusy(busy, 1, 0)
			_, silent := l.SuspendSilent()
			must.False(t, silent)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			time.AfterFunc(10100*time.Millisecond, func() { l.Start(ctx, basilwork.StartOrder{Task: "a.0.0.0", Attempt: 1}) })
			var sent int64
			s.reachable = func(reachable bool) {
				must.False(t, reachable)
				until, silent := l.SuspendSilent()
				must.True(t, silent)
				sent = s.deadline.Load()
				expires := s.began.Add(time.Duration(float64(sent)/minClockRate) * time.Millisecond)
				must.False(t, until.Before(expires.Add(-10*time.Second/50)), must.Sprint(until.Sub(expires)))
				must.False(t, until.After(time.Now().Add(longest+expiryMargin)), must.Sprint(time.Until(until)))
				refusal, answered := l.Start(ctx, basilwork.StartOrder{Task: "a.0.0.0", Attempt: 2})
				must.True(t, answered)
				must.Eq(t, basilwork.RefusalBusy, refusal)
			}
			l.Run(ctx)
			must.Positive(t, sent)
			must.Eq(t, sent, s.deadline.Load())
			must.Eq(t, 1, s.started.Load())
		})
	}
}
