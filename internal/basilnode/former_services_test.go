package basilnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
)

// TestJobOfReleaseWithoutAssignmentsIsKnown checks that a job that a release without assignments stored is shown and can be cancelled.
func TestJobOfReleaseWithoutAssignmentsIsKnown(t *testing.T) {
	run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
		ledger := c.ledger()
		c.site.Submitted(jobID(1), twoSteps, maxAttempts)
		job, err := basilsite.Codec{}.Job(jobID(1), "quote", []byte(twoSteps))
		must.NoError(c.t, err)
		a, err := basilledger.NewAcceptance(&basilwork.Record{Job: *job, Accepted: time.Now().UnixMilli()})
		must.NoError(c.t, err)
		must.NoError(c.t, ledger.Accept(c.t.Context(), "stretch", a))
		time.Sleep(time.Second)
		must.Eq(c.t, 3, c.site.Running(jobID(1)))
		must.Eq(c.t, "active", c.state("entry-1", quotePrefix, jobID(1)))
		c.cancel("entry-1", quotePrefix, jobID(1))
		time.Sleep(time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
	})
}

// TestWaitingCountsJobsOfServiceThatQueueHadMeanwhile checks that an entry host without submissions counts the waiting jobs of a service
// that the queue was routed to and away from since it last read the queue's assignment.
func TestWaitingCountsJobsOfServiceThatQueueHadMeanwhile(t *testing.T) {
	body := fmt.Sprintf(dueAfterTest, time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli())
	run(t, 2, 1, constant(time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(0), body))
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(0), body))
		c.site.Configure(fmt.Sprintf(routedTo, 2, "press"))
		time.Sleep(time.Second)
		for n := range 10 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1+n), body))
		}
		c.site.Configure(fmt.Sprintf(routedTo, 3, "stretch"))
		time.Sleep(30 * time.Second)
		_, first := c.call("entry-1", http.MethodGet, quotePrefix, "")
		_, second := c.call("entry-2", http.MethodGet, quotePrefix, "")
		must.Eq(c.t, `{"waiting":11}`, first)
		must.Eq(c.t, `{"waiting":11}`, second)
	})
}
