package basilrunner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// slowBackend is a backend server that delays its answers to starts and counts concurrent ones.
type slowBackend struct {
	fakeBackend
	latency              time.Duration
	mutex                sync.Mutex
	current, most, total int64
}

func (s *slowBackend) count(change int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.current += change
	s.most = max(s.most, s.current)
	s.total += max(0, change)
}

func (s *slowBackend) Start(ctx context.Context, _ basilwork.Backend, _ basilwork.StartOrder) (int64, error) {
	s.count(1)
	defer s.count(-1)
	select {
	case <-time.After(s.latency):
		return 1, nil
	case <-ctx.Done():
		return 0, basilwork.ErrNoAnswer{Cause: ctx.Err()}
	}
}

// TestConcurrentStartsAreLimited checks that concurrent starts are limited to MaxConcurrentOrders, and that starts that were never
// sent to a silent backend server are told apart from those that may have been carried out.
func TestConcurrentStartsAreLimited(t *testing.T) {
	const starts, few = 20, 4
	for _, takes := range []time.Duration{time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			s := &slowBackend{latency: takes}
			s.sink = func(int64) {}
			l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
				Commander: s, Sink: s, Fence: 1, MaxLease: 6 * time.Second,
				MayStart: func() bool { return true }, MayHold: func() bool { return true },
			})
			l.handleReport(basilwork.Report{StartedAt: 1, Clock: 1}, time.Now(), time.Now())
			var started, refused, unknown atomic.Int64
			var group sync.WaitGroup
			for range starts {
				group.Go(func() {
					refusal, answered := l.Start(t.Context(), basilwork.StartOrder{Task: "a.0.0.0", Attempt: 1})
					switch {
					case !answered:
						unknown.Add(1)
					case refusal == basilwork.RefusalNone:
						started.Add(1)
					default:
						refused.Add(1)
					}
				})
			}
			group.Wait()
			must.Eq(t, few, s.most)
			must.Eq(t, starts, started.Load()+refused.Load()+unknown.Load())
			must.Eq(t, s.total, started.Load()+unknown.Load())
			if takes == time.Millisecond {
				must.Eq(t, starts, started.Load())
			}
		})
	}
}
