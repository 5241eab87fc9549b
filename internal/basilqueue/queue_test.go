package basilqueue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/pkg/basilapi"
)

// jobResult is the result of Acquire for one job.
type jobResult struct {
	job      string
	waited   time.Duration
	deadline time.Duration // relative to the submission
	err      error
}

// harness submits jobs with given run times, each in its own goroutine.
type harness struct {
	queues   *Queues
	capacity *modelCapacity
	mutex    sync.Mutex
	results  []jobResult
	jobs     sync.WaitGroup
}

func newHarness(slots int) *harness {
	h := &harness{capacity: &modelCapacity{size: slots}}
	h.queues = NewQueues(Options{Capacity: h.capacity})
	return h
}

func (h *harness) submit(ctx context.Context, job string, t JobRequest, deadline, run time.Duration) {
	h.jobs.Go(func() {
		submitted := time.Now()
		if deadline > 0 {
			t.Deadline = submitted.Add(deadline)
		}
		p, err := h.queues.Acquire(ctx, t)
		r := jobResult{job: job, waited: time.Since(submitted), deadline: deadline, err: err}
		h.mutex.Lock()
		h.results = append(h.results, r)
		h.mutex.Unlock()
		if err == nil {
			time.Sleep(run)
			p.Done(run, basilapi.OutcomeRan)
		}
	})
}

// train runs jobs of the kind one after another, so that the queue has run times of the kind.
func (h *harness) train(kind string, run time.Duration, runs int) {
	for range runs {
		h.submit(context.Background(), "teach", JobRequest{Service: "s", Kind: kind}, 0, run)
		h.jobs.Wait()
	}
	h.results = nil
}

// resultsOf returns the results of the jobs with the name.
func (h *harness) resultsOf(job string) []jobResult {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var results []jobResult
	for _, e := range h.results {
		if e.job == job {
			results = append(results, e)
		}
	}
	return results
}

func quote() JobRequest  { return JobRequest{Service: "s", Kind: "quote", Team: "shop"} }
func report() JobRequest { return JobRequest{Service: "s", Kind: "report", Team: "office"} }
func urgent() JobRequest { return JobRequest{Service: "s", Kind: "quote", Team: "shop", Urgent: true} }

// withDeclared sets the declared run time, which the tests choose far from the actual one.
func withDeclared(t JobRequest, guess time.Duration) JobRequest {
	t.DeclaredRunTime = guess
	return t
}

