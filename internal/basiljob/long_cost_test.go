package basiljob_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

// tableCost returns the number of items that the table read and wrote while f ran.
func (w *testCluster) tableCost(f func()) (reads, writes int64) {
	readsBefore, writesBefore := w.table.Counts()
	f()
	reads, writes = w.table.Counts()
	return reads - readsBefore, writes - writesBefore
}

// TestLongJobTableCost checks the number of table reads and writes per job; docs/decisions/long-jobs.md extrapolates from them.
func TestLongJobTableCost(t *testing.T) {
	tests := []struct {
		name          string
		idempotent    bool
		reads, writes int64
	}{
		{"non-idempotent", false, 3, 10},
		{"idempotent, one checkpoint", true, 3, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(1, shortLease)
				o := w.owners[0]
				w.stepFor(time.Second)
				idleReads, _ := w.tableCost(func() { w.stepFor(time.Minute) })
				reads, writes := w.tableCost(func() {
					a, err := o.jobs.Accept(t.Context(), longRequest("boots", tt.idempotent))
					must.NoError(t, err)
					w.stepFor(time.Minute)
					a, err = o.jobs.Get(t.Context(), a.ID)
					must.NoError(t, err)
					must.Eq(t, basilapi.OutcomeRan, a.Outcome)
				})
				t.Logf("reads: %d, of which %d searches a minute; writes: %d", reads, idleReads, writes)
				must.Eq(t, tt.writes, writes)
				must.Between(t, tt.reads, reads-idleReads, tt.reads+10) // searches read more items while a job is open
			})
		})
	}
}

func TestCancelBurstOfLongJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, cancels, cancelRate, maxWait = 500, 10_000, 20, 5
		w := newTestCluster(1, longLease)
		w.placer.workers = nil // no job is started
		o := w.owners[0]
		var ids []basilapi.JobID
		for range jobs {
			a, err := o.jobs.Accept(t.Context(), longRequest("boots", false))
			must.NoError(t, err)
			ids = append(ids, a.ID)
		}
		var cancelled, rejected atomic.Int64
		var wait sync.WaitGroup
		_, writes := w.tableCost(func() {
			for n := range cancels {
				wait.Go(func() {
					_, err := o.jobs.Cancel(t.Context(), ids[n%jobs])
					if p, ok := basilapi.AsProblem(err); ok {
						must.Eq(t, basilapi.OutcomeUnknown, p.Outcome)
						must.Positive(t, p.RetryAfterMS)
						rejected.Add(1)
						return
					}
					must.NoError(t, err)
					cancelled.Add(1)
				})
			}
			wait.Wait()
		})
		expected := cancelRate * (maxWait + 1) // the burst, and the cancellations that wait no longer than the maximum
		must.Eq(t, int64(4*expected), writes)
		must.Between(t, int64(expected), cancelled.Load(), int64(expected*cancels/jobs))
		must.Eq(t, cancels, cancelled.Load()+rejected.Load())

		time.Sleep(time.Second) // rejected cancellations don't count against the rate limit
		for _, id := range ids[jobs-cancelRate/2:] {
			began := time.Now()
			_, err := o.jobs.Cancel(t.Context(), id)
			must.NoError(t, err)
			must.Eq(t, 0, time.Since(began))
		}
	})
}

// TestRepeatedCancelIsNotRateLimited cancels one job sequentially, more often than the rate limit allows for different jobs.
func TestRepeatedCancelIsNotRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cancels = 1000
		w := newTestCluster(1, longLease)
		o := w.owners[0]
		a, err := o.jobs.Accept(t.Context(), longRequest("boots", false))
		must.NoError(t, err)
		began := time.Now()
		reads, writes := w.tableCost(func() {
			for range cancels {
				got, err := o.jobs.Cancel(t.Context(), a.ID)
				must.NoError(t, err)
				must.Eq(t, basilapi.OutcomeNotRun, got.Outcome)
			}
		})
		must.Eq(t, 0, time.Since(began))
		must.Eq(t, 1, reads)
		must.Eq(t, 4, writes)
	})
}

func TestSearchCostIsIndependentOfOtherOwnersJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, owners = 500, 3
		w := newTestCluster(owners, longLease)
		w.placer.workers = nil // no job is started
		for _, o := range w.owners {
			for range jobs {
				_, err := o.jobs.Accept(t.Context(), longRequest("boots", false))
				must.NoError(t, err)
			}
		}
		extra := w.newOwner()
		must.NoError(t, extra.jobs.Step(t.Context()))
		time.Sleep(5 * time.Second)
		reads, writes := w.tableCost(func() { must.NoError(t, extra.jobs.Step(t.Context())) })
		must.Eq(t, 0, writes)
		must.Eq(t, 2*owners+1, reads) // one query per owner, and a last one that finds no further owner

		w.members.declareGone(w.owners[0].incarnation)
		time.Sleep(5 * time.Second)
		_, writes = w.tableCost(func() { must.NoError(t, extra.jobs.Step(t.Context())) })
		must.Eq(t, jobs, extra.jobs.Owned())
		must.Eq(t, 3*jobs, writes)
	})
}

func TestSweepDeletesEndedJobsAndTheirIDsStayRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const day = 24 * time.Hour
		w := newTestCluster(1, longLease)
		o := w.owners[0]
		r := longRequest("boots", false)
		r.ID = basilapi.NewJobID("fukuoka", o.incarnation)
		_, err := o.jobs.Accept(t.Context(), r)
		must.NoError(t, err)
		w.stepFor(time.Minute)
		for _, tt := range []struct {
			after   time.Duration
			deleted int
			outcome basilapi.Outcome // answer to the same submit, repeated
		}{{0, 0, basilapi.OutcomeRan}, {6 * day, 0, basilapi.OutcomeRan}, {2 * day, 1, basilapi.OutcomeUnknown}, {0, 0, basilapi.OutcomeUnknown}} {
			time.Sleep(tt.after)
			n, err := o.jobs.Sweep(t.Context())
			must.NoError(t, err)
			must.Eq(t, tt.deleted, n)
			a, _ := o.jobs.Accept(t.Context(), r)
			must.Eq(t, tt.outcome, a.Outcome)
		}
		_, err = o.jobs.Get(t.Context(), r.ID)
		must.True(t, basiljob.IsErrJobNotExist(err))
		must.Eq(t, 1, w.tasks.starts(r.ID))
	})
}
