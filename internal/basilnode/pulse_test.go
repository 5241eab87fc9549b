package basilnode_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// metric returns a figure of all entry hosts' metrics together.
func (c *cluster) metric(name string) int {
	total := 0
	for _, h := range c.hosts {
		w := httptest.NewRecorder()
		h.node.Metrics().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for line := range strings.Lines(w.Body.String()) {
			if value, ok := strings.CutPrefix(line, "basilstage_"+name+" "); ok {
				n, err := strconv.Atoi(strings.TrimSpace(value))
				must.NoError(c.t, err)
				total += n
			}
		}
	}
	return total
}

// TestMetricsTellHowOwnersKeepUp counts what owners take in, decide and carry out.
func TestMetricsTellHowOwnersKeepUp(t *testing.T) {
	run(t, 1, 2, constant(200*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 5*time.Second)
		for _, name := range []string{"event_wait_ms_count", "decision_ms_count", "step_ms_count"} {
			must.Positive(c.t, c.metric(name), must.Sprint(name))
		}
	})
}
