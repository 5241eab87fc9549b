package basilnode_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	transactionTime  = 4 * time.Millisecond // duration of a transaction in the store
	peakFactor       = 4                    // peak rate of jobs, as a multiple of the transactions that a partition carries
	peakDuration     = 10 * time.Second
	maxLatencyFactor = 5 // maximum latency at the peak, as a multiple of the latency at rest
)

// dueAfterTest is a job whose first run is due only after the test.
const dueAfterTest = `{"spec":"x","repeat_count":1,"initial_delay_ms":%d,"interval_ms":1000,"steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":500}]}`

// submitAtRate submits jobs at a constant rate to all entry hosts in turn. It returns the sorted latencies and the counts of
// statuses.
func (c *cluster) submitAtRate(first int, rate float64, d time.Duration) (took []time.Duration, statuses map[int]int) {
	statuses = make(map[int]int)
	body := fmt.Sprintf(dueAfterTest, time.Now().Add(time.Hour).UnixMilli())
	var names []string
	for name := range c.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	var group sync.WaitGroup
	for n := range int(rate * d.Seconds()) {
		h := c.hosts[names[n%len(names)]]
		group.Go(func() {
			began := time.Now()
			status, _ := c.callHost(h, http.MethodPost, quotePrefix+jobID(first+n), body)
			c.mutex.Lock()
			defer c.mutex.Unlock()
			took = append(took, time.Since(began))
			statuses[status]++
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	group.Wait()
	slices.Sort(took)
	return took, statuses
}

func p99(sorted []time.Duration) time.Duration { return sorted[len(sorted)*99/100] }

// TestServiceAcceptsMoreThanItsPartitionCarries checks that group commits let a service accept jobs at several times the
// rate of transactions that its partition of the store carries, without rejections and with little more latency than at
// rest.
func TestServiceAcceptsMoreThanItsPartitionCarries(t *testing.T) {
	run(t, 3, 3, constant(time.Second), func(c *cluster) {
		c.site.Store.SetLimits(basilfake.StoreLimits{PartWrites: partWrites, Takes: transactionTime})
		rest, _ := c.submitAtRate(1, 20, 5*time.Second)
		peak, statuses := c.submitAtRate(1000, peakFactor*partWrites, peakDuration)
		must.Eq(c.t, map[int]int{http.StatusOK: int(peakFactor * partWrites * peakDuration.Seconds())}, statuses)
		must.LessEq(c.t, maxLatencyFactor*p99(rest), p99(peak))
	})
}

// TestAcceptanceWhileOwnersFail checks that accepted jobs are not lost and rejected jobs never run while owners are killed,
// stopped, cut off, delayed or rejected by the store, or while forwarding to them fails.
func TestAcceptanceWhileOwnersFail(t *testing.T) {
	cases := map[string]func(c *cluster, owner string){
		"killed":            func(c *cluster, owner string) { c.kill(owner) },
		"stopped":           func(c *cluster, owner string) { c.stop(owner) },
		"cut off":           func(c *cluster, owner string) { c.hosts[owner].link.SetCut(true) },
		"delayed":           func(c *cluster, owner string) { c.delay(owner, 3*time.Second) },
		"rejected by store": func(c *cluster, owner string) { c.hosts[owner].link.Refuse(basilfake.StoreAddress) },
		"unreachable":       func(c *cluster, owner string) { c.network.Listen(peerAddress(owner), nil) },
		"forwarded requests lost": func(c *cluster, owner string) {
			c.network.Listen(peerAddress(owner), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
		},
		"responses lost": func(c *cluster, owner string) {
			peer := c.hosts[owner].node.Peer()
			c.network.Listen(peerAddress(owner), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				peer.ServeHTTP(w, r)
				<-r.Context().Done()
			}))
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 6, constant(300*time.Millisecond), func(c *cluster) {
				owner := c.owner("stretch")
				asked := c.other("stretch")
				h := c.hosts[asked]
				var group sync.WaitGroup
				accepted := make(map[int]int)
				for n := range 40 {
					if n == 10 {
						fail(c, owner)
					}
					c.site.Submitted(jobID(n), twoSteps, maxAttempts)
					group.Go(func() {
						status, _ := c.callHost(h, http.MethodPost, quotePrefix+jobID(n), twoSteps)
						c.mutex.Lock()
						defer c.mutex.Unlock()
						accepted[n] = status
					})
					time.Sleep(50 * time.Millisecond)
				}
				group.Wait()
				time.Sleep(12 * time.Second)
				accepts := 0
				for n, status := range accepted {
					state := c.state(asked, quotePrefix, jobID(n))
					switch status {
					case http.StatusOK:
						accepts++
						must.Eq(c.t, "completed", state, must.Sprint(n))
					case http.StatusServiceUnavailable, http.StatusTooManyRequests:
						must.Eq(c.t, "Gone", state, must.Sprint(n))
					}
				}
				must.Eq(c.t, 40, accepts) // the entry host that was asked reaches the store all the time
			})
		})
	}
}

// TestAcceptsJobsThroughPeersWithoutStore checks that an entry host which the store rejects accepts jobs through another
// entry host that reaches the store, also when the store rejects the owner of the shard as well.
func TestAcceptsJobsThroughPeersWithoutStore(t *testing.T) {
	for _, ownerToo := range []bool{false, true} {
		t.Run(fmt.Sprint("owner rejected ", ownerToo), func(t *testing.T) {
			run(t, 4, 4, constant(300*time.Millisecond), func(c *cluster) {
				name := c.other("stretch")
				c.hosts[name].link.Refuse(basilfake.StoreAddress)
				if ownerToo {
					c.hosts[c.owner("stretch")].link.Refuse(basilfake.StoreAddress)
				}
				time.Sleep(2500 * time.Millisecond) // until the entry host has noticed
				accepted := 0
				for n := range 20 {
					asked := time.Now()
					switch c.submit(name, quotePrefix, jobID(n), twoSteps) {
					case http.StatusOK:
						accepted++
					case http.StatusGatewayTimeout: // the owner may still store it
					default:
						t.Errorf("job %d rejected", n)
					}
					must.Less(c.t, time.Second, time.Since(asked))
					time.Sleep(100 * time.Millisecond)
				}
				must.GreaterEq(c.t, 18, accepted)
				c.hosts[name].link.Refuse("")
				time.Sleep(8 * time.Second)
				for n := range 20 {
					if state := c.state(name, quotePrefix, jobID(n)); state != "Gone" {
						must.Eq(c.t, "completed", state)
					}
				}
			})
		})
	}
}
