package basilnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// many is a job with more tasks than orders are sent concurrently; the hosts have capacity for all of them.
const many = `{"spec":"boot","steps":[{"count":600,"cpu":100,"mem_mb":16,"estimate_ms":20000}]}`

// cancel cancels a job and has the site check that none of its tasks start too late after that.
func (c *cluster) cancel(name, prefix, id string) {
	c.t.Helper()
	status, _ := c.call(name, http.MethodDelete, prefix+id, "")
	must.Eq(c.t, http.StatusOK, status)
	c.site.Cancelled(id)
}

// TestQueuedStartsOfCancelledJobAreNotSent checks that start orders of a cancelled job are not sent if they are
// still queued, behind orders that backend servers are slow to answer.
func TestQueuedStartsOfCancelledJobAreNotSent(t *testing.T) {
	run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
		for _, b := range c.site.Backends("stretch") {
			c.site.SetFaults(b, basilfake.BackendFaults{SlowBy: 600 * time.Millisecond})
		}
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), many))
		time.Sleep(800 * time.Millisecond)
		c.cancel(c.other("stretch"), quotePrefix, jobID(1))
		time.Sleep(2 * time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
	})
}

// TestOwnerStartsNothingWhileJobsWatchIsSilent checks that an owner starts no tasks while its watch of jobs is silent,
// although it can still renew its lease: it would not learn of a cancellation.
func TestOwnerStartsNothingWhileJobsWatchIsSilent(t *testing.T) {
	run(t, 3, 4, constant(5*time.Second), func(c *cluster) {
		wholeHosts := `{"spec":"boot","steps":[{"count":6,"cpu":16000,"mem_mb":16,"estimate_ms":5000}]}`
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), wholeHosts))
		time.Sleep(200 * time.Millisecond)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(2), wholeHosts))
		time.Sleep(200 * time.Millisecond)
		owner := c.owner("stretch")
		c.storeFault(12*time.Second, basilfake.StoreFaults{SilentJobs: true})
		c.cancel(c.other("stretch"), quotePrefix, jobID(2))
		time.Sleep(10 * time.Second)
		must.Eq(c.t, nil, c.site.Broken())
		must.Eq(c.t, owner, c.owner("stretch"), must.Sprint("the owner must keep renewing its lease"))
		c.await(quotePrefix, jobID(1), "completed", 14*time.Second)
	})
}

// TestSuccessorRepeatsLostStopsOfCancelledJob checks that a successor ends the tasks of a job that was cancelled while the shard had no
// owner, also if a backend server without other runs doesn't answer the first stops.
func TestSuccessorRepeatsLostStopsOfCancelledJob(t *testing.T) {
	const bound = 3*time.Second + 900*time.Millisecond // the shortest cancel_ms of the deployments, and the time that a stop takes
	run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), many))
		time.Sleep(3 * time.Second)
		must.Eq(c.t, 600, c.site.Running(jobID(1)))
		other := c.other("stretch")
		c.kill(c.owner("stretch"))
		c.cancel(other, quotePrefix, jobID(1))
		for _, b := range c.site.Backends("stretch") {
			c.site.SetFaults(b, basilfake.BackendFaults{Stops: 4})
		}
		time.Sleep(bound)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
	})
}

// TestRunThatBeginsLateIsStopped checks that a run of a cancelled job ends that an otherwise idle backend server begins late, after it
// has started again and nothing tells of the earlier stop.
func TestRunThatBeginsLateIsStopped(t *testing.T) {
	const (
		late  = 2800 * time.Millisecond
		bound = 3*time.Second + 900*time.Millisecond // the shortest contact_ms of the deployments, and the time that a stop takes
	)
	run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
		for _, b := range c.site.Backends("stretch") {
			c.site.SetFaults(b, basilfake.BackendFaults{LateBy: late, Every: 1, Reborn: true})
		}
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), `{"spec":"x","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":20000}]}`))
		time.Sleep(300 * time.Millisecond)
		c.cancel("entry-1", quotePrefix, jobID(1))
		time.Sleep(1200 * time.Millisecond) // until the stop is answered
		for _, b := range c.site.Backends("stretch") {
			c.site.Reborn(b)
		}
		time.Sleep(late - 1400*time.Millisecond)
		must.Eq(c.t, 1, c.site.Running(jobID(1)))
		time.Sleep(bound)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
	})
}

