package basilnode_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// droppedRoutes is a configuration with the given routes and one of another queue that allows fewer attempts.
const droppedRoutes = `{"version":%d,"routes":[%s{"name":"other","host":"shop.example","path_prefix":"/other/","service":"stretch","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":2}],
"services":[{"name":"stretch"},{"name":"spare","standby":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":8192}}`

// fiveAttempts is the start of a route of the jobs' queue.
const fiveAttempts = `{"name":"quote","host":"shop.example","path_prefix":"/quote/","service":"stretch","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":5`

// TestSettingsOfDroppedRouteLastWithItsJobs checks that a job has the attempts of its queue, and asks for its tickets, though the queue's route
// was dropped and the pool has a new owner. Such jobs were failed after three attempts, and started without tickets.
func TestSettingsOfDroppedRouteLastWithItsJobs(t *testing.T) {
	const small = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":16,"estimate_ms":1000}]}`
	tests := map[string]struct {
		route    string
		replaced string // what comes in its place
		tickets  bool
	}{
		"dropped":                  {route: fiveAttempts + `},`},
		"dropped with tickets":     {route: fiveAttempts + `,"recommendation":{"decide_ms":20,"per_item_ms":1,"valid_ms":3000}},`, tickets: true},
		"name given to other path": {route: fiveAttempts + `},`, replaced: strings.NewReplacer("/quote/", "/new/", `"max_attempts":5`, `"max_attempts":1`).Replace(fiveAttempts) + `},`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var starts atomic.Int32
			work := func(string, int) (time.Duration, bool) {
				return time.Second, starts.Add(1) <= 4
			}
			run(t, 2, 3, work, func(c *cluster) {
				if test.tickets {
					c.site.RequireTickets()
				}
				c.site.Configure(fmt.Sprintf(droppedRoutes, 2, test.route))
				time.Sleep(time.Second)
				c.site.Submitted(jobID(1), small, 5)
				status, _ := c.call("entry-1", http.MethodPost, quotePrefix+jobID(1), small)
				must.Eq(c.t, http.StatusOK, status)
				time.Sleep(500 * time.Millisecond)
				c.site.Configure(fmt.Sprintf(droppedRoutes, 3, test.replaced))
				for _, host := range []string{"entry-1", "entry-2"} {
					c.kill(host)
					c.start(host)
					time.Sleep(3 * time.Second)
				}
				time.Sleep(20 * time.Second)
				must.Eq(c.t, 5, starts.Load(), must.Sprint("runs while there is no route"))
				c.site.Configure(fmt.Sprintf(droppedRoutes, 4, test.route))
				time.Sleep(time.Second)
				c.await(quotePrefix, jobID(1), "completed", 10*time.Second)
			})
		})
	}
}
