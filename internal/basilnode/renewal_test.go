package basilnode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestUnansweredHoldsAreCounted checks the metrics of a backend server that falls silent for nearly as long as a lease of 5 to 5.7 s lasts.
func TestUnansweredHoldsAreCounted(t *testing.T) {
	run(t, 1, 1, constant(-1), func(c *cluster) {
		body := `{"spec":"night","steps":[{"count":1,"cpu":2000,"mem_mb":512,"long_running":true}]}`
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), body))
		time.Sleep(5 * time.Second)
		b := c.busiest()
		unanswered := `holds_unanswered{pool="stretch"}`
		must.Zero(t, c.metric(unanswered))
		must.Zero(t, c.metric(`leases_narrow{pool="stretch"}`))
		for _, silent := range []time.Duration{4200 * time.Millisecond, 4700 * time.Millisecond} {
			before := c.metric(unanswered)
			c.site.SetFaults(b, basilfake.BackendFaults{Silent: true})
			time.Sleep(silent)
			c.site.SetFaults(b, basilfake.BackendFaults{})
			must.GreaterEq(t, 5, c.metric(unanswered)-before)
			time.Sleep(2 * time.Second)
		}
		must.Positive(t, c.metric(`leases_narrow{pool="stretch"}`))
	})
}
