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

// slow is a backend server that takes a time to answer a start, and counts those it has at once.
type slow struct {
	holds
	takes          time.Duration
	mutex          sync.Mutex
	at, most, seen int64
}

func (s *slow) count(change int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at += change
	s.most = max(s.most, s.at)
	s.seen += max(0, change)
}

func (s *slow) Start(ctx context.Context, _ basilwork.Backend, _ basilwork.StartOrder) (int64, error) {
	s.count(1)
	defer s.count(-1)
	select {
	case <-time.After(s.takes):
		return 1, nil
	case <-ctx.Done():
		return 0, basilwork.ErrNoAnswer{Cause: ctx.Err()}
	}
}

// TestManyStartsTakeFewConnections has starts of one moment share connections, and tells those that were not sent to
// a silent backend server from those that may be carried out.
func TestManyStartsTakeFewConnections(t *testing.T) {
	const starts, few = 20, 4
	for _, takes := range []time.Duration{time.Millisecond, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			s := &slow{takes: takes}
			s.sink = func(int64) {}
			l := NewLine(basilwork.Backend{ID: "b1", Born: 1}, Options{
				Commander: s, Sink: s, Fence: 1, MaxHold: 6 * time.Second,
				MayStart: func() bool { return true }, MayHold: func() bool { return true },
			})
			l.answered(basilwork.Report{Born: 1, Clock: 1}, time.Now(), time.Now())
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
			must.Eq(t, s.seen, started.Load()+unknown.Load())
			if takes == time.Millisecond {
				must.Eq(t, starts, started.Load())
			}
		})
	}
}
