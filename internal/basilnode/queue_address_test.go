package basilnode_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
)

// testRoute is a route of a configuration: its name, path prefix and service.
type testRoute struct{ name, prefix, service string }

// configureRoutes has the operator write a configuration with the routes.
func (c *cluster) configureRoutes(version int, routes ...testRoute) {
	var list []string
	for _, r := range routes {
		list = append(list, fmt.Sprintf(`{"name":%q,"host":"shop.example","path_prefix":%q,"service":%q,"timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":3}`, r.name, r.prefix, r.service))
	}
	c.site.Configure(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"stretch"},{"name":"press"},{"name":"loom"},{"name":"spare","standby":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":8192}}`, version, strings.Join(list, ",")))
}

var (
	quoteAtStretch = testRoute{"quote", "/quote/", "stretch"}
	fitAtPress     = testRoute{"fit", "/fit/", "press"}
)

// TestJobsOutliveReplacementOfTheirRoute checks that a job is known by its address when the operator replaces its route: it is shown, not
// stored again, and cancelled. Its row was looked for by the name of the route.
func TestJobsOutliveReplacementOfTheirRoute(t *testing.T) {
	const small = `{"spec":"x","steps":[{"count":3,"cpu":100,"mem_mb":16,"estimate_ms":20000}]}`
	tests := map[string][][]testRoute{ // configurations in the order in which they are written
		"other name":               {{{"quote-2", "/quote/", "stretch"}}},
		"other name and service":   {{{"quote-2", "/quote/", "press"}}},
		"name taken back":          {{{"quote-2", "/quote/", "press"}}, {quoteAtStretch}},
		"names exchanged":          {{{"fit", "/quote/", "stretch"}, {"quote", "/fit/", "press"}}},
		"services exchanged too":   {{{"fit", "/quote/", "press"}, {"quote", "/fit/", "stretch"}}},
		"away and back":            {{}, {{"quote-2", "/quote/", "loom"}}},
		"longer prefix beside it":  {{quoteAtStretch, {"ten", "/quote/0000", "press"}}},
		"name given to other path": {{{"quote-2", "/quote/", "press"}, {"quote", "/other/", "stretch"}}},
	}
	for name, configurations := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
				c.site.AddPool("press", 4, 16000, 65536, false)
				c.site.AddPool("loom", 4, 16000, 65536, false)
				c.configureRoutes(2, quoteAtStretch, fitAtPress)
				time.Sleep(time.Second)
				for n := range 3 {
					must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), small))
				}
				time.Sleep(time.Second)
				c.kill("entry-3")
				for n, routes := range configurations {
					c.configureRoutes(3+n, routes...)
					time.Sleep(time.Second)
				}
				c.start("entry-3") // has never seen the first configuration
				time.Sleep(3 * time.Second)
				for n := range 3 {
					host := fmt.Sprintf("entry-%d", n+1)
					must.Eq(c.t, "active", c.state(host, quotePrefix, jobID(n)), must.Sprint(host))
					if name != "longer prefix beside it" { // by which a submission is one of that route
						status, _ := c.call(host, http.MethodPost, quotePrefix+jobID(n), small)
						must.Eq(c.t, http.StatusOK, status)
					}
				}
				time.Sleep(2 * time.Second)
				for n := range 3 {
					host := fmt.Sprintf("entry-%d", n+1)
					must.Len(c.t, 1, c.storedUnder(jobID(n)))
					must.Eq(c.t, 3, c.site.Running(jobID(n)))
					c.cancel(host, quotePrefix, jobID(n))
				}
				time.Sleep(2 * time.Second)
				for n := range 3 {
					must.Eq(c.t, 0, c.site.Running(jobID(n)))
				}
			})
		})
	}
}

// TestEntryHostsWithOldAndNewRouteStoreJobOnce checks that a job that is submitted at the same time to an entry host that knows the old
// route and to one that knows the route that replaced it is stored once, and known to both.
func TestEntryHostsWithOldAndNewRouteStoreJobOnce(t *testing.T) {
	const small = `{"spec":"x","steps":[{"count":3,"cpu":100,"mem_mb":16,"estimate_ms":20000}]}`
	run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
		c.site.AddPool("press", 4, 16000, 65536, false)
		c.configureRoutes(2, quoteAtStretch)
		time.Sleep(time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(0), small))
		c.setBehind("entry-1", true)
		c.configureRoutes(3, testRoute{"quote-2", "/quote/", "press"})
		time.Sleep(time.Second)
		var group sync.WaitGroup
		for n := range 10 {
			c.site.Submitted(jobID(n), small, maxAttempts)
			for _, name := range []string{"entry-1", "entry-2"} {
				h := c.hosts[name]
				group.Go(func() { c.callHost(h, http.MethodPost, quotePrefix+jobID(n), small) })
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
	})
}

