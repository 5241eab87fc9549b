package basilnode_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/platform/basilfake"
)

// services are those that the queue is routed to in these tests.
var services = []string{"stretch", "press", "loom"}

// routedTo is a configuration with the given version that routes the queue to the given service.
const routedTo = `{"version":%d,"routes":[{"name":"quote","host":"shop.example","path_prefix":"/quote/","service":"%s","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":3}],
 "services":[{"name":"stretch"},{"name":"press"},{"name":"loom"},{"name":"spare","standby":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":8192}}`

// storedUnder returns the services under which a job is stored.
func (c *cluster) storedUnder(id string) []string {
	ledger := c.ledger()
	var found []string
	for _, service := range services {
		_, _, err := ledger.Find(c.t.Context(), service, id)
		if err == nil {
			found = append(found, service)
			continue
		}
		must.True(c.t, basilledger.IsErrJobNotExist(err))
	}
	return found
}

// TestEntryHostsWithDifferentConfigurationsStoreJobOnce checks that a job that is submitted at the same time to two entry hosts with
// different configurations is stored once, and that both tell and cancel it wherever it is stored.
func TestEntryHostsWithDifferentConfigurationsStoreJobOnce(t *testing.T) {
	const small = `{"spec":"x","steps":[{"count":3,"cpu":100,"mem_mb":16,"estimate_ms":20000}]}`
	for _, first := range []string{"old configuration first", "new configuration first", "together"} {
		t.Run(first, func(t *testing.T) {
			run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
				c.site.AddPool("press", 4, 16000, 65536, false)
				c.site.Configure(fmt.Sprintf(routedTo, 2, "stretch"))
				time.Sleep(time.Second)
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(0), small))
				must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(0), small))
				c.setBehind("entry-1", true)
				c.site.Configure(fmt.Sprintf(routedTo, 3, "press"))
				time.Sleep(time.Second)
				var group sync.WaitGroup
				for n := range 10 {
					for _, name := range []string{"entry-1", "entry-2"} {
						h := c.hosts[name]
						c.site.Submitted(jobID(n), small, maxAttempts)
						group.Go(func() {
							if name == "entry-1" && first == "new configuration first" || name == "entry-2" && first == "old configuration first" {
								time.Sleep(100 * time.Millisecond)
							}
							if status, _ := c.callHost(h, http.MethodPost, quotePrefix+jobID(n), small); status != http.StatusOK {
								c.t.Errorf("job %d answered %d by %s", n, status, name)
							}
						})
					}
				}
				group.Wait()
				time.Sleep(2 * time.Second)
				for n := range 10 {
					must.Len(c.t, 1, c.storedUnder(jobID(n)), must.Sprint(n))
					must.Eq(c.t, "active", c.state("entry-1", quotePrefix, jobID(n)))
					must.Eq(c.t, "active", c.state("entry-2", quotePrefix, jobID(n)))
					must.Eq(c.t, 3, c.site.Running(jobID(n)))
					c.cancel(fmt.Sprintf("entry-%d", n%2+1), quotePrefix, jobID(n))
				}
				time.Sleep(time.Second)
				for n := range 10 {
					must.Eq(c.t, 0, c.site.Running(jobID(n)))
				}
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(20), small))
				must.Eq(c.t, []string{"press"}, c.storedUnder(jobID(20)))
			})
		})
	}
}

