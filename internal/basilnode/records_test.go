package basilnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	wholeHost         = `{"spec":"x","steps":[{"count":%d,"cpu":16000,"mem_mb":512,"estimate_ms":20000}]}` // each task needs a whole host
	maxRowBytes       = 65536                                                                              // maximum bytes of a row on the users' platform
	largeServiceHosts = 700                                                                                // hosts that one service may have in the users' largest deployments
)

// TestHostsAreUsedWhileOthersArrive checks that tasks run on hosts that were added, even if further hosts are added while
// each write of their rows is in progress.
func TestHostsAreUsedWhileOthersArrive(t *testing.T) {
	run(t, 2, 3, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), fmt.Sprintf(wholeHost, 40)))
		c.site.Store.SetLimits(basilfake.StoreLimits{Takes: 600 * time.Millisecond}) // as on a partition at its limit
		for range 20 {
			c.site.AddPool("stretch", 1, 16000, 65536, false)
			time.Sleep(200 * time.Millisecond)
		}
		must.Greater(c.t, 12, c.site.Running(jobID(1))) // the arrivals of 2.5 s; the rest of the time is left for the first writes
	})
}

// TestEveryHostOfALargeServiceIsUsed checks that tasks run on every host of a service whose list of hosts exceeds the
// size of a row, and that the next owner completes them.
func TestEveryHostOfALargeServiceIsUsed(t *testing.T) {
	run(t, 2, 3, constant(12*time.Second), func(c *cluster) {
		c.site.Store.SetLimits(basilfake.StoreLimits{RowBytes: maxRowBytes * simulatedBackends / largeServiceHosts})
		c.site.AddPool("stretch", simulatedBackends, 16000, 65536, false)
		time.Sleep(3 * time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), fmt.Sprintf(wholeHost, simulatedBackends)))
		time.Sleep(8 * time.Second)
		must.Eq(c.t, simulatedBackends, c.site.Running(jobID(1)))
		c.stop(c.owner("stretch"))
		c.await(quotePrefix, jobID(1), "completed", 20*time.Second)
	})
}