func TestQueueUnderLoadAndFaults(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		act  func(h *harness)
		want func(t *testing.T, h *harness)
	}{
		{"overload of five times the slots is rejected or served in time", func(h *harness) {
			for range 500 { // 10 s at five times the throughput of 8 slots
				for range 8 {
					h.submit(ctx, "quote", quote(), time.Second, 100*time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}, func(t *testing.T, h *harness) {
			served := 0
			for _, e := range h.resultsOf("quote") {
				must.LessEq(t, time.Second, e.waited)
				if e.err == nil {
					served++
					continue
				}
				after, ok := RetryAfter(e.err)
				must.True(t, ok && after > 0)
			}
			must.GreaterEq(t, 750, served, must.Sprint("jobs served of the 800 that the slots can serve"))
		}},
		{"an urgent job overtakes a full queue of long jobs", func(h *harness) {
			for range 3 * defaultMaxWaiting / 2 {
				h.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			h.submit(ctx, "urgent", urgent(), 10*time.Second, 100*time.Millisecond)
			time.Sleep(5 * time.Second)
		}, func(t *testing.T, h *harness) {
			must.NoError(t, h.resultsOf("urgent")[0].err)
			must.Less(t, 1300*time.Millisecond, h.resultsOf("urgent")[0].waited)
		}},
		{"a short job doesn't wait behind long jobs, whatever run times are declared", func(h *harness) {
			for range 50 {
				h.submit(ctx, "report", withDeclared(report(), time.Millisecond), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			h.submit(ctx, "quote", withDeclared(quote(), time.Hour), 5*time.Second, 100*time.Millisecond)
			time.Sleep(time.Minute)
		}, func(t *testing.T, h *harness) {
			must.EqOp(t, 0, h.resultsOf("quote")[0].waited)
		}},
		{"long jobs start in time under a sustained overload of short jobs", func(h *harness) {
			for i := range 6000 { // twice the throughput of the slots, for two and a half minutes
				if i < 3 {
					h.submit(ctx, "report", report(), 3*time.Minute, 30*time.Second)
				}
				for range 4 {
					h.submit(ctx, "quote", quote(), time.Second, 100*time.Millisecond)
				}
				time.Sleep(25 * time.Millisecond)
			}
		}, func(t *testing.T, h *harness) {
			for _, e := range h.resultsOf("report") {
				must.NoError(t, e.err)
				must.LessEq(t, 150*time.Second, e.waited)
			}
		}},
		{"the first jobs of a kind don't wait behind long jobs", func(h *harness) {
			for range 50 {
				h.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			h.submit(ctx, "new", JobRequest{Service: "s", Kind: "new", Team: "new"}, 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.EqOp(t, 0, h.resultsOf("new")[0].waited)
		}},
		{"jobs of an unproven kind leave slots to others, however long they run", func(h *harness) {
			for range 50 {
				h.submit(ctx, "new", JobRequest{Service: "s", Kind: "new", Team: "new"}, time.Hour, 30*time.Second)
				h.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			h.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.EqOp(t, 0, h.resultsOf("quote")[0].waited)
		}},
		{"the earliest deadline goes first", func(h *harness) {
			for i := range 24 {
				h.submit(ctx, fmt.Sprint(i), quote(), time.Minute-time.Duration(i)*time.Second, 100*time.Millisecond)
				synctest.Wait()
			}
		}, func(t *testing.T, h *harness) {
			must.Less(t, h.resultsOf("8")[0].waited, h.resultsOf("23")[0].waited)
			must.Less(t, 150*time.Millisecond, h.resultsOf("16")[0].waited)
		}},
		{"urgent jobs leave a share of the slots to others", func(h *harness) {
			for range 400 {
				h.submit(ctx, "urgent", urgent(), time.Minute, 100*time.Millisecond)
			}
			h.submit(ctx, "quote", quote(), time.Minute, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.Less(t, 500*time.Millisecond, h.resultsOf("quote")[0].waited)
		}},
		{"a team gets no credit for the time before it had waiting jobs", func(h *harness) {
			for range 300 {
				h.submit(ctx, "big", JobRequest{Service: "s", Kind: "quote", Team: "big"}, 0, 100*time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			for range 80 {
				h.submit(ctx, "small", quote(), 0, 100*time.Millisecond)
			}
		}, func(t *testing.T, h *harness) {
			soon := 0
			for _, e := range h.resultsOf("small") {
				if e.waited <= 510*time.Millisecond {
					soon++
				}
			}
			must.Between(t, 16, soon, 28)
		}},
		{"jobs stay queued during a short outage", func(h *harness) {
			h.capacity.resize(0)
			h.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			h.capacity.resize(8)
		}, func(t *testing.T, h *harness) {
			must.NoError(t, h.resultsOf("quote")[0].err)
			must.LessEq(t, 320*time.Millisecond, h.resultsOf("quote")[0].waited)
		}},
		{"jobs are rejected in a long outage, long before the deadline", func(h *harness) {
			h.capacity.resize(0)
			h.submit(ctx, "quote", quote(), time.Hour, 100*time.Millisecond)
			time.Sleep(time.Minute)
			h.capacity.resize(8)
			h.submit(ctx, "after", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.True(t, IsErrNoCapacity(h.resultsOf("quote")[0].err))
			must.Less(t, time.Second, h.resultsOf("quote")[0].waited)
			must.NoError(t, h.resultsOf("after")[0].err)
		}},
		{"a queued job that can no longer meet its deadline is rejected before the deadline", func(h *harness) {
			for range 8 {
				h.submit(ctx, "stuck", quote(), time.Hour, time.Minute)
			}
			time.Sleep(time.Millisecond)
			h.submit(ctx, "quote", quote(), 2*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.True(t, IsErrDeadlineUnreachable(h.resultsOf("quote")[0].err))
			must.Less(t, 2*time.Second, h.resultsOf("quote")[0].waited)
		}},
		{"a job that runs for long counts against the share of long jobs", func(h *harness) {
			for range 4 {
				h.submit(ctx, "stuck", quote(), time.Hour, time.Minute)
			}
			time.Sleep(5 * time.Second)
			h.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			time.Sleep(time.Second)
			h.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.EqOp(t, 0, h.resultsOf("quote")[0].waited)
			must.GreaterEq(t, 50*time.Second, h.resultsOf("report")[0].waited)
		}},
		{"a burst of cancellations leaves the queue immediately", func(h *harness) {
			burst, cancel := context.WithCancel(ctx)
			for range 3000 {
				h.submit(burst, "cancelled", quote(), 0, time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			cancel()
			synctest.Wait()
			h.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.LessEq(t, time.Second, h.resultsOf("quote")[0].waited)
			must.EqOp(t, 3000-8, h.queues.Status()["s"].Abandoned)
		}},
		{"a team that submits a hundred times as many jobs doesn't starve the others", func(h *harness) {
			for range 2000 {
				h.submit(ctx, "big", JobRequest{Service: "s", Kind: "quote", Team: "big"}, time.Minute, 100*time.Millisecond)
			}
			time.Sleep(time.Second)
			for range 20 {
				h.submit(ctx, "small", quote(), time.Minute, 100*time.Millisecond)
			}
		}, func(t *testing.T, h *harness) {
			for _, e := range h.resultsOf("small") {
				must.LessEq(t, 700*time.Millisecond, e.waited)
			}
		}},
		{"a full queue evicts a job of the largest team", func(h *harness) {
			for range defaultMaxWaiting + 100 {
				h.submit(ctx, "big", JobRequest{Service: "s", Kind: "quote", Team: "big"}, 0, 100*time.Millisecond)
			}
			time.Sleep(time.Millisecond)
			h.submit(ctx, "quote", quote(), 0, 100*time.Millisecond)
		}, func(t *testing.T, h *harness) {
			must.NoError(t, h.resultsOf("quote")[0].err)
			full := 0
			for _, e := range h.resultsOf("big") {
				if IsErrQueueFull(e.err) {
					full++
				}
			}
			must.EqOp(t, 100-8+1, full)
		}},
		{"a team gets exactly its entry host's share of the quota", func(h *harness) {
			h.queues.SetQuotas([]Quota{{Team: "shop", RatePerSecond: 70, Burst: 70}}, 7)
			for range 1000 {
				h.submit(ctx, "quote", quote(), time.Second, time.Millisecond)
				time.Sleep(10 * time.Millisecond)
			}
			h.submit(ctx, "other", JobRequest{Service: "s", Kind: "quote", Team: "free"}, time.Second, time.Millisecond)
		}, func(t *testing.T, h *harness) {
			granted := 0
			for _, e := range h.resultsOf("quote") {
				if e.err == nil {
					granted++
					continue
				}
				must.True(t, IsErrQuotaExceeded(e.err))
			}
			must.Between(t, 108, granted, 111)
			must.NoError(t, h.resultsOf("other")[0].err)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(8)
				h.train("quote", 100*time.Millisecond, 40)
				h.train("report", 30*time.Second, 8)
				tt.act(h)
				h.jobs.Wait()
				tt.want(t, h)
				status := h.queues.Status()["s"]
				must.EqOp(t, 0, status.Running+status.LongRunning, must.Sprint("running jobs left"))
				must.EqOp(t, 0, h.capacity.used, must.Sprint("slots left in use"))
			})
		})
	}
}

// TestRefusedJobKeepsItsPass checks that a job that lost its slot at a backend server keeps its pass while it looks for another slot.
func TestRefusedJobKeepsItsPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		h.train("quote", 100*time.Millisecond, 40)
		p, err := h.queues.Acquire(context.Background(), quote())
		must.NoError(t, err)
		p.Slot().Release()
		h.submit(context.Background(), "next", quote(), 0, 0)
		time.Sleep(time.Minute)
		must.SliceEmpty(t, h.resultsOf("next"))
		p.Done(time.Minute, basilapi.OutcomeRan)
		h.jobs.Wait()
		must.NoError(t, h.resultsOf("next")[0].err)
	})
}
