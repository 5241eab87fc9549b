package basilnode_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// configureLargeJobs has jobs accepted whose rows are as large as the store takes them.
func (c *cluster) configureLargeJobs() {
	c.site.Store.SetLimits(basilfake.StoreLimits{RowBytes: maxRowBytes})
	c.site.Configure(fmt.Sprintf(strings.Replace(configuration, `"max_body_bytes":8192`, `"max_body_bytes":262144`, 1), 2, ""))
	time.Sleep(time.Second)
}

// manySteps returns a job of tasks with a small step each, which all run after the first and name an image of their own.
func manySteps(steps, cpu int, tag string) string {
	var list []string
	for n := range steps {
		after := ""
		if n > 0 {
			after = `,"after":[0]`
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":%d,"mem_mb":16,"estimate_ms":300,"image":"registry.example/part-%04d:2026-12-05.1%s"%s}`, cpu, n, tag, after))
	}
	return `{"spec":"x","steps":[` + strings.Join(list, ",") + `]}`
}

const quickJob = `{"spec":"x","steps":[{"count":2,"cpu":100,"mem_mb":16,"estimate_ms":300}]}`

// TestJobsAreStoredThoughOneOutgrowsItsRow checks that jobs are shown as completed while the progress of another job, which was
// accepted with a row of nearly the largest size, doesn't fit into that row.
func TestJobsAreStoredThoughOneOutgrowsItsRow(t *testing.T) {
	run(t, 2, 2, constant(300*time.Millisecond), func(c *cluster) {
		c.configureLargeJobs()
		steps := 800
		for ; c.submit("entry-1", quotePrefix, jobID(1000+steps), manySteps(steps, 3000, "")) != http.StatusOK; steps-- {
			must.Greater(t, 300, steps)
		}
		time.Sleep(3 * time.Second)
		for n := range 10 {
			must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), quickJob))
		}
		for n := range 10 {
			c.await(quotePrefix, jobID(n), "completed", 5*time.Second)
		}
	})
}

// submitLargest submits jobs with fewer and fewer steps until one is accepted, and then one that is as much larger as it may be. It returns
// the ID of the latter.
func (c *cluster) submitLargest(steps int) string {
	c.t.Helper()
	body, first := "", 1000
	for status := 0; status != http.StatusOK; steps-- {
		must.Positive(c.t, steps)
		body = manySteps(steps, 3000, "")
		first++
		status = c.submit("entry-1", quotePrefix, jobID(first), body)
	}
	c.cancel("entry-1", quotePrefix, jobID(first))
	for n := range 200 {
		id := jobID(2000 + 200 - n)
		if c.submit("entry-1", quotePrefix, id, strings.Replace(body, `"spec":"x"`, `"spec":"`+strings.Repeat("x", 200-n)+`"`, 1)) == http.StatusOK {
			return id
		}
	}
	c.t.Fatal("no job was accepted")
	return ""
}

// TestJobIsStoredThoughItOutgrowsItsRow checks that a job whose row was as large as the store takes it before it ran is carried on with by
// the next owner and completed, and that all ends of its runs are acknowledged.
func TestJobIsStoredThoughItOutgrowsItsRow(t *testing.T) {
	run(t, 3, 2, constant(300*time.Millisecond), func(c *cluster) {
		c.configureLargeJobs()
		id := c.submitLargest(700)
		time.Sleep(8 * time.Second)
		must.Eq(t, "active", c.state("entry-1", quotePrefix, id))
		must.Less(t, 50, c.site.EndsListed("stretch"))
		c.kill(c.owner("stretch"))
		c.await(quotePrefix, id, "completed", time.Minute)
		time.Sleep(time.Second)
		must.Zero(t, c.site.EndsListed("stretch"))
	})
}

// TestJobOfLargestRowIsCancelled checks that a job is cancelled whose row was as large as the store takes it.
func TestJobOfLargestRowIsCancelled(t *testing.T) {
	run(t, 2, 2, constant(300*time.Millisecond), func(c *cluster) {
		c.configureLargeJobs()
		id := c.submitLargest(700)
		c.cancel("entry-1", quotePrefix, id)
		must.Eq(t, "canceled", c.state("entry-1", quotePrefix, id))
	})
}

// TestLargeJobsAreStoredTogether checks that many jobs with large rows that change at once are stored, though all of them exceed the largest
// size of a transaction.
func TestLargeJobsAreStoredTogether(t *testing.T) {
	run(t, 2, 8, constant(300*time.Millisecond), func(c *cluster) {
		c.configureLargeJobs()
		large := manySteps(40, 10, strings.Repeat("x", 1000))
		for n := range 40 {
			must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), large))
		}
		for n := range 40 {
			c.await(quotePrefix, jobID(n), "completed", 20*time.Second)
		}
		time.Sleep(time.Second)
		must.Zero(t, c.site.EndsListed("stretch"))
	})
}