// routed is a configuration with the given version that routes the queue to the given service.
const routed = `{"version":%d,"routes":[{"name":"quote","host":"shop.example","path_prefix":"/quote/","service":"%s","timeout_ms":3000,"slo_ms":600,"stretch":1.6,"max_attempts":3}],
 "services":[{"name":"stretch","enforces_capacity":true},{"name":"press","enforces_capacity":true},{"name":"spare","standby":true}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":8192}}`

// TestCancelAfterRouteChange checks that an entry host that started after a queue was routed to another service cancels a job that is
// stored under the earlier one, rather than answer that there is no such job while its tasks run.
func TestCancelAfterRouteChange(t *testing.T) {
	run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.site.AddPool("press", 2, 16000, 65536, false)
		c.site.Configure(fmt.Sprintf(routed, 2, "press"))
		time.Sleep(time.Second)
		c.start("entry-3")
		time.Sleep(3 * time.Second)
		must.Eq(c.t, 3, c.site.Running(jobID(1)))
		must.Eq(c.t, "active", c.state("entry-3", quotePrefix, jobID(1)))
		c.cancel("entry-3", quotePrefix, jobID(1))
		time.Sleep(time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
		status, _ := c.call("entry-3", http.MethodDelete, quotePrefix+jobID(2), "")
		must.Eq(c.t, http.StatusGone, status)
	})
}

// TestRepeatedSubmissionAfterRouteChangeStartsNothing checks that an entry host that started after a queue was routed to another service
// starts no task of a job that is stored under the earlier one, whether it runs or is cancelled.
func TestRepeatedSubmissionAfterRouteChangeStartsNothing(t *testing.T) {
	for _, running := range []int{3, 0} {
		run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
			c.site.AddPool("press", 2, 16000, 65536, false)
			c.site.Configure(fmt.Sprintf(routed, 2, "press"))
			time.Sleep(time.Second)
			c.start("entry-3")
			time.Sleep(3 * time.Second)
			if running == 0 {
				c.cancel("entry-1", quotePrefix, jobID(1))
				time.Sleep(time.Second)
			}
			must.Eq(c.t, running, c.site.Running(jobID(1)))
			must.Eq(c.t, http.StatusOK, c.submit("entry-3", quotePrefix, jobID(1), twoSteps))
			time.Sleep(2 * time.Second)
			must.Eq(c.t, running, c.site.Running(jobID(1)))
			c.cancel("entry-3", quotePrefix, jobID(1))
			time.Sleep(time.Second)
			must.Eq(c.t, 0, c.site.Running(jobID(1)))
		})
	}
}

// TestRepeatedSubmissionOfCancelledJobStartsNothing checks that a job stays cancelled if its submission is repeated after a takeover,
// also if its tasks saved checkpoints when they were stopped.
func TestRepeatedSubmissionOfCancelledJobStartsNothing(t *testing.T) {
	const body = `{"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":20000,"checkpointing":true}]}`
	run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), body))
		time.Sleep(time.Second)
		must.Eq(c.t, 4, c.site.Running(jobID(1)))
		other := c.other("stretch")
		c.cancel(other, quotePrefix, jobID(1))
		time.Sleep(time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
		c.kill(c.owner("stretch"))
		time.Sleep(4 * time.Second)
		must.Eq(c.t, "canceled", c.state(other, quotePrefix, jobID(1)))
		must.Eq(c.t, http.StatusOK, c.submit(other, quotePrefix, jobID(1), body))
		time.Sleep(2 * time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
	})
}

