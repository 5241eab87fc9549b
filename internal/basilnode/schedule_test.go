package basilnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// withoutEnd is a job with as many occurrences as a number can say that all JSON programs carry exactly.
const withoutEnd = `{"spec":"x","repeat_count":9007199254740991,"initial_delay_ms":%d,"interval_ms":%d,"steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":500}]}`

// TestJobWithoutEndDelaysNoJobOfItsService checks that jobs of a service are done beside one without end, whose first occurrence is due
// later or long ago, also after its owner was killed. The owner hung on it, and so did each successor.
func TestJobWithoutEndDelaysNoJobOfItsService(t *testing.T) {
	for _, test := range []struct {
		name            string
		first, interval time.Duration
	}{{"due in a minute", time.Minute, time.Minute}, {"due since long ago", -24 * time.Hour, time.Millisecond}, {"due at once", -time.Hour, 0}} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 2, 4, constant(500*time.Millisecond), func(c *cluster) {
				body := fmt.Sprintf(withoutEnd, time.Now().Add(test.first).UnixMilli(), test.interval.Milliseconds())
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(0), body))
				time.Sleep(2 * time.Second)
				must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(1), twoSteps))
				c.await(quotePrefix, jobID(1), "completed", 10*time.Second)
				c.kill(c.owner("stretch"))
				time.Sleep(5 * time.Second)
				must.Eq(c.t, http.StatusOK, c.submit(c.owner("stretch"), quotePrefix, jobID(2), twoSteps))
				c.await(quotePrefix, jobID(2), "completed", 20*time.Second)
				c.cancel(c.owner("stretch"), quotePrefix, jobID(0))
				time.Sleep(3 * time.Second)
				must.Eq(c.t, 0, c.site.Running(jobID(0)))
			})
		})
	}
}
