package basilnode_test

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestPeakWithUnansweredStarts replays a peak on backend servers that leave one start in five unanswered and carry it out
// seconds later. Hardly a job has all its starts answered, and yet most jobs must meet their objective, as all do without
// the fault.
func TestPeakWithUnansweredStarts(t *testing.T) {
	const (
		jobs      = 40
		chain     = 700 * time.Millisecond
		objective = chain*16/10 + 600*time.Millisecond // of the queue, as the cluster configures it
		body      = `{"spec":"x","steps":[{"count":6,"cpu":600,"mem_mb":64,"estimate_ms":700}]}`
	)
	run(t, 2, 8, constant(chain), func(c *cluster) {
		for _, b := range c.site.Backends("stretch") {
			c.site.SetFaults(b, basilfake.BackendFaults{LateBy: 2 * time.Second, Every: 5})
		}
		var count int
		for _, onTime := range c.playPeak(jobs, body, objective) {
			if onTime {
				count++
			}
		}
		must.GreaterEq(t, jobs*3/4, count)
	})
}

// playPeak submits jobs every 0.1 s and returns which of them were completed within the objective.
func (c *cluster) playPeak(jobs int, body string, objective time.Duration) []bool {
	onTime := make([]bool, jobs)
	var group sync.WaitGroup
	for n := range jobs {
		group.Go(func() {
			id, began := jobID(n+1), time.Now()
			c.submitUntilAccepted(quotePrefix, id, body)
			for c.state("entry-1", quotePrefix, id) != "completed" && time.Since(began) < 10*time.Second {
				time.Sleep(50 * time.Millisecond)
			}
			onTime[n] = time.Since(began) <= objective
		})
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	return onTime
}
