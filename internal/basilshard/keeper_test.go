package basilshard

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// TestOwnerOfSameIncarnation checks that a shard of another node isn't taken for an own one if both nodes have drawn the
// same incarnation.
func TestOwnerOfSameIncarnation(t *testing.T) {
	var owned []string
	k := New(Options{
		Self: Member{Node: "entry-1", Incarnation: "x"}, Clock: BootClock(), Log: basillog.Discard(),
		OnAcquired: func(shard string, _ OwnerRow) { owned = append(owned, shard) },
		OnLost:     func(string) {},
	})
	row := func(node string, version int64) basilplatform.Item {
		body, err := json.Marshal(OwnerRow{Node: node, Incarnation: "x", Epoch: 1})
		must.NoError(t, err)
		return basilplatform.Item{Version: version, Body: body}
	}
	k.applyOwnerItem("stretch", row("entry-2", 5))
	must.Eq(t, nil, owned)
	k.applyOwnerItem("stretch", row("entry-1", 6))
	must.Eq(t, []string{"stretch"}, owned)
}

// TestOnLostAfterOnAcquired checks that OnLost is called only after OnAcquired has returned, also if different goroutines read the rows.
func TestOnLostAfterOnAcquired(t *testing.T) {
	owned, release, lost := make(chan struct{}), make(chan struct{}), make(chan struct{})
	k := New(Options{
		Self: Member{Node: "entry-1", Incarnation: "x"}, Clock: BootClock(), Log: basillog.Discard(),
		OnAcquired: func(string, OwnerRow) { close(owned); <-release },
		OnLost:     func(string) { close(lost) },
	})
	go k.applyOwner("stretch", OwnerRow{Node: "entry-1", Incarnation: "x", Epoch: 1, Version: 5})
	<-owned
	go k.applyOwner("stretch", OwnerRow{Node: "entry-2", Incarnation: "y", Epoch: 2, Version: 6})
	select {
	case <-lost:
		t.Error("Lost was called before Owned returned")
	case <-time.After(20 * time.Millisecond): // long enough for a wrong call of OnLost
	}
	close(release)
	<-lost
}

// TestSlowTimeDoubles checks that a host that is slow repeatedly stays marked as slow for longer each time, up to
// the maximum, and that the time starts over once the host hasn't been slow for a while.
func TestSlowTimeDoubles(t *testing.T) {
	now := time.Hour
	k := New(Options{Clock: func() time.Duration { return now }, Log: basillog.Discard()})
	slowPhase := func() (duration time.Duration) {
		k.markSlow()
		for start := now; k.Slow(); now += time.Second {
			duration = now + time.Second - start
		}
		return duration
	}
	var phases []time.Duration
	for range 6 {
		phases = append(phases, slowPhase())
		now += 5 * time.Second
	}
	must.Eq(t, []time.Duration{6 * time.Second, 12 * time.Second, 24 * time.Second, 48 * time.Second, time.Minute, time.Minute}, phases)
	now += 2 * maxSlowTime
	must.Eq(t, minSlowTime, slowPhase())
}

// regainingStore is a store that gives no answer to the release of a shard, while the keeper acquires the shard again.
type regainingStore struct {
	basilwork.Store
	keeper   *Keeper
	released int
}

func (s *regainingStore) Commit(context.Context, basilplatform.Transaction) (int64, error) {
	s.released++
	s.keeper.applyOwner("stretch", OwnerRow{Node: "entry-1", Incarnation: "x", Epoch: 2, Version: int64(6 + s.released)})
	return 0, basilplatform.ErrOutcomeUnknown{Operation: "write", Cause: context.DeadlineExceeded}
}

// TestRegainedShardIsNotReleased checks that a release is retried only for the epoch whose work was stopped. A shard
// that was acquired again in the meantime has running work and must be kept.
func TestRegainedShardIsNotReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &regainingStore{}
		s.keeper = New(Options{
			Self: Member{Node: "entry-1", Incarnation: "x"}, Clock: BootClock(), Log: basillog.Discard(), Store: s,
			OnAcquired: func(string, OwnerRow) {}, OnLost: func(string) {},
		})
		s.keeper.applyOwner("stretch", OwnerRow{Node: "entry-1", Incarnation: "x", Epoch: 1, Version: 5})
		ctx, cancel := context.WithTimeout(t.Context(), 10*retryDelay)
		defer cancel()
		s.keeper.HandOver(ctx, "stretch", 7, false) // another epoch than the owned one
		s.keeper.ReleaseShard(ctx, "stretch", 7)
		must.Eq(t, 0, s.released)
		s.keeper.HandOver(ctx, "stretch", 1, false)
		must.Eq(t, 1, s.released)
	})
}

// claimedStore is a store in which another member claims shard b while this entry host's claim of shard a is under way.
type claimedStore struct {
	basilwork.Store
	keeper *Keeper
	row    OwnerRow // stored owner of shard b
}

func (s *claimedStore) Commit(_ context.Context, t basilplatform.Transaction) (int64, error) {
	claim := t.Writes[len(t.Writes)-1]
	switch {
	case claim.Key == OwnerKey("a"):
		s.row = OwnerRow{Node: "entry-2", Incarnation: "y", Epoch: 2, Version: 7}
		s.keeper.applyOwner("b", s.row) // as the watch does
	case claim.Version != s.row.Version:
		return 0, basilplatform.ErrConditionFailed{Key: claim.Key, Version: s.row.Version}
	default:
		s.row = OwnerRow{Node: "entry-1", Incarnation: "x", Epoch: 3, Version: 8}
	}
	return s.row.Version, nil
}

func (s *claimedStore) Get(_ context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if k == OwnerKey("a") {
		return basilplatform.Item{}, basilplatform.ErrItemNotExist{Key: k}
	}
	body, err := json.Marshal(s.row)
	return basilplatform.Item{Key: k, Version: s.row.Version, Body: body}, err
}

// TestClaimDoesNotReplaceNewOwner checks that a shard that another member has claimed since it was found to be without an
// owner is left to that member.
func TestClaimDoesNotReplaceNewOwner(t *testing.T) {
	s := &claimedStore{row: OwnerRow{Node: "entry-2", Epoch: 1, Version: 5}}
	self := Member{Node: "entry-1", Incarnation: "x"}
	s.keeper = New(Options{
		Self: self, Clock: func() time.Duration { return 0 }, Log: basillog.Discard(), Store: s, Lease: testLease,
		OnAcquired: func(string, OwnerRow) {}, OnLost: func(string) {},
	})
	s.keeper.SetShards([]string{"a", "b"})
	s.keeper.applyOwner("b", s.row)
	s.keeper.state.Observe([]Observed{{Member: self, Version: 1}, {Member: Member{Node: "entry-2", Incarnation: "y"}, Version: 2}}, 0, 0)
	s.keeper.startUntil.Store(int64(testLease))
	s.keeper.claimShards(t.Context())
	must.Eq(t, "entry-2", s.row.Node)
}
