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

func shortRequest(id basilapi.JobID) basilapi.SubmitRequest {
	return basilapi.SubmitRequest{ID: id, Service: "quote", Payload: []byte("size 43")}
}

// runFor returns a run that takes the given time, answers with the id of its job and counts its starts in runs.
func runFor(d time.Duration, runs *int) basiljob.RunFunc {
	return func(_ context.Context, id basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
		if !start(1) {
			return basiljob.RunResult{Outcome: basilapi.OutcomeNotRun}
		}
		*runs++
		<-time.After(d)
		return basiljob.RunResult{Outcome: basilapi.OutcomeRan, Attempt: 1, Answer: []byte(id.String())}
	}
}

func TestSubmitRunsAJobOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRegistry(basiljob.RegistryOptions{})
		id := g.Mint(1)[0]
		var runs int
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				a, err := g.Submit(t.Context(), shortRequest(id), runFor(time.Second, &runs))
				must.NoError(t, err)
				must.Eq(t, basilapi.OutcomeRan, a.Outcome)
				must.Eq(t, id.String(), string(a.Answer))
			})
		}
		group.Wait()
		a, err := g.Submit(t.Context(), shortRequest(id), runFor(time.Second, &runs))
		must.NoError(t, err)
		must.Eq(t, id.String(), string(a.Answer))
		must.Eq(t, 1, runs)

		other := shortRequest(id)
		other.Payload = []byte("size 44")
		_, err = g.Submit(t.Context(), other, runFor(time.Second, &runs))
		must.True(t, basiljob.IsErrRequestConflict(err))
	})
}

func TestSubmitContinuesAfterCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRegistry(basiljob.RegistryOptions{})
		id := g.Mint(1)[0]
		var runs int
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		a, err := g.Submit(ctx, shortRequest(id), runFor(time.Second, &runs))
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

func TestSubmitRejectsForgedIDs(t *testing.T) {
	g := newRegistry(basiljob.RegistryOptions{})
	forgedSerial := ulid.MustNew(ulid.Now(), nil)
	var runs int
	for _, id := range []basilapi.JobID{
		{},
		basilapi.NewJobID("fukuoka", ulid.Make()),
		basilapi.NewJobIDWithSerial("fukuoka", g.Incarnation(), forgedSerial),
		basilapi.NewJobIDWithSerial("kumamoto", g.Incarnation(), g.Mint(1)[0].Serial()),
	} {
		_, err := g.Submit(t.Context(), shortRequest(id), runFor(0, &runs))
		must.True(t, basiljob.IsErrNotMinted(err))
		_, err = g.Cancel(id)
		must.True(t, basiljob.IsErrNotMinted(err))
		_, ok := g.Answer(id)
		must.False(t, ok)
	}
	must.Eq(t, 0, runs)
}

func TestRegistryEnforcesLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRegistry(basiljob.RegistryOptions{MaxJobs: 50, MaxAnswerBytes: 500, Retention: time.Minute})
		ids := g.Mint(200)
		var runs int
		for _, id := range ids {
			a, err := g.Submit(t.Context(), shortRequest(id), runFor(0, &runs))
			must.NoError(t, err) // a waiting caller gets the answer even if it isn't kept
			must.Eq(t, id.String(), string(a.Answer))
		}
		var kept, bodies int
		for _, id := range ids {
			a, _ := g.Answer(id)
			kept += a.Attempt
			bodies += len(a.Answer)
			_, err := g.Submit(t.Context(), shortRequest(id), runFor(0, &runs))
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

func TestConcurrentCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, cancels = 100, 10_000
		g := newRegistry(basiljob.RegistryOptions{})
		ids := g.Mint(jobs)
		queued := func(ctx context.Context, _ basilapi.JobID, _ basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
			<-ctx.Done()
			must.False(t, start(1))
			return basiljob.RunResult{Outcome: basilapi.OutcomeNotRun}
		}
		var group sync.WaitGroup
		for _, id := range ids {
			group.Go(func() {
				_, err := g.Submit(t.Context(), shortRequest(id), queued)
				p, _ := basilapi.AsProblem(err)
				must.Eq(t, basilapi.CodeCancelled, p.Code)
				must.Eq(t, basilapi.OutcomeNotRun, p.Outcome)
			})
		}
		synctest.Wait()
		random := rand.New(rand.NewPCG(1, 1))
		for range cancels {
			id := ids[random.IntN(jobs)]
			group.Go(func() {
				a, err := g.Cancel(id)
				must.NoError(t, err)
				must.Eq(t, basilapi.OutcomeNotRun, a.Outcome)
			})
		}
		group.Wait()
		must.Eq(t, 0, g.InFlight())
	})
}
