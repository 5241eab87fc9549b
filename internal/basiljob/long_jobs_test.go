package basiljob_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

func longRequest(payload string, idempotent bool) basilapi.SubmitRequest {
	return basilapi.SubmitRequest{Service: "stretch", Payload: []byte(payload), Idempotent: idempotent}
}

// step starts a Step of the owner unless one is in progress.
func (o *owner) step() {
	if !o.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		_ = o.jobs.Step(context.Background())
		o.busy.Store(false)
	}()
	synctest.Wait()
}

// stepFor runs the steps of all owners for the given time; an owner whose Step is blocked starts no other.
func (w *testCluster) stepFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, o := range w.owners {
			o.step()
		}
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

func repeatFault(f linkFault, n int) []linkFault { return slices.Repeat([]linkFault{f}, n) }

func TestAcceptUnderFaults(t *testing.T) {
	const sends = 5 // the first, and one after each read of the record
	tests := []struct {
		name    string
		faults  []linkFault
		retry   bool
		outcome basilapi.Outcome
		starts  int
	}{
		{"no fault", nil, false, basilapi.OutcomePending, 1},
		{"answer lost", []linkFault{linkAnswerLost}, false, basilapi.OutcomePending, 1},
		{"store unavailable", []linkFault{linkRefuses}, false, basilapi.OutcomeNotRun, 0},
		{"store unavailable on a repeat", []linkFault{linkRefuses}, true, basilapi.OutcomeUnknown, 0},
		{"write delayed, sent again", []linkFault{linkDelayed}, false, basilapi.OutcomePending, 1},
		{"writes delayed, then tombstone stored", repeatFault(linkDelayed, sends), false, basilapi.OutcomeNotRun, 0},
		{"writes delayed, the tombstone's answer lost", append(repeatFault(linkDelayed, sends), linkAnswerLost), false, basilapi.OutcomeNotRun, 0},
		{"writes delayed, store unavailable", append(repeatFault(linkDelayed, sends), linkRefuses), false, basilapi.OutcomeUnknown, 1},
		{"writes and tombstones delayed", repeatFault(linkDelayed, 2*sends), false, basilapi.OutcomeUnknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(1, shortLease)
				o := w.owners[0]
				r := longRequest("boots", false)
				r.ID, r.Retry = basilapi.NewJobID("fukuoka", o.incarnation), tt.retry
				o.link.inject(tt.faults...)
				a, err := o.jobs.Accept(t.Context(), r)
				must.Eq(t, tt.outcome, a.Outcome)
				if p, ok := basilapi.AsProblem(err); tt.outcome == basilapi.OutcomeUnknown {
					must.True(t, ok)
					must.Eq(t, basiljob.AskAt(r.ID), p.AskAt)
				}
				o.link.release() // delayed writes take effect now
				w.stepFor(time.Minute)
				must.Eq(t, tt.starts, w.tasks.starts(r.ID))
				if tt.starts > 0 {
					a, err = o.jobs.Get(t.Context(), r.ID)
					must.NoError(t, err)
					must.Eq(t, taskAnswer(r.ID.String(), 1), string(a.Answer))
				}
			})
		})
	}
}

func TestRepeatedAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(2, longLease)
		r := longRequest("boots", false)
		r.ID = basilapi.NewJobID("fukuoka", w.owners[0].incarnation)
		for _, o := range w.owners {
			_, err := o.jobs.Accept(t.Context(), r)
			must.NoError(t, err)
			r.Retry = true
		}
		w.stepFor(time.Minute)
		a, err := w.owners[1].jobs.Accept(t.Context(), r)
		must.NoError(t, err)
		must.Eq(t, taskAnswer(r.ID.String(), 1), string(a.Answer))
		must.Eq(t, 1, w.tasks.starts(r.ID))
		r.Payload = []byte("other boots")
		_, err = w.owners[1].jobs.Accept(t.Context(), r)
		must.True(t, basiljob.IsErrRequestConflict(err))
	})
}