// TestWaitingCountsJobsOfReplacedRoute checks that GET of a prefix counts jobs that were submitted under a route of another name.
func TestWaitingCountsJobsOfReplacedRoute(t *testing.T) {
	body := fmt.Sprintf(dueAfterTest, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	run(t, 2, 1, constant(time.Second), func(c *cluster) {
		c.configureRoutes(2, quoteAtStretch)
		time.Sleep(time.Second)
		for n := range 5 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), body))
		}
		c.configureRoutes(3, testRoute{"quote-2", "/quote/", "press"}, testRoute{"quote", "/other/", "stretch"})
		time.Sleep(time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(5), body))
		_, text := c.call("entry-2", http.MethodGet, quotePrefix, "")
		must.Eq(c.t, `{"waiting":6}`, text)
		_, text = c.call("entry-1", http.MethodGet, "/other/", "")
		must.Eq(c.t, `{"waiting":0}`, text)
	})
}

// TestCancelBeforeSubmissionOutlivesReplacementOfRoute checks that a job whose cancelling came first isn't stored under a route that
// replaced its own.
func TestCancelBeforeSubmissionOutlivesReplacementOfRoute(t *testing.T) {
	run(t, 2, 1, constant(time.Second), func(c *cluster) {
		c.configureRoutes(2, quoteAtStretch)
		time.Sleep(time.Second)
		status, _ := c.call("entry-1", http.MethodDelete, quotePrefix+jobID(1), "")
		must.Eq(c.t, http.StatusGone, status)
		c.configureRoutes(3, testRoute{"quote-2", "/quote/", "press"})
		time.Sleep(time.Second)
		c.submit("entry-2", quotePrefix, jobID(1), twoSteps)
		time.Sleep(2 * time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
		status, _ = c.call("entry-2", http.MethodGet, quotePrefix+jobID(1), "")
		must.Eq(c.t, http.StatusGone, status)
	})
}

// storeWithoutQueueID stores a job and the assignment of its queue as the release before queue IDs did.
func (c *cluster) storeWithoutQueueID(ledger *basilledger.Ledger, id, body string) {
	job, err := basilsite.Codec{}.Job(id, "quote", []byte(body))
	must.NoError(c.t, err)
	a, err := basilledger.NewAcceptance(&basilwork.Record{Job: *job, Accepted: time.Now().UnixMilli()})
	must.NoError(c.t, err)
	assigned, err := ledger.Assignment(c.t.Context(), "quote")
	must.NoError(c.t, err)
	if assigned.Generation == 0 {
		assigned, err = ledger.Reassign(c.t.Context(), "quote", assigned, "stretch", 1)
		must.NoError(c.t, err)
	}
	gate, _, err := ledger.OpenGate(c.t.Context(), "quote", assigned)
	must.NoError(c.t, err)
	c.site.Submitted(id, body, maxAttempts)
	must.NoError(c.t, ledger.Accept(c.t.Context(), "stretch", a.WithGate(gate)))
}

// TestJobsOfReleaseWithoutQueueIDsAreKnown checks that jobs that the release before stored by the name of their queue are shown, are not
// stored again after the queue has moved, count as waiting, and can be cancelled.
func TestJobsOfReleaseWithoutQueueIDsAreKnown(t *testing.T) {
	run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
		ledger := c.ledger()
		c.site.AddPool("press", 4, 16000, 65536, false)
		c.configureRoutes(2, quoteAtStretch)
		time.Sleep(time.Second)
		for n := range 2 {
			c.storeWithoutQueueID(ledger, jobID(n), twoSteps)
		}
		c.storeWithoutQueueID(ledger, jobID(2), fmt.Sprintf(dueAfterTest, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()))
		time.Sleep(time.Second)
		_, text := c.call("entry-2", http.MethodGet, quotePrefix, "")
		must.Eq(c.t, `{"waiting":1}`, text)
		c.configureRoutes(3, testRoute{"quote", "/quote/", "press"})
		time.Sleep(time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(5), twoSteps))
		for n := range 2 {
			host := fmt.Sprintf("entry-%d", n+1)
			must.Eq(c.t, "active", c.state(host, quotePrefix, jobID(n)))
			status, _ := c.call(host, http.MethodPost, quotePrefix+jobID(n), twoSteps)
			must.Eq(c.t, http.StatusOK, status)
			must.Eq(c.t, []string{"stretch"}, c.storedUnder(jobID(n)))
			c.cancel(host, quotePrefix, jobID(n))
		}
		time.Sleep(2 * time.Second)
		for n := range 2 {
			must.Eq(c.t, 0, c.site.Running(jobID(n)))
		}
	})
}
