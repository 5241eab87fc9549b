package basilshard_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basillog"

	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

const (
	lease = 2200 * time.Millisecond
	// longest lease, on a slow store
	maxLease = 5 * time.Second
	renew    = 550 * time.Millisecond
	members  = 3 // number of entry hosts
)

var shards = []string{"a", "b", "fleet"}

// keeperHost is an entry host's keeper with the shards it owns.
type keeperHost struct {
	*basilshard.Keeper
	link   *basilstandin.Link
	before atomic.Pointer[func(r *http.Request)] // unless nil, called before each request
	cancel context.CancelFunc
	done   chan struct{}
	mutex  sync.Mutex       // guards owned
	owned  map[string]int64 // epochs by shard
}

// RoundTrip sends a request over the entry host's link.
func (h *keeperHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if before := h.before.Load(); before != nil {
		(*before)(r)
	}
	return h.link.RoundTrip(r)
}

// owns returns the epoch in which the entry host may start work of a shard, 0 for none.
func (h *keeperHost) owns(shard string) int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.MayStart() {
		return 0
	}
	return h.owned[shard]
}

// cluster is a number of entry hosts that share a store.
type cluster struct {
	network    *basilstandin.Network
	store      basilfake.Store
	hosts      [members]*keeperHost
	starts     int
	began      time.Time
	epochs     map[string]int64
	violations []string
}

func newCluster() *cluster {
	r := &cluster{network: &basilstandin.Network{}, began: time.Now(), epochs: make(map[string]int64)}
	r.network.Listen(basilfake.StoreAddress, http.HandlerFunc(r.store.ServeHTTP))
	for n := range r.hosts {
		r.start(n)
	}
	return r
}

func (r *cluster) start(n int) { r.startWith(n, nil) }

// startWith starts an entry host; before, unless nil, is called before each of its requests.
func (r *cluster) startWith(n int, before *func(q *http.Request)) {
	r.starts++
	h := &keeperHost{link: &basilstandin.Link{Network: r.network}, done: make(chan struct{}), owned: make(map[string]int64)}
	h.before.Store(before)
	name := fmt.Sprintf("entry-%d", n)
	store := basilsite.NewStore(basilsite.NewClientOn(h), func() string { return basilfake.StoreAddress }, 4*time.Second)
	began := r.began
	recovery := basilshard.NewRecovery()
	h.Keeper = basilshard.New(basilshard.Options{
		Self:  basilshard.Member{Node: name, Incarnation: fmt.Sprintf("%s.%d", name, r.starts), Weight: 1},
		Store: recovery.Wrap(store), Recovery: recovery, Clock: func() time.Duration { return time.Since(began) + time.Second }, Log: basillog.Discard(),
		Lease: lease, MaxLease: maxLease, Margin: 300 * time.Millisecond, Renew: renew,
		OnAcquired: func(shard string, row basilshard.OwnerRow) { h.set(shard, row.Epoch) },
		OnLost:     func(shard string) { h.set(shard, 0) },
	})
	h.SetShards(shards)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	r.hosts[n] = h
	go recovery.Run(ctx, basillog.Discard(), basilshard.Probe(store, name), h.InterruptWatches)
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
}

func (h *keeperHost) set(shard string, epoch int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.owned[shard] = epoch
}

func (r *cluster) kill(n int) {
	r.hosts[n].cancel()
	<-r.hosts[n].done
}

// check records shards for which two entry hosts may start work, and epochs that decrease.
func (r *cluster) check() {
	for _, shard := range shards {
		owners := 0
		for _, h := range r.hosts {
			epoch := h.owns(shard)
			if epoch == 0 {
				continue
			}
			owners++
			if epoch < r.epochs[shard] {
				r.violations = append(r.violations, fmt.Sprintf("%s: epoch %d after %d", shard, epoch, r.epochs[shard]))
			}
			r.epochs[shard] = max(r.epochs[shard], epoch)
		}
		if owners > 1 {
			r.violations = append(r.violations, fmt.Sprintf("%s has %d owners at %v", shard, owners, time.Since(r.began)))
		}
	}
}

// owned reports whether each shard has an owner that may start work.
func (r *cluster) owned() bool {
	for _, shard := range shards {
		found := false
		for _, h := range r.hosts {
			found = found || h.owns(shard) != 0
		}
		if !found {
			return false
		}
	}
	return true
}

// injectFailure causes a failure of an entry host or of the store.
func (r *cluster) injectFailure(kind, n int, d time.Duration) {
	h := r.hosts[n]
	switch kind {
	case 0:
		r.kill(n)
		r.start(n)
	case 1:
		h.link.SetCut(true)
		time.AfterFunc(d, func() { h.link.SetCut(false) })
	case 2:
		h.link.Hold(d)
	case 3:
		h.link.Refuse(basilfake.StoreAddress)
		time.AfterFunc(d, func() { h.link.Refuse("") })
	case 4:
		h.Release(context.Background())
		r.kill(n)
		r.start(n)
	default:
		faults := []basilfake.StoreFaults{{Silent: true}, {Busy: true}, {LoseAnswers: true}, {LateBy: 1500 * time.Millisecond}, {Delay: 250 * time.Millisecond}}
		r.store.SetFaults(faults[kind%len(faults)])
		time.AfterFunc(d, func() { r.store.SetFaults(basilfake.StoreFaults{}) })
	}
}

// failure is one failure of a plan, with the time until the next one.
type failure struct {
	pause, duration time.Duration
	kind, host      int
}

