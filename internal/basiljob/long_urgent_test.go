package basiljob_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/pkg/basilapi"
)

// TestUrgentJobStopsOneThatGoesOn has an urgent job stop the only job that may run twice.
func TestUrgentJobStopsOneThatGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, longLease)
		o := w.owners[0]
		once, err := o.jobs.Accept(t.Context(), long("boots", false))
		must.NoError(t, err)
		again, err := o.jobs.Accept(t.Context(), long("report", true))
		must.NoError(t, err)
		w.stepFor(2 * time.Second)
		w.tasks.setAll(w.tasks.full, w.placer.workers)
		r := long("alarm", false)
		r.Urgent = true
		_, err = o.jobs.Accept(t.Context(), r)
		must.NoError(t, err)
		w.stepFor(4 * time.Second)
		for _, host := range w.placer.workers {
			w.tasks.set(w.tasks.full, host, false)
		}
		w.stepFor(time.Minute)
		must.Eq(t, 1, w.tasks.starts(once.ID))
		must.Eq(t, 2, w.tasks.starts(again.ID))
		got, err := o.jobs.Get(t.Context(), again.ID)
		must.NoError(t, err)
		must.Eq(t, basilapi.JobStateDone, got.State)
		must.StrHasPrefix(t, again.ID.String()+" at ", string(w.tasks.sent(again.ID, got.Attempt).Checkpoint))
	})
}

// TestUrgentJobPassesAWaitingStep has a worker's answer hold up the pass of another job.
func TestUrgentJobPassesAWaitingStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, longLease)
		o := w.owners[0]
		_, err := o.jobs.Accept(t.Context(), long("boots", false))
		must.NoError(t, err)
		o.link.inject(linkWorks, linkFrozen)
		w.stepFor(time.Second)
		o.link.inject()
		must.True(t, o.busy.Load())
		r := long("alarm", false)
		r.Urgent = true
		a, err := o.jobs.Accept(t.Context(), r)
		must.NoError(t, err)
		must.NoError(t, o.jobs.StepUrgent(t.Context()))
		must.Eq(t, 1, w.tasks.starts(a.ID))
		o.link.wake()
		w.stepFor(time.Minute)
	})
}
