package basilnode_test

import (
	"hash/fnv"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// metric returns the sum of a metric over all entry hosts.
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

// TestOwnerLoopMetrics checks that the events, decisions and steps of owners are counted in the metrics.
func TestOwnerLoopMetrics(t *testing.T) {
	run(t, 1, 2, constant(200*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 5*time.Second)
		for _, name := range []string{"event_wait_ms_count", "decision_ms_count", "step_ms_count"} {
			must.Positive(c.t, c.metric(name), must.Sprint(name))
		}
	})
}

// TestOwnerBatchesEvents checks that an owner handles many events, which arrive one by one, in far fewer steps.
func TestOwnerBatchesEvents(t *testing.T) {
	const jobs, spread = 100, 100 * time.Millisecond
	work := func(task string, _ int) (time.Duration, bool) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return 500*time.Millisecond + time.Duration(h.Sum32())%spread, false
	}
	run(t, 1, 100, work, func(c *cluster) {
		events, steps := c.metric("event_wait_ms_count"), c.metric("step_ms_count")
		for n := range jobs {
			body := `{"spec":"boot","steps":[{"count":16,"cpu":1000,"mem_mb":512,"estimate_ms":500}]}`
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n+1), body))
		}
		for n := range jobs {
			c.await(quotePrefix, jobID(n+1), "completed", 3*time.Second)
		}
		events, steps = c.metric("event_wait_ms_count")-events, c.metric("step_ms_count")-steps
		must.Greater(c.t, 16*jobs, events, must.Sprint("there is an event for the answer to each start"))
		must.Less(c.t, events/4, steps, must.Sprintf("%d events", events))
	})
}
