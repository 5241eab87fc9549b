package basilrunner

import (
	"context"
	"slices"
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

// forgetfulBackend is a backend server that never answers every nth call. A hold that waits is answered when a run ends.
type forgetfulBackend struct {
	fakeBackend
	nth     int
	latency time.Duration
	mutex   sync.Mutex // guards calls and reports
	calls   int
	reports []time.Time
	ends    <-chan time.Time
}

// answer reports whether the call is answered, after the latency.
func (f *forgetfulBackend) answer(ctx context.Context) error {
	f.mutex.Lock()
	f.calls++
	lost := f.nth > 0 && f.calls%f.nth == 0
	f.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return basilwork.ErrNoAnswer{Cause: ctx.Err()}
	}
	select {
	case <-time.After(f.latency):
		return nil
	case <-ctx.Done():
		return basilwork.ErrNoAnswer{Cause: ctx.Err()}
	}
}

func (f *forgetfulBackend) Hold(ctx context.Context, _ basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	if err := f.answer(ctx); err != nil {
		return basilwork.Report{}, err
	}
	select {
	case <-f.ends:
	case <-time.After(o.Wait):
	case <-ctx.Done():
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: ctx.Err()}
	}
	return basilwork.Report{StartedAt: 1, Clock: time.Now().UnixMilli()}, nil
}

func (f *forgetfulBackend) Start(ctx context.Context, _ basilwork.Backend, _ basilwork.StartOrder) (int64, error) {
	return time.Now().UnixMilli(), f.answer(ctx)
}

func (f *forgetfulBackend) Report(string, basilwork.Report, time.Time, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reports = append(f.reports, time.Now())
}

// reported returns the times of the reports so far.
func (f *forgetfulBackend) reported() []time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.reports)
}

func (f *forgetfulBackend) Reachable(string, bool) {
	panic("a backend server that answers most calls counts as unreachable")
}

// connect returns a connection to the backend server that has its first report.
func (f *forgetfulBackend) connect(ctx context.Context) *Connection {
	c := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
		Commander: f, Sink: f, Fence: 1, MaxLease: 6 * time.Second,
		MayStart: func() bool { return true }, MayHold: func() bool { return true },
	})
	c.SetBusy(true, 1, 0)
	go c.Run(ctx)
	time.Sleep(time.Second)
	return c
}

// TestUnansweredCallsCostLittleTime replays a load of orders of which one in four is never answered. The owner must learn of
// that, and of the ends of runs that a lost hold hides, within the run time of a short task.
func TestUnansweredCallsCostLittleTime(t *testing.T) {
	const shortTask = 640 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := &forgetfulBackend{nth: 4, latency: 3 * time.Millisecond}
		ctx, cancel := context.WithCancel(t.Context())
		c := f.connect(ctx)
		for range 12 {
			sent := time.Now()
			refusal, _ := c.Start(ctx, basilwork.StartOrder{Task: "a.0.0.0", Attempt: 1})
			must.Eq(t, basilwork.RefusalNone, refusal)
			must.Less(t, shortTask, time.Since(sent))
			time.Sleep(time.Second)
		}
		cancel()
		reports := f.reported()
		for n := range reports[1:] {
			must.Less(t, maxHoldWait+shortTask, reports[n+1].Sub(reports[n]))
		}
	})
}

// TestRefreshInterruptsWaitingHold checks that a report comes at once although a hold waits for the end of a run.
func TestRefreshInterruptsWaitingHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &forgetfulBackend{latency: 3 * time.Millisecond, ends: make(chan time.Time)}
		ctx, cancel := context.WithCancel(t.Context())
		c := f.connect(ctx)
		for range 10 {
			time.Sleep(170 * time.Millisecond)
			asked := time.Now()
			c.Refresh()
			time.Sleep(100 * time.Millisecond)
			reports := f.reported()
			must.True(t, reports[len(reports)-1].After(asked))
		}
		cancel()
	})
}