// TestCancelThatOvertakesSubmission checks that no task of a job starts if its cancelling is answered before its submission is stored, that
// nobody is shown such a job, and that it stays so after a takeover.
func TestCancelThatOvertakesSubmission(t *testing.T) {
	const late = 1500 * time.Millisecond
	for _, assigned := range []bool{true, false} {
		t.Run(fmt.Sprint("queue assigned ", assigned), func(t *testing.T) {
			run(t, 3, 4, constant(20*time.Second), func(c *cluster) {
				if assigned {
					for name := range c.hosts {
						must.Eq(c.t, http.StatusOK, c.submit(name, longPrefix, jobID(100), twoSteps))
						must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(101), twoSteps))
					}
				}
				other := c.other("stretch")
				c.site.Submitted(jobID(1), twoSteps, maxAttempts)
				c.site.Store.SetFaults(basilfake.StoreFaults{LateBy: late})
				submitted := make(chan int, 1)
				go func() {
					status, _ := c.call("entry-1", http.MethodPost, quotePrefix+jobID(1), twoSteps)
					submitted <- status
				}()
				time.Sleep(50 * time.Millisecond)
				c.site.Store.SetFaults(basilfake.StoreFaults{})
				gone := func(name, method string) {
					c.t.Helper()
					status, _ := c.call(name, method, quotePrefix+jobID(1), "")
					must.Eq(c.t, http.StatusGone, status)
				}
				gone("entry-2", http.MethodDelete)
				c.site.Cancelled(jobID(1))
				must.Eq(c.t, http.StatusOK, <-submitted)
				time.Sleep(2 * late)
				gone("entry-1", http.MethodGet)
				gone("entry-3", http.MethodDelete)
				c.kill(c.owner("stretch"))
				time.Sleep(4 * time.Second)
				must.Eq(c.t, http.StatusOK, c.submit(other, quotePrefix, jobID(1), twoSteps))
				time.Sleep(2 * time.Second)
				must.Eq(c.t, 0, c.site.Running(jobID(1)))
				gone(other, http.MethodGet)
				status, body := c.call(other, http.MethodGet, quotePrefix, "")
				must.Eq(c.t, http.StatusOK, status)
				must.Eq(c.t, `{"waiting":0}`, body)
			})
		})
	}
}

// TestTombstonesAreRemoved checks that the row of a job that was cancelled before it was submitted is removed like that of a finished job.
func TestTombstonesAreRemoved(t *testing.T) {
	run(t, 2, 2, constant(200*time.Millisecond), func(c *cluster) {
		status, _ := c.call("entry-1", http.MethodDelete, quotePrefix+jobID(1), "")
		must.Eq(c.t, http.StatusGone, status)
		must.Eq(c.t, []string{"stretch"}, c.storedUnder(jobID(1)))
		c.kill(c.owner("stretch"))
		time.Sleep(2 * time.Minute)
		must.Eq(c.t, []string{"stretch"}, c.storedUnder(jobID(1)))
		time.Sleep(time.Minute)
		must.Len(c.t, 0, c.storedUnder(jobID(1)))
	})
}

// TestCancelThatMayBeStoredIsNotRefused checks that a DELETE is not answered as if nothing were stored if its first write got no answer
// and the store refuses the repeated one.
func TestCancelThatMayBeStoredIsNotRefused(t *testing.T) {
	run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(time.Second)                // until the owner writes the row no more
		const refuses = 900 * time.Millisecond // before the write is carried out, and before its timeout
		c.site.Store.SetFaults(basilfake.StoreFaults{LateBy: refuses + 50*time.Millisecond})
		time.AfterFunc(50*time.Millisecond, func() { c.site.Store.SetFaults(basilfake.StoreFaults{}) })
		time.AfterFunc(refuses, func() { c.site.Store.SetFaults(basilfake.StoreFaults{Busy: true}) })
		status, _ := c.call("entry-1", http.MethodDelete, quotePrefix+jobID(1), "")
		must.Eq(c.t, http.StatusGatewayTimeout, status)
		c.site.Store.SetFaults(basilfake.StoreFaults{})
		time.Sleep(3 * time.Second)
		must.Eq(c.t, "canceled", c.state("entry-1", quotePrefix, jobID(1)))
	})
}
