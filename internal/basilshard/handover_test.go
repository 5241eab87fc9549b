package basilshard_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestHandOverIsRetriedUntilStoreAnswers checks that a hand-over is retried while the store refuses calls. Otherwise the
// shard would stay idle: its owner has stopped the work but renews its lease, so that no other member may claim the shard.
func TestHandOverIsRetriedUntilStoreAnswers(t *testing.T) {
	var before, after int64
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3 * time.Second)
		h := r.owner("a")
		before = h.owns("a")
		r.store.SetFaults(basilfake.StoreFaults{Busy: true})
		time.AfterFunc(400*time.Millisecond, func() { r.store.SetFaults(basilfake.StoreFaults{}) })
		h.HandOver(t.Context(), "a", before, true)
		time.Sleep(3 * time.Second)
		if next := r.owner("a"); next != nil {
			after = next.owns("a")
		}
		for n := range r.hosts {
			r.kill(n)
		}
		time.Sleep(time.Second) // calls that are under way end
	})
	must.Greater(t, before, after)
}

// TestRestartedHostClaimsReleasedShard checks that a shard is claimed at once though the successor's first read of the members
// came before its first renewal. In a rolling restart the shard had no owner until the next in line claimed it.
func TestRestartedHostClaimsReleasedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3 * time.Second)
		r.hosts[0].Release(t.Context())
		r.kill(0)
		time.Sleep(time.Second)
		delayWrites := func(q *http.Request) {
			if q.Method != http.MethodGet {
				time.Sleep(20 * time.Millisecond)
			}
		}
		r.startWith(0, &delayWrites)
		time.Sleep(3*renew + renew/2) // the others have read its row for two rounds
		owner := r.owner("a")
		must.True(t, owner != r.hosts[0])
		owner.Release(t.Context())
		time.Sleep(50 * time.Millisecond)
		must.True(t, r.owned())
		for n := range r.hosts {
			r.kill(n)
		}
	})
}

// TestShardOfStoppingHostIsClaimedAfterRefusedRelease checks that a shard whose release the store has refused is claimed soon after the
// store takes writes again, although the stopping host still serves callers and renews its lease.
func TestShardOfStoppingHostIsClaimedAfterRefusedRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3 * time.Second)
		h := r.owner("a")
		r.store.SetFaults(basilfake.StoreFaults{Busy: true})
		time.AfterFunc(400*time.Millisecond, func() { r.store.SetFaults(basilfake.StoreFaults{}) })
		h.Release(t.Context())
		checkClaimedByOther(t, r, h)
	})
}

// TestShardClaimedWhileStoppingIsReleased checks that a shard is claimed by another member if the claim of a stopping host was under way
// when it released its shards.
func TestShardClaimedWhileStoppingIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newCluster()
		time.Sleep(3 * time.Second)
		claiming := make(chan *keeperHost, 1)
		for _, h := range r.hosts {
			delayClaim := func(q *http.Request) {
				if q.Method == http.MethodGet {
					return
				}
				body := must1(io.ReadAll(q.Body))
				q.Body = io.NopCloser(bytes.NewReader(body))
				if bytes.Contains(body, []byte(`"owners"`)) && !bytes.Contains(body, []byte(`"remove":[{`)) {
					select {
					case claiming <- h:
					default: // a later claim
					}
					time.Sleep(renew / 4)
				}
			}
			h.before.Store(&delayClaim)
		}
		owner := r.owner("a")
		for n, h := range r.hosts {
			if h == owner {
				r.kill(n)
			}
		}
		h := <-claiming
		h.Release(t.Context())
		checkClaimedByOther(t, r, h)
	})
}

// TestFormerHandOverDoesNotCountAtNextOne checks that a host that got a shard back spreads its other shards evenly. Its hand-over of before still
// counted as a load of the member that had got the shard then.
func TestFormerHandOverDoesNotCountAtNextOne(t *testing.T) {
	for _, first := range shards {
		synctest.Test(t, func(t *testing.T) {
			r := newCluster()
			handOver := func(h *keeperHost, shard string) {
				h.HandOver(t.Context(), shard, h.owns(shard), false)
				time.Sleep(2 * renew)
			}
			time.Sleep(3 * time.Second)
			host := r.owner(first)
			handOver(host, first)
			must.True(t, r.owner(first) != host)
			for n, h := range r.hosts {
				if h != host {
					r.kill(n)
				}
			}
			time.Sleep(3 * lease)
			for n, h := range r.hosts {
				if h != host {
					r.start(n)
				}
			}
			time.Sleep(3 * time.Second)
			owners := map[*keeperHost]bool{host: true}
			for _, shard := range shards {
				must.True(t, r.owner(shard) == host)
				if shard != first {
					handOver(host, shard)
					owners[r.owner(shard)] = true
				}
			}
			for n := range r.hosts {
				r.kill(n)
			}
			time.Sleep(time.Second) // calls that are under way end
			must.MapLen(t, len(shards), owners)
		})
	}
}

// checkClaimedByOther checks that another member than the stopping host owns each shard 3 s later, and ends the test's hosts.
func checkClaimedByOther(t *testing.T, r *cluster, stopping *keeperHost) {
	time.Sleep(3 * time.Second)
	var held []string
	for _, shard := range shards {
		if stopping.owns(shard) != 0 {
			held = append(held, shard)
		}
	}
	owned := r.owned()
	for n := range r.hosts {
		r.kill(n)
	}
	time.Sleep(time.Second) // calls that are under way end
	must.SliceEmpty(t, held)
	must.True(t, owned)
}