// TestTakeoverAtEachCall blocks an owner, or delays or loses its request or
// answer, at each of its calls, lets another owner take over, and then lets the
// first one continue.
func TestTakeoverAtEachCall(t *testing.T) {
	const calls = 8
	for _, f := range []linkFault{linkFrozen, linkDelayed, linkAnswerLost} {
		for n := range calls {
			for _, idempotent := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					w := newTestCluster(2, longLease)
					o := w.owners[0]
					a, err := o.jobs.Accept(t.Context(), longRequest("boots", idempotent))
					must.NoError(t, err)
					o.link.inject(append(repeatFault(linkNoFault, n), f)...)
					w.stepFor(6 * time.Second)
					w.members.declareGone(o.incarnation)
					w.stepFor(40 * time.Second)
					o.link.wake()
					o.link.release()
					w.stepFor(40 * time.Second)
					got, err := w.owners[1].jobs.Get(t.Context(), a.ID)
					must.NoError(t, err)
					must.Eq(t, basilapi.OutcomeRan, got.Outcome)
					must.Eq(t, taskAnswer(a.ID.String(), got.Attempt), string(got.Answer))
					if !idempotent {
						must.Eq(t, 1, w.tasks.starts(a.ID))
					}
				})
			}
		}
	}
}

func TestWorkerFaults(t *testing.T) {
	all := []string{"w1", "w2", "w3", "w4"}
	tests := []struct {
		name       string
		idempotent bool
		before     func(*testCluster) // applied before the job starts
		after      func(*testCluster) // applied after the job has started
		state      basilapi.JobState
		outcome    basilapi.Outcome
		starts     int
	}{
		{"idempotent, fails on every worker", true, func(w *testCluster) { w.tasks.setAll(w.tasks.failing, all) }, nil, basilapi.JobStateFailed, basilapi.OutcomeRan, 3},
		{"non-idempotent, fails on every worker", false, func(w *testCluster) { w.tasks.setAll(w.tasks.failing, all) }, nil, basilapi.JobStateFailed, basilapi.OutcomeRan, 1},
		{"one worker fails every task", true, func(w *testCluster) { w.tasks.setAll(w.tasks.failing, all[:1]) }, nil, basilapi.JobStateDone, basilapi.OutcomeRan, 2},
		{"worker unreachable before the start", false, func(w *testCluster) { w.tasks.setAll(w.tasks.down, all[:1]) }, nil, basilapi.JobStateDone, basilapi.OutcomeRan, 1},
		{"two workers refuse", false, func(w *testCluster) { w.tasks.setAll(w.tasks.full, all[:2]) }, nil, basilapi.JobStateDone, basilapi.OutcomeRan, 1},
		{"all workers refuse", false, func(w *testCluster) { w.tasks.setAll(w.tasks.full, all) }, nil, basilapi.JobStateFailed, basilapi.OutcomeNotRun, 0},
		{"fits no host", false, func(w *testCluster) { w.placer.fits = false }, nil, basilapi.JobStateFailed, basilapi.OutcomeNotRun, 0},
		{"nothing free until the deadline", false, func(w *testCluster) { w.placer.workers = nil }, nil, basilapi.JobStateCancelled, basilapi.OutcomeNotRun, 0},
		{"idempotent, worker unreachable after the start", true, nil, func(w *testCluster) { w.tasks.setAll(w.tasks.down, all[:1]) }, basilapi.JobStateDone, basilapi.OutcomeRan, 2},
		{"non-idempotent, worker unreachable after the start", false, nil, func(w *testCluster) { w.tasks.setAll(w.tasks.down, all[:1]) }, basilapi.JobStateUnknown, basilapi.OutcomeUnknown, 1},
		{"idempotent, lease expired", true, nil, func(*testCluster) { time.Sleep(10 * time.Second) }, basilapi.JobStateDone, basilapi.OutcomeRan, 2},
		{"non-idempotent, lease expired", false, nil, func(*testCluster) { time.Sleep(10 * time.Second) }, basilapi.JobStateUnknown, basilapi.OutcomeUnknown, 1},
		{"non-idempotent, worker restarted", false, nil, func(w *testCluster) { w.tasks.restartWorkers() }, basilapi.JobStateUnknown, basilapi.OutcomeUnknown, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(1, shortLease)
				r := longRequest("boots", tt.idempotent)
				r.DeadlineMS = time.Minute.Milliseconds()
				a, err := w.owners[0].jobs.Accept(t.Context(), r)
				must.NoError(t, err)
				if tt.before != nil {
					tt.before(w)
				}
				w.stepFor(2 * time.Second)
				if tt.after != nil {
					tt.after(w)
				}
				w.stepFor(2 * time.Minute)
				a, err = w.owners[0].jobs.Get(t.Context(), a.ID)
				must.NoError(t, err)
				must.Eq(t, tt.state, a.State, must.Sprint(a.Reason))
				must.Eq(t, tt.outcome, a.Outcome)
				must.Eq(t, tt.starts, w.tasks.starts(a.ID))
				must.Eq(t, 0, w.owners[0].jobs.Owned())
			})
		})
	}
}

func TestIdempotentJobResumesFromItsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(1, shortLease)
		a, err := w.owners[0].jobs.Accept(t.Context(), longRequest("report", true))
		must.NoError(t, err)
		w.stepFor(8 * time.Second)
		w.tasks.setAll(w.tasks.down, []string{"w1"})
		w.stepFor(time.Minute)
		must.Eq(t, a.ID.String()+" at 6s", string(w.tasks.receivedTask(a.ID, 2).Checkpoint))
		must.Eq(t, int64(1), w.tasks.receivedTask(a.ID, 2).HostEpoch)
	})
}

func TestCancelLongJob(t *testing.T) {
	tests := []struct {
		name   string
		faults []linkFault   // faults of the calls in the owner's Step
		before time.Duration // time between Accept and Cancel
		ok     bool
		starts int
	}{
		{"accepted", nil, 0, true, 0},
		{"running", nil, 4 * time.Second, false, 1},
		{"done", nil, 30 * time.Second, false, 1},
		{"start recorded, not sent", []linkFault{linkNoFault, linkFrozen}, 4 * time.Second, true, 0},
		{"start sent, delayed", []linkFault{linkNoFault, linkDelayed}, time.Second, true, 0},
		{"start sent, its answer lost", []linkFault{linkNoFault, linkAnswerLost}, time.Second, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(1, shortLease)
				o := w.owners[0]
				a, err := o.jobs.Accept(t.Context(), longRequest("boots", false))
				must.NoError(t, err)
				o.link.inject(tt.faults...)
				w.stepFor(tt.before)
				a, err = w.newOwner().jobs.Cancel(t.Context(), a.ID) // through another entry host
				must.Eq(t, tt.ok, err == nil)
				must.Eq(t, !tt.ok, basiljob.IsErrTooLate(err))
				must.Eq(t, tt.ok, a.Outcome == basilapi.OutcomeNotRun)
				o.link.wake()
				o.link.release()
				w.stepFor(time.Minute)
				must.Eq(t, tt.starts, w.tasks.starts(a.ID))
			})
		})
	}
}

func TestCancelOfAnUnknownIDKeepsItFromBeingAccepted(t *testing.T) {
	w := newTestCluster(1, shortLease)
	r := longRequest("boots", false)
	r.ID = basilapi.NewJobID("fukuoka", w.owners[0].incarnation)
	_, err := w.owners[0].jobs.Get(t.Context(), r.ID)
	must.True(t, basiljob.IsErrJobNotExist(err))
	a, err := w.owners[0].jobs.Cancel(t.Context(), r.ID)
	must.NoError(t, err)
	must.Eq(t, basilapi.OutcomeNotRun, a.Outcome)
	a, err = w.owners[0].jobs.Accept(t.Context(), r)
	must.True(t, basilapi.IsErrProblem(err))
	must.Eq(t, basilapi.OutcomeNotRun, a.Outcome)
}

func TestResultIsStoredWhenTheTableComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(1, shortLease)
		a, err := w.owners[0].jobs.Accept(t.Context(), longRequest("boots", false))
		must.NoError(t, err)
		w.owners[0].link.inject(append(repeatFault(linkNoFault, 2), repeatFault(linkDelayed, 6)...)...) // the outcome of the write that records the start stays unknown
		w.stepFor(4 * time.Second)
		w.table.SetFaults(basilstandin.TableFaults{Down: true})
		w.stepFor(20 * time.Second)
		w.owners[0].link.release()
		w.tasks.restartWorkers()
		w.table.SetFaults(basilstandin.TableFaults{})
		w.stepFor(10 * time.Second)
		a, err = w.owners[0].jobs.Get(t.Context(), a.ID)
		must.NoError(t, err)
		must.Eq(t, taskAnswer(a.ID.String(), 1), string(a.Answer))
	})
}

func TestTruncatedResultIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(1, shortLease)
		a, err := w.owners[0].jobs.Accept(t.Context(), longRequest("boots", false))
		must.NoError(t, err)
		w.stepFor(30 * time.Second)
		key := basilplatform.Key{Partition: "job/" + a.ID.String(), Sort: "result"}
		must.NoError(t, w.table.Transact(t.Context(), basilplatform.Transaction{Token: "cut", Writes: []basilplatform.Write{
			{Key: key, Precondition: basilplatform.PreconditionNone, Body: []byte(a.ID.String())},
		}}))
		a, err = w.owners[0].jobs.Get(t.Context(), a.ID)
		must.True(t, basiljob.IsErrItemCorrupt(err))
		must.SliceEmpty(t, a.Answer)
	})
}

// TestAllEntryHostsReplacedWhileTheTableIsDown replaces all owners of running
// jobs during a table outage that lasts longer than the tasks.
func TestAllEntryHostsReplacedWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(2, time.Hour)
		var ids []basilapi.JobID
		for n := range 20 {
			a, err := w.owners[n%2].jobs.Accept(t.Context(), longRequest("boots", n%4 < 2))
			must.NoError(t, err)
			ids = append(ids, a.ID)
		}
		w.stepFor(4 * time.Second)
		w.table.SetFaults(basilstandin.TableFaults{Down: true})
		w.stepFor(4 * time.Second)
		for _, o := range w.owners {
			o.link.setCut(true)
			w.members.declareGone(o.incarnation)
		}
		w.owners = []*owner{w.newOwner(), w.newOwner()}
		w.stepFor(10 * time.Minute)
		_, err := w.owners[0].jobs.Accept(t.Context(), longRequest("boots", false))
		p, _ := basilapi.AsProblem(err)
		must.Eq(t, basilapi.OutcomeNotRun, p.Outcome)
		must.Eq(t, basilapi.CodeStoreUnavailable, p.Code)
		must.Positive(t, p.RetryAfterMS)
		w.table.SetFaults(basilstandin.TableFaults{})
		w.stepFor(30 * time.Second)
		for _, id := range ids {
			a, err := w.owners[0].jobs.Get(t.Context(), id)
			must.NoError(t, err)
			must.Eq(t, taskAnswer(id.String(), 1), string(a.Answer))
			must.Eq(t, 1, w.tasks.starts(id))
		}
	})
}

func TestManyLongJobsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(0, time.Hour)
		jobs := basiljob.NewLongJobs(w.table, w.tasks, basiljob.LongOptions{
			DataCentre: "fukuoka", Placer: w.placer, Members: w.members,
		})
		var ids []basilapi.JobID
		for range 200 {
			a, err := jobs.Accept(t.Context(), longRequest("boots", false))
			must.NoError(t, err)
			ids = append(ids, a.ID)
		}
		for jobs.Owned() > 0 {
			must.NoError(t, jobs.Step(t.Context()))
			time.Sleep(time.Second)
		}
		for _, id := range ids {
			must.Eq(t, 1, w.tasks.starts(id))
		}
	})
}