// TestJobsAreStoredOnceWhileQueueMoves submits jobs to several entry hosts, and cancels some, while their queue is routed to other services
// time and again, entry hosts lag behind with their configuration, and the store delays or loses answers. It checks that no job is stored
// twice, that accepted jobs are known to all entry hosts, that refused ones are not stored, and that those whose cancelling was answered
// stay cancelled, also if they were submitted later.
func TestJobsAreStoredOnceWhileQueueMoves(t *testing.T) {
	const hosts, jobs, steps, seeds = 3, 60, 12, 12
	body := fmt.Sprintf(dueAfterTest, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run(t, hosts, 1, constant(time.Second), func(c *cluster) {
				draw := rand.New(rand.NewPCG(seed, 1))
				if seed%2 == 1 {
					c.site.Store.SetSinglePart()
				}
				accepted, refused := make(map[int]bool), make(map[int]int)
				asked, cancelled := make(map[int]bool), make(map[int]bool) // cancellings, and those that were answered
				var group sync.WaitGroup
				for step := range steps {
					c.setBehind(fmt.Sprintf("entry-%d", draw.IntN(hosts)+1), draw.IntN(2) == 0)
					c.site.Configure(fmt.Sprintf(routedTo, 2+step, services[draw.IntN(len(services))]))
					c.site.Store.SetFaults([]basilfake.StoreFaults{
						{}, {}, {Delay: 80 * time.Millisecond}, {LoseAnswers: true, LoseShare: 0.3}, {LateBy: 300 * time.Millisecond},
					}[draw.IntN(5)])
					for range 2 * jobs / steps {
						n := draw.IntN(jobs)
						if draw.IntN(6) == 0 {
							asked[n] = true
							h := c.hosts[fmt.Sprintf("entry-%d", draw.IntN(hosts)+1)]
							group.Go(func() {
								status, _ := c.callHost(h, http.MethodDelete, quotePrefix+jobID(n), "")
								c.mutex.Lock()
								defer c.mutex.Unlock()
								cancelled[n] = cancelled[n] || status == http.StatusOK || status == http.StatusGone
							})
						}
						for range 1 + draw.IntN(2) {
							h := c.hosts[fmt.Sprintf("entry-%d", draw.IntN(hosts)+1)]
							c.site.Submitted(jobID(n), body, maxAttempts)
							group.Go(func() {
								status, _ := c.callHost(h, http.MethodPost, quotePrefix+jobID(n), body)
								c.mutex.Lock()
								defer c.mutex.Unlock()
								switch status {
								case http.StatusOK:
									accepted[n] = true
								case http.StatusServiceUnavailable, http.StatusTooManyRequests:
									refused[n]++
								default:
									refused[n] = -1000
								}
							})
						}
						time.Sleep(time.Duration(draw.IntN(60)) * time.Millisecond)
					}
				}
				group.Wait()
				c.site.Store.SetFaults(basilfake.StoreFaults{})
				time.Sleep(12 * time.Second)
				for n := range jobs {
					stored := c.storedUnder(jobID(n))
					must.LessEq(c.t, 1, len(stored), must.Sprint(n))
					switch {
					case asked[n]:
						for name := range c.hosts {
							state := c.state(name, quotePrefix, jobID(n))
							must.True(c.t, !cancelled[n] || state == "canceled" || state == "Gone", must.Sprint(n, name, state))
						}
					case accepted[n]:
						must.Len(c.t, 1, stored, must.Sprint(n))
						for name := range c.hosts {
							must.Eq(c.t, "pending", c.state(name, quotePrefix, jobID(n)))
						}
					case refused[n] >= 0:
						must.Len(c.t, 0, stored, must.Sprint(n))
					}
				}
				must.Greater(c.t, jobs/2, len(accepted))
			})
		})
	}
}

// TestFirstSubmissionWhileStoreAnswersLate checks that the first submission of a queue is refused while it is unknown whether the
// queue's assignment was stored, and that the job never runs.
func TestFirstSubmissionWhileStoreAnswersLate(t *testing.T) {
	run(t, 2, 3, constant(200*time.Millisecond), func(c *cluster) {
		c.storeFault(4*time.Second, basilfake.StoreFaults{LateBy: 3500 * time.Millisecond})
		must.Eq(c.t, http.StatusServiceUnavailable, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(8 * time.Second)
		must.Eq(c.t, "Gone", c.state("entry-2", quotePrefix, jobID(1)))
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(2), twoSteps))
		c.await(quotePrefix, jobID(2), "completed", 5*time.Second)
	})
}

// TestRelayedSubmissionAfterRouteChange checks that an entry host without the store, which knows the old configuration only, has others
// store a new job under the service that its queue is assigned to, and that it starts nothing if the job is stored under a former one.
func TestRelayedSubmissionAfterRouteChange(t *testing.T) {
	run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
		c.site.AddPool("press", 2, 16000, 65536, false)
		name := c.other("stretch")
		must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(1), twoSteps))
		c.setBehind(name, true)
		c.site.Configure(fmt.Sprintf(routed, 2, "press"))
		time.Sleep(time.Second)
		c.hosts[name].link.Refuse(basilfake.StoreAddress)
		time.Sleep(2500 * time.Millisecond) // until the entry host has noticed
		must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(1), twoSteps))
		must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(2), twoSteps))
		time.Sleep(time.Second)
		must.Eq(c.t, []string{"stretch"}, c.storedUnder(jobID(1)))
		must.Eq(c.t, []string{"press"}, c.storedUnder(jobID(2)))
		must.Eq(c.t, 3, c.site.Running(jobID(1)))
		must.Eq(c.t, 3, c.site.Running(jobID(2)))
	})
}

// TestWaitingJobsCountAfterRouteChange checks that an entry host that has stored no job since its queue was routed to another service, and
// doesn't know of the change, counts the waiting jobs of both services.
func TestWaitingJobsCountAfterRouteChange(t *testing.T) {
	run(t, 3, 1, constant(30*time.Second), func(c *cluster) {
		later := fmt.Sprintf(dueAfterTest, time.Now().Add(time.Hour).UnixMilli())
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), later))
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(2), later))
		c.setBehind("entry-1", true)
		c.site.Configure(fmt.Sprintf(routed, 2, "press"))
		time.Sleep(time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(3), later))
		for name := range c.hosts {
			status, body := c.call(name, http.MethodGet, quotePrefix, "")
			must.Eq(c.t, http.StatusOK, status)
			must.Eq(c.t, `{"waiting":3}`, body, must.Sprint(name))
		}
	})
}
