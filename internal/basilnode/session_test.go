package basilnode_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestSession compares the responses to a sequence of callers' requests with a golden file.
func TestSession(t *testing.T) {
	run(t, 3, 4, constant(500*time.Millisecond), func(c *cluster) {
		var session strings.Builder
		request := func(host, method, path, body string) {
			if method == http.MethodPost {
				c.site.Submitted(strings.TrimPrefix(strings.TrimPrefix(path, quotePrefix), longPrefix), body, maxAttempts)
			}
			status, answer := c.call(host, method, path, body)
			fmt.Fprintf(&session, "%s %s -> %d %s\n", method, path, status, answer)
		}
		id := jobID(1)
		request("entry-1", "POST", quotePrefix+id, twoSteps)
		request("entry-2", "POST", quotePrefix+id, twoSteps)
		request("entry-3", "GET", quotePrefix+id, "")
		request("entry-3", "GET", longPrefix+id, "")
		time.Sleep(2 * time.Second)
		request("entry-2", "GET", quotePrefix+id, "")
		request("entry-2", "GET", quotePrefix, "")
		request("entry-1", "DELETE", quotePrefix+id, "")
		request("entry-1", "GET", quotePrefix+jobID(2), "")
		request("entry-1", "DELETE", quotePrefix+jobID(2), "")
		request("entry-1", "GET", "/nowhere/"+id, "")
		request("entry-1", "POST", quotePrefix+"short", twoSteps)
		request("entry-1", "POST", quotePrefix+jobID(3), `{"spec":`)
		request("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"x","steps":[{"count":1,"after":[0]}]}`)
		request("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"x","steps":[{"count":1,"cpu":500000}]}`)
		request("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"x","steps":[{"count":0}]}`)
		request("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"`+strings.Repeat("x", 9000)+`"}`)
		request("entry-1", "PUT", quotePrefix+jobID(3), "")
		request("entry-1", "POST", longPrefix+longRunningID, longRunningJob)
		time.Sleep(2 * time.Second)
		request("entry-2", "GET", longPrefix+longRunningID, "")
		request("entry-2", "DELETE", longPrefix+longRunningID, "")
		time.Sleep(2 * time.Second)
		request("entry-3", "GET", longPrefix+longRunningID, "")
		must.Eq(c.t, 0, c.site.Running(""))
		goldie.New(c.t).Assert(c.t, "session", []byte(session.String()))
	})
}

// TestNotReadyWithoutConfiguration checks that an entry host rejects requests and isn't ready until it has loaded a
// configuration.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	run(t, 1, 1, constant(time.Second), func(c *cluster) {
		c.site.Store.SetFaults(basilfake.StoreFaults{Silent: true})
		c.start("entry-2")
		time.Sleep(time.Second)
		status, _ := c.call("entry-2", http.MethodPost, quotePrefix+jobID(1), twoSteps)
		must.Eq(c.t, http.StatusServiceUnavailable, status)
		must.False(c.t, c.hosts["entry-2"].node.Ready())
		c.site.Store.SetFaults(basilfake.StoreFaults{})
		time.Sleep(5 * time.Second)
		must.True(c.t, c.hosts["entry-2"].node.Ready())
	})
}

// TestFailingJobDoesNotAffectOthers checks that a job whose tasks always fail is failed after its attempts and doesn't
// affect other jobs.
func TestFailingJobDoesNotAffectOthers(t *testing.T) {
	failing := jobID(7)
	work := func(task string, _ int) (time.Duration, bool) {
		return 300 * time.Millisecond, strings.HasPrefix(task, failing)
	}
	run(t, 2, 3, work, func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, failing, twoSteps))
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(8), twoSteps))
		c.await(quotePrefix, jobID(8), "completed", 4*time.Second)
		c.await(quotePrefix, failing, "failed", 8*time.Second)
	})
}

// TestStartsTasksWithTickets checks that tasks of a queue with recommendations are started with the tickets that the
// platform requires.
func TestStartsTasksWithTickets(t *testing.T) {
	run(t, 2, 4, constant(300*time.Millisecond), func(c *cluster) {
		c.site.RequireTickets()
		c.site.Configure(fmt.Sprintf(configuration, 2, `,"recommendation":{"decide_ms":20,"per_item_ms":0,"valid_ms":3000}`))
		time.Sleep(time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 4*time.Second)
	})
}

// TestAppliesNewestConfigurationAfterHistoryIsDropped checks that the newest configuration is applied even if the store has
// dropped the history that the watch needs.
func TestAppliesNewestConfigurationAfterHistoryIsDropped(t *testing.T) {
	run(t, 2, 3, constant(300*time.Millisecond), func(c *cluster) {
		c.site.Store.DropHistory()
		changed := strings.Replace(fmt.Sprintf(configuration, 9, ""), `"path_prefix":"/quote/"`, `"path_prefix":"/price/"`, 1)
		c.site.Configure(changed)
		time.Sleep(time.Second)
		for name := range c.hosts {
			status, _ := c.call(name, http.MethodGet, quotePrefix+jobID(1), "")
			must.Eq(c.t, http.StatusNotFound, status)
		}
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", "/price/", jobID(1), twoSteps))
		c.await("/price/", jobID(1), "completed", 4*time.Second)
	})
}

// TestFinishedJobsAreRemoved checks that a finished job's state is kept for the configured time and its row then removed.
func TestFinishedJobsAreRemoved(t *testing.T) {
	run(t, 2, 3, constant(300*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
		c.await(quotePrefix, jobID(1), "completed", 4*time.Second)
		time.Sleep(2 * time.Minute)
		must.Eq(c.t, "completed", c.state("entry-2", quotePrefix, jobID(1)))
		time.Sleep(50 * time.Second)
		must.Eq(c.t, "Gone", c.state("entry-2", quotePrefix, jobID(1)))
		must.Eq(c.t, "active", c.state("entry-2", longPrefix, longRunningID))
	})
}

// TestManyFinishedJobsAreRemoved checks that rows of finished jobs are removed as fast as jobs finish. Otherwise a pool's
// table would grow without bound.
func TestManyFinishedJobsAreRemoved(t *testing.T) {
	const jobs = 300
	small := `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":300}]}`
	run(t, 2, 3, constant(300*time.Millisecond), func(c *cluster) {
		for n := range jobs {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), small))
		}
		time.Sleep(5 * time.Second)
		must.Eq(c.t, "completed", c.state("entry-2", quotePrefix, jobID(jobs-1)))
		time.Sleep(2*time.Minute + 45*time.Second)
		for n := range jobs {
			must.Eq(c.t, "Gone", c.state("entry-2", quotePrefix, jobID(n)))
		}
	})
}
