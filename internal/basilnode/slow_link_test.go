package basilnode_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

const linkPieceBytes = 8 << 10

// limitBandwidth returns the transport of an entry host's calls, with the bandwidth of its link.
func (c *cluster) limitBandwidth(name string, t http.RoundTripper) http.RoundTripper {
	if c.bandwidths[name] == 0 {
		return t
	}
	return &slowLink{RoundTripper: t, bandwidth: c.bandwidths[name]}
}

// slowLink carries the answers of concurrent calls piece by piece.
type slowLink struct {
	http.RoundTripper
	bandwidth int // bytes per second
	mutex     sync.Mutex
	freeAt    time.Time // when the link has carried all pieces so far
}

func (l *slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	a, err := l.RoundTripper.RoundTrip(r)
	if err == nil {
		a.Body = &slowBody{ReadCloser: a.Body, ctx: r.Context(), link: l}
	}
	return a, err
}

// reserve returns the time until the link has carried a piece.
func (l *slowLink) reserve(bytes int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.bandwidth))
	return l.freeAt.Sub(now)
}

// slowBody is the body of an answer that a slowLink carries.
type slowBody struct {
	io.ReadCloser
	ctx  context.Context
	link *slowLink
}

func (b *slowBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), linkPieceBytes)])
	if err := basiltimer.Wait(b.ctx, b.link.reserve(n)); err != nil {
		return 0, err
	}
	return n, err
}

// storeFinishedJobs stores the rows of jobs that have ended.
func (c *cluster) storeFinishedJobs(count, specBytes int) {
	const rowsPerTransaction = 90
	client := basilsite.NewClientOn(c.network)
	store := basilsite.NewStore(client, func() string { return basilfake.StoreAddress }, time.Second)
	var t basilplatform.Transaction
	for n := range count {
		r := basilwork.Record{State: basilwork.JobStateCompleted, Finished: time.Now().UnixMilli(), Job: basilwork.Job{
			ID: jobID(1<<20 + n), Queue: "quote", Payload: strings.Repeat("s", specBytes), Steps: []basilwork.Step{{Count: 1}},
		}}
		body, err := json.Marshal(r)
		must.NoError(c.t, err)
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: basilledger.Key("stretch", r.Job.ID), Precondition: basilplatform.PreconditionNone, Body: body,
		})
		if len(t.Writes) == rowsPerTransaction || n == count-1 {
			must.NoError(c.t, store.Transact(c.t.Context(), t))
			t.Writes = nil
			time.Sleep(200 * time.Millisecond) // watches bring the rows meanwhile
		}
	}
}

const (
	slowBandwidth = 10_000_000 / 8 // of the smallest entry hosts of the platform's deployments
	storedJobs    = 1144           // of one pool in a minute, at 19 per second
	specBytes     = 1000           // a quarter of what callers may send
)

// TestAcceptedJobRunsAfterTakeoverOnSlowLink checks that a job that was accepted runs after a takeover by an entry host whose link takes
// some seconds to carry all of the pool's rows.
func TestAcceptedJobRunsAfterTakeoverOnSlowLink(t *testing.T) {
	checkTakeoverOnSlowLink(t, slowBandwidth, specBytes, 15*time.Second) // the lease, the read of the rows and the leases of the previous owner's runs
}

// TestAcceptedJobRunsAfterStoreDropsHistoryOnSlowLink checks that an owner whose link takes some seconds to carry all of the pool's rows
// starts tasks again after the store has dropped its history.
func TestAcceptedJobRunsAfterStoreDropsHistoryOnSlowLink(t *testing.T) {
	const reload = 10 * time.Second // of all rows
	run(t, 1, 8, constant(200*time.Millisecond), func(c *cluster) {
		c.kill("entry-1")
		c.bandwidths = map[string]int{"entry-1": slowBandwidth}
		c.start("entry-1")
		time.Sleep(10 * time.Second)
		c.storeFinishedJobs(storedJobs, specBytes)
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 3*time.Second)
		c.hosts["entry-1"].link.SetCut(true)
		c.storeFinishedJobs(1, specBytes) // answers the watch that was open
		c.storeFinishedJobs(1, specBytes)
		c.site.Store.DropHistory()
		c.hosts["entry-1"].link.SetCut(false)
		time.Sleep(3 * time.Second) // the rows read before are too old to start tasks
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(2), twoSteps))
		c.await(quotePrefix, jobID(2), "completed", reload)
	})
}

// TestAcceptedJobRunsAfterTakeoverOnSharedSlowLink checks the same where the specs are as long as callers may send, and another pool's rows
// are read over the same link at the time. A page of rows had to arrive within the time limit of a call.
func TestAcceptedJobRunsAfterTakeoverOnSharedSlowLink(t *testing.T) {
	checkTakeoverOnSlowLink(t, slowBandwidth/2, 4*specBytes, 30*time.Second) // as above; the rows take about ten seconds
}

// checkTakeoverOnSlowLink checks that an accepted job is done within the given time after a takeover by an entry host with the bandwidth, in
// bytes per second, which has to read all rows of its pool first.
func checkTakeoverOnSlowLink(t *testing.T, bandwidth, specBytes int, takeover time.Duration) {
	t.Helper()
	run(t, 1, 8, constant(200*time.Millisecond), func(c *cluster) {
		c.storeFinishedJobs(storedJobs, specBytes)
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.kill("entry-1")
		c.bandwidths = map[string]int{"entry-1": bandwidth}
		c.start("entry-1")
		c.await(quotePrefix, jobID(1), "completed", takeover)
	})
}
