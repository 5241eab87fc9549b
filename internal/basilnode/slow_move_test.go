package basilnode_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestSubmissionsAreAcceptedAfterMoveWhileStoreIsSlow checks that a queue that moves while the store is slow accepts jobs again, though
// callers that come one after the other each have too little time for the whole move.
func TestSubmissionsAreAcceptedAfterMoveWhileStoreIsSlow(t *testing.T) {
	const jobs, interval, settled = 200, 50 * time.Millisecond, 5 * time.Second
	body := fmt.Sprintf(dueAfterTest, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	run(t, 3, 1, constant(time.Second), func(c *cluster) {
		for n, service := range services {
			c.site.Configure(fmt.Sprintf(routedTo, 2+n, service))
			time.Sleep(time.Second)
			for host := range c.hosts {
				must.Eq(c.t, http.StatusOK, c.submit(host, quotePrefix, jobID(n), body))
			}
		}
		c.site.Store.SetFaults(basilfake.StoreFaults{Delay: 400 * time.Millisecond})
		c.site.Configure(fmt.Sprintf(routedTo, 9, "stretch"))
		time.Sleep(3 * time.Second)
		accepted, began := 0, time.Now()
		var group sync.WaitGroup
		for n := range jobs {
			h, late := c.hosts[fmt.Sprintf("entry-%d", n%3+1)], time.Since(began) >= settled
			group.Go(func() {
				status, _ := c.callHost(h, http.MethodPost, quotePrefix+jobID(100+n), body)
				c.mutex.Lock()
				defer c.mutex.Unlock()
				if late && status == http.StatusOK {
					accepted++
				}
			})
			time.Sleep(interval)
		}
		group.Wait()
		c.site.Store.SetFaults(basilfake.StoreFaults{})
		must.Greater(c.t, int((jobs*interval-settled)/interval)/2, accepted)
	})
}
