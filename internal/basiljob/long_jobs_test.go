package basiljob_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/pkg/basilapi"
)

func long(payload string, idempotent bool) basilapi.SubmitRequest {
	return basilapi.SubmitRequest{Service: "stretch", Payload: []byte(payload), Idempotent: idempotent}
}

func TestLongJobRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		o := w.owners[0]
		a, err := o.jobs.Accept(t.Context(), long("boots", false))
		must.NoError(t, err)
		must.Eq(t, basilapi.OutcomePending, a.Outcome)
		for range 10 {
			must.NoError(t, o.jobs.Step(t.Context()))
			time.Sleep(5 * time.Second)
		}
		a, err = o.jobs.Get(t.Context(), a.ID)
		must.NoError(t, err)
		must.Eq(t, basilapi.OutcomeRan, a.Outcome)
		must.Eq(t, result(a.ID.String(), 1), string(a.Answer))
		must.Eq(t, 1, w.tasks.starts(a.ID))
		must.Eq(t, 0, o.jobs.Owned())
	})
}
