package basilnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

const smallBandwidth = 20_000_000 / 8 // of the smallest entry hosts of the large deployment

// interruptStore has the store silent for the second half of each interval, until the returned function is called.
func (c *cluster) interruptStore(interval time.Duration) (end func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer c.site.Store.SetFaults(basilfake.StoreFaults{})
		for {
			for _, silent := range []bool{false, true} {
				c.site.Store.SetFaults(basilfake.StoreFaults{Silent: silent})
				select {
				case <-done:
					return
				case <-time.After(interval / 2):
				}
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// TestTakeoverGoesOnThoughReadsEnd checks that an owner reads its pool's jobs though the store falls silent again and again before all rows have
// arrived: what has been read isn't read again.
func TestTakeoverGoesOnThoughReadsEnd(t *testing.T) {
	const (
		jobs     = 1250
		rowBytes = 8 * specBytes // as base64, with the rest of the job and of the row
		read     = jobs * rowBytes * time.Second / smallBandwidth
		silent   = 2 * time.Second
		takeover = 15 * time.Second // but for the read: the lease and the leases of the previous owner's runs, see checkTakeoverOnSlowLink
	)
	run(t, 1, 8, constant(200*time.Millisecond), func(c *cluster) {
		c.storeFinishedJobs(jobs, 5*specBytes)
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.kill("entry-1")
		c.bandwidths = map[string]int{"entry-1": smallBandwidth}
		c.start("entry-1")
		defer c.interruptStore(2 * silent)()
		c.await(quotePrefix, jobID(1), "completed", 2*read+takeover)
	})
}

// TestOwnerReloadsRowsThoughReadsEnd checks the same for an owner that reads all rows again since the store has dropped its history.
func TestOwnerReloadsRowsThoughReadsEnd(t *testing.T) {
	const (
		jobs     = 1250
		rowBytes = 8 * specBytes // as base64, with the rest of the job and of the row
		read     = jobs * rowBytes * time.Second / smallBandwidth
		silent   = 2 * time.Second
	)
	run(t, 1, 8, constant(200*time.Millisecond), func(c *cluster) {
		c.kill("entry-1")
		c.bandwidths = map[string]int{"entry-1": smallBandwidth}
		c.start("entry-1")
		time.Sleep(10 * time.Second)
		c.storeFinishedJobs(jobs, 5*specBytes)
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 3*time.Second)
		c.hosts["entry-1"].link.SetCut(true)
		c.storeFinishedJobs(1, specBytes) // answers the watch that was open
		c.storeFinishedJobs(1, specBytes)
		c.site.Store.DropHistory()
		c.hosts["entry-1"].link.SetCut(false)
		defer c.interruptStore(2 * silent)()
		time.Sleep(4*silent + silent/4) // the rows read before are too old to start tasks
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(2), twoSteps))
		c.await(quotePrefix, jobID(2), "completed", 2*read)
	})
}

// TestTakeoverTimeFollowsRows checks that the time of a takeover grows by no more than the time that the link takes to carry the rows, of jobs that
// an earlier release has ended, with their payloads, and of others.
func TestTakeoverTimeFollowsRows(t *testing.T) {
	const takeover = 15 * time.Second // of a pool without rows, see checkTakeoverOnSlowLink
	for _, test := range []struct {
		payload, rowBytes int // the latter as base64, with the rest of the job and of the row
	}{{specBytes, 2 * specBytes}, {0, specBytes / 2}} {
		for _, bandwidth := range []int{smallBandwidth, 50 * smallBandwidth} {
			for _, rows := range poolRows {
				t.Run(fmt.Sprintf("%d rows of %d bytes, %d Mbit_s", rows, test.rowBytes, bandwidth*8/1_000_000), func(t *testing.T) {
					run(t, 1, 8, constant(200*time.Millisecond), func(c *cluster) {
						c.storeFinishedJobs(rows, test.payload)
						must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
						c.kill("entry-1")
						c.bandwidths = map[string]int{"entry-1": bandwidth}
						began := time.Now()
						c.start("entry-1")
						c.await(quotePrefix, jobID(1), "completed", takeover+time.Duration(rows*test.rowBytes)*time.Second/time.Duration(bandwidth))
						t.Logf("completed %v after the kill", time.Since(began).Round(100*time.Millisecond))
					})
				})
			}
		}
	}
}

// TestLongRunningTasksOutlastTakeoverOnSlowLink checks that the leases of long-running tasks are renewed by a new owner whose link takes longer to
// carry the pool's rows than the leases last.
func TestLongRunningTasksOutlastTakeoverOnSlowLink(t *testing.T) {
	const jobs = 2500 // 8 s
	run(t, 1, 8, constant(200*time.Millisecond), func(c *cluster) {
		c.storeFinishedJobs(jobs, 5*specBytes)
		must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, serving))
		time.Sleep(3 * time.Second)
		c.kill("entry-1")
		c.bandwidths = map[string]int{"entry-1": smallBandwidth}
		c.start("entry-1")
		time.Sleep(20 * time.Second)
		must.Len(t, 12, c.site.Runs())
		must.Len(t, 0, c.absences(longRunningID))
		must.Eq(t, 12, c.site.Running(longRunningID))
	})
}

// TestCancelledRunsEndDuringTakeoverOnSlowLink checks that the runs of a job that is cancelled while a new owner reads its pool's jobs end as soon as
// the platform asks, though the owner renews the leases of all runs meanwhile.
func TestCancelledRunsEndDuringTakeoverOnSlowLink(t *testing.T) {
	const (
		jobs   = 10_000                               // 8 s
		bounds = 4*time.Second + 900*time.Millisecond // cancel_ms and stop_timeout_ms of the deployments
	)
	run(t, 2, 8, constant(200*time.Millisecond), func(c *cluster) {
		owner, other := c.owner("stretch"), c.other("stretch")
		must.Eq(t, http.StatusOK, c.submit(owner, longPrefix, longRunningID, serving))
		c.kill(other)
		c.bandwidths = map[string]int{other: smallBandwidth}
		c.start(other)
		time.Sleep(5 * time.Second)
		c.storeFinishedJobs(jobs, specBytes)
		must.Eq(t, 12, c.site.Running(longRunningID))
		c.kill(owner)
		for c.owner("stretch") != other {
			time.Sleep(50 * time.Millisecond)
		}
		c.start(owner)
		time.Sleep(time.Second)
		c.cancel(owner, longPrefix, longRunningID)
		acked := time.Now()
		for c.site.Running(longRunningID) > 0 && time.Since(acked) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		must.LessEq(t, bounds, time.Since(acked))
	})
}
