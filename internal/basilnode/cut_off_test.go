package basilnode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const servingOnFew = `{"spec":"night","steps":[{"count":8,"cpu":1000,"mem_mb":512,"long_running":true,"anti_affinity":4}]}`

// TestLongRunningTasksRunAgainThoughServerIsCutOffBesideTakeover replays an owner that is killed while a backend server is cut off, which stays up
// in the list of hosts: tasks whose runs ended beside the takeover stood still until the longest leases had passed.
func TestLongRunningTasksRunAgainThoughServerIsCutOffBesideTakeover(t *testing.T) {
	for _, lasts := range []time.Duration{5 * time.Second, time.Hour} {
		t.Run(lasts.String(), func(t *testing.T) {
			run(t, 4, 12, failingOnce(8*time.Second, 150*time.Millisecond), func(c *cluster) {
				must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, servingOnFew))
				time.Sleep(6500 * time.Millisecond)
				for _, b := range c.site.Backends("stretch")[:1] {
					c.site.SetFaults(b, basilfake.BackendFaults{Silent: true})
					time.AfterFunc(lasts, func() { c.site.SetFaults(b, basilfake.BackendFaults{}) })
				}
				time.Sleep(2500 * time.Millisecond)
				c.kill(c.owner("stretch"))
				time.Sleep(20 * time.Second)
				for _, a := range c.absences(longRunningID) {
					must.LessEq(t, longestAbsence, a.to.Sub(a.from), must.Sprint(a.task, " from ", a.from.Sub(c.began)))
				}
			})
		})
	}
}

// TestLongRunningTasksRunAgainThoughServerIsCutOffRightBeforeTakeover replays the same with a server that is cut off 1 s before the owner is killed, so
// that no owner has noted its silence. Tasks that ran on other servers stood still until the longest leases had passed there.
func TestLongRunningTasksRunAgainThoughServerIsCutOffRightBeforeTakeover(t *testing.T) {
	run(t, 4, 12, failingOnce(8500*time.Millisecond, 150*time.Millisecond), func(c *cluster) {
		must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, servingOnFew))
		time.Sleep(8 * time.Second)
		cutOff := c.site.Backends("stretch")[0]
		c.site.SetFaults(cutOff, basilfake.BackendFaults{Silent: true})
		time.Sleep(time.Second)
		c.kill(c.owner("stretch"))
		time.Sleep(20 * time.Second)
		there := make(map[string]bool) // tasks that may run on the server that is cut off
		for _, r := range c.site.Runs() {
			there[r.Task] = there[r.Task] || r.Backend == cutOff.ID() && !r.Started.After(c.began.Add(8*time.Second))
		}
		judged := 0
		for _, a := range c.absences(longRunningID) {
			if !there[a.task] {
				judged++
				must.LessEq(t, longestAbsence, a.to.Sub(a.from), must.Sprint(a.task, " from ", a.from.Sub(c.began)))
			}
		}
		must.Positive(t, judged)
	})
}
