package basiljob_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/pkg/basilapi"
)

// TestUrgentJobEvictsIdempotentJob checks that an urgent job evicts an idempotent job, which resumes from its checkpoint, and no other.
func TestUrgentJobEvictsIdempotentJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(1, longLease)
		o := w.owners[0]
		nonIdempotent, err := o.jobs.Accept(t.Context(), longRequest("boots", false))
		must.NoError(t, err)
		idempotent, err := o.jobs.Accept(t.Context(), longRequest("report", true))
		must.NoError(t, err)
		w.stepFor(2 * time.Second)
		w.tasks.setAll(w.tasks.full, w.placer.workers)
		r := longRequest("alarm", false)
		r.Urgent = true
		_, err = o.jobs.Accept(t.Context(), r)
		must.NoError(t, err)
		w.stepFor(4 * time.Second)
		for _, host := range w.placer.workers {
			w.tasks.set(w.tasks.full, host, false)
		}
		w.stepFor(time.Minute)
		must.Eq(t, 1, w.tasks.starts(nonIdempotent.ID))
		must.Eq(t, 2, w.tasks.starts(idempotent.ID))
		got, err := o.jobs.Get(t.Context(), idempotent.ID)
		must.NoError(t, err)
		must.Eq(t, basilapi.JobStateDone, got.State)
		must.StrHasPrefix(t, idempotent.ID.String()+" at ", string(w.tasks.receivedTask(idempotent.ID, got.Attempt).Checkpoint))
	})
}

// TestUrgentJobStartsWhileStepIsBlocked starts an urgent job while Step is blocked by a worker that doesn't answer.
func TestUrgentJobStartsWhileStepIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(1, longLease)
		o := w.owners[0]
		_, err := o.jobs.Accept(t.Context(), longRequest("boots", false))
		must.NoError(t, err)
		o.link.inject(linkNoFault, linkFrozen)
		w.stepFor(time.Second)
		o.link.inject()
		must.True(t, o.busy.Load())
		r := longRequest("alarm", false)
		r.Urgent = true
		a, err := o.jobs.Accept(t.Context(), r)
		must.NoError(t, err)
		must.NoError(t, o.jobs.StepUrgent(t.Context()))
		must.Eq(t, 1, w.tasks.starts(a.ID))
		o.link.wake()
		w.stepFor(time.Minute)
	})
}
