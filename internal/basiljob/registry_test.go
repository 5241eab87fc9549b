package basiljob_test

import (
	"context"
	"math/rand/v2"
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

// ran returns a run that takes the given time, answers with the id of its job and counts its starts in runs.
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

func TestSubmitRefusesForgedIDs(t *testing.T) {
	g := newRegistry(basiljob.RegistryOptions{})
	forged := ulid.MustNew(ulid.Now(), nil)
	var runs int
	for _, id := range []basilapi.JobID{
		{},
		basilapi.NewJobID("fukuoka", ulid.Make()),
		basilapi.NewJobIDWithSerial("fukuoka", g.Incarnation(), forged),
		basilapi.NewJobIDWithSerial("kumamoto", g.Incarnation(), g.Mint(1)[0].Serial()),
	} {
		_, err := g.Submit(t.Context(), short(id), ran(0, &runs))
		must.True(t, basiljob.IsErrNotMinted(err))
		_, err = g.Cancel(id)
		must.True(t, basiljob.IsErrNotMinted(err))
		_, ok := g.Answer(id)
		must.False(t, ok)
	}
	must.Eq(t, 0, runs)
}

func TestRegistryKeepsToItsBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRegistry(basiljob.RegistryOptions{MaxJobs: 50, MaxAnswerBytes: 500, Retention: time.Minute})
		ids := g.Mint(200)
		var runs int
		for _, id := range ids {
			a, err := g.Submit(t.Context(), short(id), ran(0, &runs))
			must.NoError(t, err) // a waiting caller gets the answer even if it isn't kept
			must.Eq(t, id.String(), string(a.Answer))
		}
		var kept, bodies int
		for _, id := range ids {
			a, _ := g.Answer(id)
			kept += a.Attempt
			bodies += len(a.Answer)
			_, err := g.Submit(t.Context(), short(id), ran(0, &runs))
			must.Eq(t, a.Outcome == basilapi.OutcomeRan, err == nil)
		}
		must.Eq(t, 50, kept)
		must.Between(t, 400, bodies, 500)
		must.Eq(t, 200, runs)
		time.Sleep(2 * time.Minute)
		a, _ := g.Answer(ids[199])
		must.Eq(t, basilapi.OutcomeUnknown, a.Outcome)
	})
}

func TestCancelBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, cancels = 100, 10_000
		g := newRegistry(basiljob.RegistryOptions{})
		ids := g.Mint(jobs)
		queued := func(ctx context.Context, _ basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
			<-ctx.Done()
			must.False(t, start(1))
			return basiljob.RunResult{Outcome: basilapi.OutcomeNotRun}
		}
		var wait sync.WaitGroup
		for _, id := range ids {
			wait.Go(func() {
				_, err := g.Submit(t.Context(), short(id), queued)
				p, _ := basilapi.AsProblem(err)
				must.Eq(t, basilapi.CodeCancelled, p.Code)
				must.Eq(t, basilapi.OutcomeNotRun, p.Outcome)
			})
		}
		synctest.Wait()
		random := rand.New(rand.NewPCG(1, 1))
		for range cancels {
			id := ids[random.IntN(jobs)]
			wait.Go(func() {
				a, err := g.Cancel(id)
				must.NoError(t, err)
				must.Eq(t, basilapi.OutcomeNotRun, a.Outcome)
			})
		}
		wait.Wait()
		must.Eq(t, 0, g.InFlight())
	})
}
