package basiljob_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

// TestWorkerRestartsAroundTheStart restarts the workers, which lose their tasks, while the outcome of a start is unknown to the owner.
func TestWorkerRestartsAroundTheStart(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		faults     []linkFault // faults of the owner's calls that change state
		takenOver  bool
		state      basilapi.JobState
		starts     int
	}{
		{"started, its answer lost", false, []linkFault{linkNoFault, linkAnswerLost}, false, basilapi.JobStateUnknown, 1},
		{"started, its answer lost, taken over", false, []linkFault{linkNoFault, linkAnswerLost}, true, basilapi.JobStateUnknown, 1},
		{"idempotent, its answer lost", true, []linkFault{linkNoFault, linkAnswerLost}, false, basilapi.JobStateDone, 2},
		{"start delayed", false, []linkFault{linkNoFault, linkDelayed}, false, basilapi.JobStateUnknown, 0},
		{"start recorded, not sent", false, []linkFault{linkNoFault, linkFrozen}, false, basilapi.JobStateDone, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestCluster(1, shortLease)
				o := w.owners[0]
				a, err := o.jobs.Accept(t.Context(), longRequest("boots", tt.idempotent))
				must.NoError(t, err)
				o.link.inject(tt.faults...)
				w.stepFor(time.Second)
				w.tasks.restartWorkers()
				if tt.takenOver {
					o.link.setCut(true)
					w.members.declareGone(o.incarnation)
					w.owners = append(w.owners, w.newOwner())
				}
				_, err = w.newOwner().jobs.Cancel(t.Context(), a.ID)
				must.True(t, basiljob.IsErrTooLate(err))
				o.link.wake()
				o.link.release()
				w.stepFor(time.Minute)
				must.Eq(t, tt.starts, w.tasks.starts(a.ID))
				a, err = w.newOwner().jobs.Get(t.Context(), a.ID)
				must.NoError(t, err)
				must.Eq(t, tt.state, a.State, must.Sprint(a.Reason))
			})
		})
	}
}
