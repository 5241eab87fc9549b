package basilrunner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestStartIsRepeatedWhileLeasesAreRenewed checks that a start is sent again only to the incarnation that it was meant for, and not once a backend
// server has been silent for so long that its leases aren't renewed any more: the deadline of the order would keep it from being given up.
func TestStartIsRepeatedWhileLeasesAreRenewed(t *testing.T) {
	for _, c := range []struct {
		name      string
		startedAt int64
		silent    time.Duration
		missed    bool
		sent      bool
	}{
		{"answers", 1, renewalLimit, false, true},
		{"misses", 1, renewalLimit - time.Millisecond, true, true},
		{"silent", 1, renewalLimit, true, false},
		{"other incarnation", 2, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowBackend{latency: time.Millisecond}
				s.sink = func(int64) {}
				l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
					Commander: s, Sink: s, Fence: 1, MaxLease: 6 * time.Second,
					MayStart: func() bool { return true }, MayHold: func() bool { return true },
				})
				l.handleReport(basilwork.Report{StartedAt: 1, Clock: 1}, time.Now(), time.Now())
				time.Sleep(c.silent)
				if c.missed {
					l.handleMiss(time.Now())
				}
				refusal, answered := l.RepeatStart(t.Context(), basilwork.StartOrder{Task: "a.0.0.0", Attempt: 1}, c.startedAt)
				must.True(t, answered)
				must.Eq(t, c.sent, refusal == basilwork.RefusalNone)
				must.Eq(t, c.sent, s.total == 1)
				must.Eq(t, !c.sent, refusal == basilwork.RefusalUnsent)
			})
		})
	}
}

// TestTimeoutsOfOrdersDontGrowWhileAnswersAreLost checks that starts without an answer are told soon once holds after a miss were answered as soon as
// others, and that the timeout grows otherwise, as answers may be slow.
func TestTimeoutsOfOrdersDontGrowWhileAnswersAreLost(t *testing.T) {
	const latency, misses = 4 * time.Millisecond, 5
	for lost, timeout := range map[bool]time.Duration{true: minTimeout, false: maxTimeout} {
		synctest.Test(t, func(t *testing.T) {
			s := &slowBackend{latency: time.Hour}
			s.sink = func(int64) {}
			l := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
				Commander: s, Sink: s, Fence: 1, MaxLease: 6 * time.Second,
				MayStart: func() bool { return true }, MayHold: func() bool { return true },
			})
			l.handleReport(basilwork.Report{StartedAt: 1, Clock: 1}, time.Now(), time.Now())
			for range 20 {
				l.timeout.Answered(latency)
			}
			if lost {
				l.renewal.missed()
				l.renewal.answered(true, time.Now())
			}
			for range misses {
				l.timeout.Missed()
			}
			sent := time.Now()
			_, answered := l.Start(t.Context(), basilwork.StartOrder{Task: "a.0.0.0", Attempt: 1})
			must.False(t, answered)
			must.Eq(t, timeout, time.Since(sent))
		})
	}
}
