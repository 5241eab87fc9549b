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

// TestSession walks through a caller's whole session on the platform.
func TestSession(t *testing.T) {
	run(t, 3, 4, constant(500*time.Millisecond), func(c *cluster) {
		var session strings.Builder
		say := func(host, method, path, body string) {
			if method == http.MethodPost {
				c.site.Submitted(strings.TrimPrefix(strings.TrimPrefix(path, quotePrefix), longPrefix), body, maxAttempts)
			}
			status, answer := c.call(host, method, path, body)
			fmt.Fprintf(&session, "%s %s -> %d %s\n", method, path, status, answer)
		}
		id := jobID(1)
		say("entry-1", "POST", quotePrefix+id, twoSteps)
		say("entry-2", "POST", quotePrefix+id, twoSteps)
		say("entry-3", "GET", quotePrefix+id, "")
		say("entry-3", "GET", longPrefix+id, "")
		time.Sleep(2 * time.Second)
		say("entry-2", "GET", quotePrefix+id, "")
		say("entry-2", "GET", quotePrefix, "")
		say("entry-1", "DELETE", quotePrefix+id, "")
		say("entry-1", "GET", quotePrefix+jobID(2), "")
		say("entry-1", "DELETE", quotePrefix+jobID(2), "")
		say("entry-1", "GET", "/nowhere/"+id, "")
		say("entry-1", "POST", quotePrefix+"short", twoSteps)
		say("entry-1", "POST", quotePrefix+jobID(3), `{"spec":`)
		say("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"x","steps":[{"count":1,"after":[0]}]}`)
		say("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"x","steps":[{"count":1,"cpu":500000}]}`)
		say("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"x","steps":[{"count":0}]}`)
		say("entry-1", "POST", quotePrefix+jobID(3), `{"spec":"`+strings.Repeat("x", 9000)+`"}`)
		say("entry-1", "PUT", quotePrefix+jobID(3), "")
		say("entry-1", "POST", longPrefix+lastID, lasting)
		time.Sleep(2 * time.Second)
		say("entry-2", "GET", longPrefix+lastID, "")
		say("entry-2", "DELETE", longPrefix+lastID, "")
		time.Sleep(2 * time.Second)
		say("entry-3", "GET", longPrefix+lastID, "")
		must.Eq(c.t, 0, c.site.Running(""))
		goldie.New(c.t).Assert(c.t, "session", []byte(session.String()))
	})
}

// TestNoConfiguration refuses callers as long as there is nothing to serve.
func TestNoConfiguration(t *testing.T) {
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

// TestPoison fails a job after its attempts, and leaves the others alone.
func TestPoison(t *testing.T) {
	poisoned := jobID(7)
	work := func(task string, _ int) (time.Duration, bool) {
		return 300 * time.Millisecond, strings.HasPrefix(task, poisoned)
	}
	run(t, 2, 3, work, func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, poisoned, twoSteps))
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(8), twoSteps))
		c.await(quotePrefix, jobID(8), "completed", 4*time.Second)
		c.await(quotePrefix, poisoned, "failed", 8*time.Second)
	})
}

// TestTickets starts the tasks of a queue that needs advice.
func TestTickets(t *testing.T) {
	run(t, 2, 4, constant(300*time.Millisecond), func(c *cluster) {
		c.site.RequireTickets()
		c.site.Configure(fmt.Sprintf(configuration, 2, `,"recommendation":{"decide_ms":20,"per_item_ms":0,"valid_ms":3000}`))
		time.Sleep(time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 4*time.Second)
	})
}

// TestConfigurationTakenUp follows the newest configuration, also after the history was dropped.
func TestConfigurationTakenUp(t *testing.T) {
	run(t, 2, 3, constant(300*time.Millisecond), func(c *cluster) {
		c.site.Store.DropHistory()
		shorter := strings.Replace(fmt.Sprintf(configuration, 9, ""), `"path_prefix":"/quote/"`, `"path_prefix":"/price/"`, 1)
		c.site.Configure(shorter)
		time.Sleep(time.Second)
		for name := range c.hosts {
			status, _ := c.call(name, http.MethodGet, quotePrefix+jobID(1), "")
			must.Eq(c.t, http.StatusNotFound, status)
		}
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", "/price/", jobID(1), twoSteps))
		c.await("/price/", jobID(1), "completed", 4*time.Second)
	})
}

// TestFinishedJobsAreForgotten keeps a finished job's state for as long as promised, and its row not for ever.
func TestFinishedJobsAreForgotten(t *testing.T) {
	run(t, 2, 3, constant(300*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, lastID, lasting))
		c.await(quotePrefix, jobID(1), "completed", 4*time.Second)
		time.Sleep(2 * time.Minute)
		must.Eq(c.t, "completed", c.state("entry-2", quotePrefix, jobID(1)))
		time.Sleep(50 * time.Second)
		must.Eq(c.t, "Gone", c.state("entry-2", quotePrefix, jobID(1)))
		must.Eq(c.t, "active", c.state("entry-2", longPrefix, lastID))
	})
}

// TestManyFinishedJobsAreForgotten removes the rows of jobs as fast as jobs end: a pool's table does not grow for ever.
func TestManyFinishedJobsAreForgotten(t *testing.T) {
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