// runPlan causes the failures of a plan and returns the violations that check found.
func runPlan(t *testing.T, plan []failure) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		r := newCluster()
		pass := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				r.check()
			}
		}
		pass(3 * time.Second)
		for _, b := range plan {
			r.injectFailure(b.kind, b.host, b.duration)
			pass(b.pause)
		}
		pass(7*time.Second + 3*lease) // the longest failure and a takeover after it
		if !r.owned() {
			r.violations = append(r.violations, "a shard has no owner")
		}
		for n := range r.hosts {
			r.kill(n)
		}
		violations = r.violations
	})
	return violations
}

// TestPropertyOneOwner causes random failures and checks that no two entry hosts may start work of the same shard, that
// epochs never decrease, and that each shard has an owner again soon after the last failure.
func TestPropertyOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plan []failure
		for range rapid.IntRange(1, 8).Draw(rt, "blows") {
			plan = append(plan, failure{
				pause:    time.Duration(rapid.IntRange(0, 3000).Draw(rt, "gap")) * time.Millisecond,
				duration: time.Duration(rapid.IntRange(100, 7000).Draw(rt, "lasts")) * time.Millisecond,
				kind:     rapid.IntRange(0, 9).Draw(rt, "kind"), host: rapid.IntRange(0, members-1).Draw(rt, "host"),
			})
		}
		if violations := runPlan(t, plan); len(violations) > 0 {
			rt.Fatalf("plan %v: %v", plan, violations)
		}
	})
}

// TestOneOwnerRegressions runs plans that have failed before.
func TestOneOwnerRegressions(t *testing.T) {
	const ms = time.Millisecond
	plans := map[string][]failure{
		"late renewal of an earlier incarnation made its successor look ended": {
			{263 * ms, 1764 * ms, 8, 1},
			{216 * ms, 101 * ms, 1, 2},
			{5 * ms, 1538 * ms, 4, 0},
			{0, 1769 * ms, 0, 1},
			{225 * ms, 115 * ms, 5, 2},
			{3 * ms, 100 * ms, 5, 1},
			{1189 * ms, 783 * ms, 0, 1},
			{0, 100 * ms, 0, 2},
		},
		"claim replaced an owner that had claimed the shard in the same instant": {
			{2 * ms, 1130 * ms, 3, 0},
			{6 * ms, 101 * ms, 2, 1},
			{1595 * ms, 103 * ms, 4, 1},
		},
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) { must.SliceEmpty(t, runPlan(t, plan)) })
	}
}

// TestOwnerRenewsBeforeClaim has an owner renew its lease after another member has seen it expire and before that
// member's claim is stored. The claim must fail.
func TestOwnerRenewsBeforeClaim(t *testing.T) {
	for n := range 8 {
		t.Run(fmt.Sprint(n), func(t *testing.T) { ownerRenewsBeforeClaim(t, time.Duration(n)*renew/8) })
	}
}

// ownerRenewsBeforeClaim disconnects the owner at the given offset into its renewals.
func ownerRenewsBeforeClaim(t *testing.T, offset time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3*time.Second + offset)
		owner := r.owner("a")
		var done atomic.Bool // not a sync.Once: goroutines blocked on it would stop synctest's clock
		reconnectOwner := func(q *http.Request) {
			if q.Method == http.MethodGet {
				return
			}
			body := must1(io.ReadAll(q.Body))
			q.Body = io.NopCloser(bytes.NewReader(body))
			if bytes.Contains(body, []byte(`"owners"`)) {
				if done.CompareAndSwap(false, true) {
					owner.link.Refuse("")
					time.Sleep(renew + renew/4) // shorter than the timeout of the call
				}
			}
		}
		for _, h := range r.hosts {
			if h != owner {
				h.before.Store(&reconnectOwner)
			}
		}
		blockWatches := func(q *http.Request) {
			if strings.HasSuffix(q.URL.Path, "/rows-feed") {
				<-q.Context().Done() // keeps the owner from learning of the claim
			}
		}
		owner.before.Store(&blockWatches)
		owner.link.Refuse(basilfake.StoreAddress)
		for range 300 {
			time.Sleep(20 * time.Millisecond)
			r.check()
		}
		must.SliceEmpty(t, r.violations)
		must.True(t, r.owned())
		for n := range r.hosts {
			r.kill(n)
		}
	})
}

// owner returns the entry host that owns the shard, or nil.
func (r *cluster) owner(shard string) *keeperHost {
	for _, h := range r.hosts {
		if h.owns(shard) != 0 {
			return h
		}
	}
	return nil
}

func must1[V any](v V, err error) V {
	if err != nil {
		panic(err)
	}
	return v
}

// TestRenewsOnSlowStore checks that leases are renewed on a store that takes 0.4 s for a call, also after unanswered
// renewals have left the member rows at versions that the members don't know.
func TestRenewsOnSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3 * time.Second)
		r.store.SetFaults(basilfake.StoreFaults{LateBy: 900 * time.Millisecond})
		time.Sleep(time.Second)
		r.store.SetFaults(basilfake.StoreFaults{Delay: 400 * time.Millisecond})
		time.Sleep(5 * time.Second)
		for _, h := range r.hosts {
			must.Less(t, lease, h.SinceRenewal())
		}
		must.True(t, r.owned())
		for n := range r.hosts {
			r.kill(n)
		}
		time.Sleep(time.Second) // calls that are under way end
	})
}
