package basilrunner

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// lossyBackend is a backend server whose clock is as slow as may be, and which leaves a share of the holds unanswered for some time.
type lossyBackend struct {
	fakeBackend
	random            *rand.Rand
	share             float64
	late              bool // holds without an answer are carried out 2 to 12 s later
	began, from, till time.Time
	mutex             sync.Mutex // guards deadline and lapsed
	deadline          int64      // until which runs go on
	lapsed            bool
	sent              []time.Time
	extended          time.Time     // when the last hold with a deadline was sent
	idle              time.Duration // after the beginning of the trouble, when the owner's runs have ended; 0 for never
	latest            int64         // latest deadline that was sent
	lostAt            time.Time
	lostEarly         bool // the server was given up before that
	missed            int
	narrow            []time.Duration
	renewals          Renewals
}

func newLossyBackend(seed uint64, share float64, d time.Duration) *lossyBackend {
	const settled = 2 * time.Second
	l := &lossyBackend{random: rand.New(rand.NewPCG(seed, 0)), share: share, began: time.Now()}
	l.from = l.began.Add(settled + time.Duration(l.random.Int64N(int64(time.Second))))
	l.till = l.from.Add(d)
	l.deadline = l.clock() + 6000
	l.sink = func(int64) {}
	return l
}

func (l *lossyBackend) clock() int64 {
	return 1000 + int64(float64(time.Since(l.began).Milliseconds())*minClockRate)
}

// carryOut takes a deadline, unless the runs have ended before.
func (l *lossyBackend) carryOut(deadline int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lapsed = l.lapsed || l.clock() > l.deadline
	if !l.lapsed {
		l.deadline = max(l.deadline, deadline)
	}
}

func (l *lossyBackend) Hold(ctx context.Context, _ basilwork.Backend, o basilwork.HoldOrder) (basilwork.Report, error) {
	now := time.Now()
	l.sent = append(l.sent, now)
	l.latest = max(l.latest, o.Deadline)
	if o.Deadline > 0 {
		l.extended = now
	}
	troubled := !now.Before(l.from) && now.Before(l.till)
	if !troubled || l.random.Float64() >= l.share {
		l.carryOut(o.Deadline)
		time.Sleep(o.Wait + 4*time.Millisecond)
		return basilwork.Report{StartedAt: 1, Clock: l.clock()}, nil
	}
	switch {
	case l.share == 1:
	case l.late:
		time.AfterFunc(2*time.Second+time.Duration(l.random.Int64N(int64(10*time.Second))), func() { l.carryOut(o.Deadline) })
	default:
		l.carryOut(o.Deadline)
	}
	<-ctx.Done()
	return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: ctx.Err()}
}

func (l *lossyBackend) Lost(string, basilwork.Loss) {
	l.lostAt = time.Now()
	l.lostEarly = l.clock() <= l.latest
}

// play has an owner renew leases of the given length until two seconds after the trouble, or until the server is given up.
func (l *lossyBackend) play(t *testing.T, lease time.Duration) {
	ctx, cancel := context.WithDeadline(t.Context(), l.till.Add(2*time.Second))
	defer cancel()
	c := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
		Commander: l, Sink: l, Fence: 1, MaxLease: lease + leaseMargin,
		MayStart: func() bool { return true }, MayHold: func() bool { return true },
		HoldUnanswered: func() { l.missed++ }, LeaseNarrow: func(_ string, left time.Duration) { l.narrow = append(l.narrow, left) },
	})
	c.SetBusy(true, 1, 0)
	if l.idle > 0 {
		time.AfterFunc(l.from.Add(l.idle).Sub(l.began), func() { c.SetBusy(false, 1, 0) })
	}
	c.Run(ctx)
	l.renewals = c.Renewals()
}

// hasLapsed reports whether runs have ended by now.
func (l *lossyBackend) hasLapsed() bool {
	l.carryOut(0)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lapsed
}

// TestLeasesOutlastLostAnswers checks that leases on sound backend servers that leave seven of ten holds unanswered for 9 s lapse at
// most a tenth as often as they did when each miss put renewals off until the next answer.
func TestLeasesOutlastLostAnswers(t *testing.T) {
	const plays, lease = 1000, 5 * time.Second
	for _, x := range []struct {
		late   bool
		before float64 // share of the plays of leases of 5.7 s, by the experiment "renewals" for the version before
	}{{false, 0.2755}, {true, 0.6945}} {
		lapsed := 0
		for seed := range uint64(plays) {
			synctest.Test(t, func(t *testing.T) {
				l := newLossyBackend(seed, 0.7, 9*time.Second)
				l.late = x.late
				l.play(t, lease)
				must.False(t, l.lostEarly, must.Sprintf("seed %d, late %v", seed, x.late))
				if l.hasLapsed() {
					lapsed++
				}
			})
		}
		t.Logf("late %v: %d of %d lapsed", x.late, lapsed, plays)
		must.LessEq(t, x.before*plays/10, float64(lapsed), must.Sprintf("late %v", x.late))
	}
}

