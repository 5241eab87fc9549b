package basilnode_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPeakOfTasksThatNeedMemory replays a peak that fills the memory of the backend servers long before their processors:
// a host has room for four tasks, and 42 run at a time. Once the moved hosts have come, most jobs must meet their objective.
func TestPeakOfTasksThatNeedMemory(t *testing.T) {
	const (
		jobs      = 100
		early     = 40 // jobs that arrive before the moved hosts, or while the work of that time is done
		chain     = 700 * time.Millisecond
		objective = chain*16/10 + 600*time.Millisecond // of the queue, as the cluster configures it
		body      = `{"spec":"x","steps":[{"count":6,"cpu":200,"mem_mb":16000,"estimate_ms":700}]}`
	)
	run(t, 2, 3, constant(chain), func(c *cluster) {
		c.site.AddPool("spare", 20, 16000, 65536, true)
		time.Sleep(5 * time.Second)
		var count int
		for _, onTime := range c.playPeak(jobs, body, objective)[early:] {
			if onTime {
				count++
			}
		}
		must.GreaterEq(t, (jobs-early)*3/4, count)
	})
}
