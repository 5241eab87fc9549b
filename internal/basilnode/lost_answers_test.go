package basilnode_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lossyLink carries all calls, and loses the answers of transactions that name a table.
type lossyLink struct {
	http.RoundTripper
	table *atomic.Pointer[string] // nil for none
}

func (l *lossyLink) RoundTrip(r *http.Request) (*http.Response, error) {
	table := l.table.Load()
	if table == nil || r.Method != http.MethodPost || r.URL.Path != "/api/rows-tx" {
		return l.RoundTripper.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	carried := r.Clone(r.Context())
	carried.Body = io.NopCloser(bytes.NewReader(body))
	a, err := l.RoundTripper.RoundTrip(carried)
	if err != nil || !bytes.Contains(body, fmt.Appendf(nil, `"table":%q`, *table)) {
		return a, err
	}
	_ = a.Body.Close() // nothing reads it
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// loseAnswers has the answers of all transactions lost that name the table.
func (c *cluster) loseAnswers(table string) { c.lostTable.Store(&table) }

// TestTaskStartsOnNewBackendThoughAnswersOfItsRowAreLost checks that tasks start on servers that have just come while the store carries out the
// writes of their rows and the answers are lost.
func TestTaskStartsOnNewBackendThoughAnswersOfItsRowAreLost(t *testing.T) {
	const bound = 3 * time.Second // for which a task may wait with capacity for it, by the rule LOST
	run(t, 1, 1, constant(200*time.Millisecond), func(c *cluster) {
		c.loseAnswers("backends")
		c.site.AddPool("stretch", 2, 32000, 65536, false)
		wholeHosts := `{"spec":"boot","steps":[{"count":2,"cpu":32000,"mem_mb":512,"estimate_ms":500}]}`
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), wholeHosts))
		c.await(quotePrefix, jobID(1), "completed", bound)
	})
}

// TestNextStepStartsThoughAnswersOfGroupCommitsAreLost checks that the steps of a job follow each other while the store carries out the
// owner's group commits and the answers are lost.
func TestNextStepStartsThoughAnswersOfGroupCommitsAreLost(t *testing.T) {
	const bound = 3 * time.Second // for which a task may wait with capacity for it, by the rule LOST
	run(t, 1, 4, constant(200*time.Millisecond), func(c *cluster) {
		c.loseAnswers("jobs-stretch")
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", bound)
	})
}

// TestCancelIsAnsweredThoughAnswersOfWritesAreLost checks that callers don't wait for the timeout of the write that stores their cancellation.
func TestCancelIsAnsweredThoughAnswersOfWritesAreLost(t *testing.T) {
	const writeTimeout = 1200 * time.Millisecond // the shortest one
	run(t, 2, 4, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(time.Second)
		c.loseAnswers("jobs-stretch")
		began := time.Now()
		c.cancel("entry-2", quotePrefix, jobID(1))
		must.Less(c.t, writeTimeout, time.Since(began))
	})
}
