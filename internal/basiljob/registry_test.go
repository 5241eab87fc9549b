package basiljob_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/pkg/basilapi"
)

func newRegistry(o basiljob.RegistryOptions) *basiljob.Registry {
	return basiljob.NewRegistry("fukuoka", ulid.Make(), o)
}

func short(id basilapi.JobID) basilapi.SubmitRequest {
	return basilapi.SubmitRequest{ID: id, Service: "quote", Payload: []byte("size 43")}
}

// ran returns a run that takes the time and answers with its job's id.
func ran(d time.Duration, runs *int) basiljob.RunFunc {
	return func(_ context.Context, id basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
		if !start(1) {
			return basiljob.RunResult{Outcome: basilapi.OutcomeNotRun}
		}
		*runs++
		<-time.After(d)
		return basiljob.RunResult{Outcome: basilapi.OutcomeRan, Attempt: 1, Answer: []byte(id.String())}
	}
}

func TestSubmitJoinsAndRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRegistry(basiljob.RegistryOptions{})
		id := g.Mint(1)[0]
		var runs int
		var wait sync.WaitGroup
		for range 20 {
			wait.Go(func() {
				a, err := g.Submit(t.Context(), short(id), ran(time.Second, &runs))
				must.NoError(t, err)
				must.Eq(t, basilapi.OutcomeRan, a.Outcome)
				must.Eq(t, id.String(), string(a.Answer))
			})
		}
		wait.Wait()
		a, err := g.Submit(t.Context(), short(id), ran(time.Second, &runs))
		must.NoError(t, err)
		must.Eq(t, id.String(), string(a.Answer))
		must.Eq(t, 1, runs)

		other := short(id)
		other.Payload = []byte("size 44")
		_, err = g.Submit(t.Context(), other, ran(time.Second, &runs))
		must.True(t, basiljob.IsErrRequestConflict(err))
	})
}

func TestSubmitOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRegistry(basiljob.RegistryOptions{})
		id := g.Mint(1)[0]
		var runs int
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		a, err := g.Submit(ctx, short(id), ran(time.Second, &runs))
		must.Eq(t, basilapi.OutcomePending, a.Outcome)
		p, ok := basilapi.AsProblem(err)
		must.True(t, ok)
		must.Eq(t, basiljob.AskAt(id), p.AskAt)
		must.NoError(t, g.Drain(t.Context()))
		a, ok = g.Answer(id)
		must.True(t, ok)
		must.Eq(t, id.String(), string(a.Answer))
	})
}