// TestSilentBackendIsGivenUpInTime checks that a backend server that is gone for good gets no extension once the limit after its last
// answer has passed, at most 4 holds a second, and is given up within 7 s, but not before the leases that it was sent have expired.
func TestSilentBackendIsGivenUpInTime(t *testing.T) {
	const lease, limit, longest, most = 5 * time.Second, 1500 * time.Millisecond, 7 * time.Second, 4
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			l := newLossyBackend(seed, 1, time.Minute)
			l.play(t, lease)
			var answered time.Time
			var silent []time.Time
			for _, at := range l.sent {
				if at.Before(l.from) {
					answered = at
				} else {
					silent = append(silent, at)
				}
			}
			answered = answered.Add(maxHoldWait + 4*time.Millisecond)
			must.False(t, l.lostAt.IsZero())
			must.False(t, l.lostEarly)
			must.LessEq(t, limit, l.extended.Sub(answered), must.Sprintf("seed %d: last extension", seed))
			must.LessEq(t, longest, l.lostAt.Sub(answered), must.Sprintf("seed %d: given up", seed))
			must.Greater(t, lease, l.lostAt.Sub(l.extended), must.Sprintf("seed %d: given up", seed))
			for n := range silent[:len(silent)-most] {
				must.GreaterEq(t, time.Second, silent[n+most].Sub(silent[n]), must.Sprintf("seed %d: holds", seed))
			}
		})
	}
}

// TestBackendWithoutRunsIsNotGivenUpBeforeItsLeases checks that a silent backend server is given up only after the leases that it was
// sent, also when its known runs have ended meanwhile: there may be others.
func TestBackendWithoutRunsIsNotGivenUpBeforeItsLeases(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			l := newLossyBackend(seed, 1, time.Minute)
			l.idle = 3 * time.Second
			l.play(t, 5700*time.Millisecond)
			must.False(t, l.lostAt.IsZero())
			must.False(t, l.lostEarly, must.Sprintf("seed %d", seed))
		})
	}
}

// TestNarrowRenewalsAreTold checks that holds without an answer and renewals of leases that had less than a second left are told.
func TestNarrowRenewalsAreTold(t *testing.T) {
	const lease = 5 * time.Second
	for _, silent := range []time.Duration{3 * time.Second, 4500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			l := newLossyBackend(1, 1, silent)
			l.play(t, lease)
			must.True(t, l.lostAt.IsZero())
			must.Eq(t, int64(l.missed), l.renewals.Unanswered)
			must.GreaterEq(t, 5, l.missed)
			must.Eq(t, int64(len(l.narrow)), l.renewals.Narrow)
			if silent < lease-narrowLease {
				must.Len(t, 0, l.narrow)
				return
			}
			must.Len(t, 1, l.narrow)
			must.Between(t, 0, l.narrow[0], narrowLease)
		})
	}
}

// refusingBackend is a backend server that refuses every hold but the first ones, the last of which may have no answer.
type refusingBackend struct {
	fakeBackend
	first, holds int
	miss         bool
}

func (r *refusingBackend) Hold(context.Context, basilwork.Backend, basilwork.HoldOrder) (basilwork.Report, error) {
	time.Sleep(4 * time.Millisecond)
	r.holds++
	switch {
	case r.holds > r.first:
		return basilwork.Report{}, basilwork.ErrRefused{Refusal: basilwork.RefusalBusy}
	case r.holds == r.first && r.miss:
		return basilwork.Report{}, basilwork.ErrNoAnswer{Cause: context.DeadlineExceeded}
	}
	return basilwork.Report{StartedAt: 1, Clock: int64(r.holds)}, nil
}

// TestRefusedHoldsAreNotRepeatedAtOnce checks that a backend server that refuses holds gets at most 4 a second.
func TestRefusedHoldsAreNotRepeatedAtOnce(t *testing.T) {
	const seconds, most = 10, 4
	for n := range 12 {
		busy := n%2 == 0
		synctest.Test(t, func(t *testing.T) {
			r := &refusingBackend{first: n / 4, miss: n/2%2 == 0}
			r.sink = func(int64) {}
			c := NewConnection(basilwork.Backend{ID: "b1", StartedAt: 1}, Options{
				Commander: r, Sink: r, Fence: 1, MaxLease: 6 * time.Second,
				MayStart: func() bool { return true }, MayHold: func() bool { return true },
			})
			c.SetBusy(busy, 1, 0)
			ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
			defer cancel()
			c.Run(ctx)
			must.Between(t, seconds/2, r.holds, most*seconds, must.Sprintf("busy %v, %d first, miss %v", busy, r.first, r.miss))
		})
	}
}
