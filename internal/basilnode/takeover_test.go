package basilnode_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// longestWithoutStart returns the longest time between two starts on backend servers after the time.
func (c *cluster) longestWithoutStart(since time.Time) time.Duration {
	var longest time.Duration
	last := since
	for _, at := range c.site.Starts() {
		if at.After(since) {
			longest, last = max(longest, at.Sub(last)), at
		}
	}
	return longest
}

// submitAnywhere hands in a job at the first entry host that takes it, but those that are left out.
func (c *cluster) submitAnywhere(id, body string, but ...string) {
	c.t.Helper()
	for n := 1; n <= c.starts; n++ {
		name := fmt.Sprintf("entry-%d", n)
		if c.hosts[name] != nil && !slices.Contains(but, name) && c.submit(name, quotePrefix, id, body) == http.StatusOK {
			return
		}
	}
	c.t.Fatalf("job %s is not accepted", id)
}

// TestStartsAfterChangeOfOwner starts waiting work soon after a pool's owner changed, while jobs come in all the time.
func TestStartsAfterChangeOfOwner(t *testing.T) {
	const (
		takeover = 3200 * time.Millisecond // a lease, its last part that was not seen, and the claim
		handover = 300 * time.Millisecond  // as for orders of hosts
	)
	one := `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}`
	cases := []struct {
		name   string
		within time.Duration // from the last start of one owner to the first of the next
		change func(c *cluster, name string)
	}{
		{"stopped", handover, func(c *cluster, name string) { go c.hosts[name].node.Stop(context.Background()) }},
		{"killed", takeover, func(c *cluster, name string) { c.kill(name) }},
		{"held up", takeover, func(c *cluster, name string) { c.hold(name, 6*time.Second) }},
		{"cut off", takeover, func(c *cluster, name string) { c.hosts[name].link.SetCut(true) }},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			run(t, 3, 4, constant(100*time.Millisecond), func(c *cluster) {
				c.site.Store.SetFaults(basilfake.StoreFaults{Delay: 10 * time.Millisecond})
				for n := range 40 {
					c.submitAnywhere(jobID(n), one)
					time.Sleep(20 * time.Millisecond)
				}
				name := c.owner("stretch")
				changed := time.Now()
				x.change(c, name)
				for n := range 200 {
					c.submitAnywhere(jobID(1000+n), one, name)
					time.Sleep(20 * time.Millisecond)
				}
				without := c.longestWithoutStart(changed)
				t.Logf("%v without a start", without)
				must.LessEq(t, x.within, without)
				if h := c.hosts[name]; h != nil {
					h.link.SetCut(false)
					time.Sleep(3 * time.Second)
				}
				for n := range 200 {
					c.await(quotePrefix, jobID(1000+n), "completed", 6*time.Second)
				}
			})
		})
	}
}

// TestOwnersCollectLess gives processes that own pools or the fleet more memory and less work for the collector, and
// takes that back when they own nothing any more.
func TestOwnersCollectLess(t *testing.T) {
	run(t, 5, 2, constant(100*time.Millisecond), func(c *cluster) {
		owns := func(name string) bool { return name == c.owner("stretch") || name == c.owner("fleet") }
		check := func() {
			for name := range c.hosts {
				must.Eq(c.t, owns(name), c.collects(name) > 100, must.Sprint(name))
			}
		}
		check()
		gone := c.owner("stretch")
		c.hold(gone, 6*time.Second)
		time.Sleep(12 * time.Second)
		must.NotEq(c.t, gone, c.owner("stretch"))
		check()
	})
}
