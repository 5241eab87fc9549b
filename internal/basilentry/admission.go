package basilentry

import (
	"context"
	"math/bits"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilqueue"
	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

// places gives the router's credits to the queues.
type places struct{ router *basilrouter.Router }

// place is one credit at one backend server.
type place struct{ lease *basilrouter.Lease }

// Release gives the credit back if the dispatcher did not.
func (p place) Release() { p.lease.Done(basilrouter.Report{}, time.Now()) }

// Take picks a backend server.
func (p places) Take(service string, idempotent bool) (basilqueue.Slot, bool) {
	l, err := p.router.PickFor(service, time.Now(), idempotent)
	if err != nil {
		return nil, false
	}
	return place{lease: l}, true
}

// Size returns the credits at all backend servers of the service.
func (p places) Size(service string) int { return p.router.CreditLimit(service, time.Now()) }

// ticket describes the job to the queues.
func ticket(team string, r basilapi.SubmitRequest, deadline time.Time) basilqueue.JobRequest {
	return basilqueue.JobRequest{
		Service: r.Service, Team: team, Kind: runKind(team, r), Idempotent: r.Idempotent, Urgent: r.Urgent,
		Deadline: deadline, DeclaredRunTime: r.Guess(),
	}
}

// maxKindBytes bounds what callers may name.
const maxKindBytes = 64

// runKind groups a team's jobs of about equal run time: by the kind that the caller names, or by effect and the payload's
// size to a power of two.
//
// Teams learn apart, so that none makes another's jobs count as long.
func runKind(team string, r basilapi.SubmitRequest) string {
	if r.Kind != "" {
		return team + " named " + r.Kind[:min(len(r.Kind), maxKindBytes)]
	}
	size := strconv.Itoa(bits.Len(uint(len(r.Payload))))
	if r.Idempotent {
		return team + " idempotent " + size
	}
	return team + " " + size
}

// refusals tells the codes and hints of the queues' refusals.
var refusals = []struct {
	is   func(error) bool
	code basilapi.Code
	hint string
}{
	{basilqueue.IsErrQuotaExceeded, basilapi.CodeQuotaExceeded, "come back later or ask an operator for a larger quota"},
	{basilqueue.IsErrQueueFull, basilapi.CodeOverloaded, "come back later, with a fresh id"},
	{basilqueue.IsErrDeadlineUnreachable, basilapi.CodeOverloaded, "come back later, with a fresh id"},
	{basilqueue.IsErrNoCapacity, basilapi.CodeNoRunner, "come back later, with a fresh id"},
}

// refusalOf is the problem of a job that the queues gave no pass to: it was not sent.
func refusalOf(err error) basilapi.Problem {
	after, _ := basilqueue.RetryAfter(err)
	p := basilapi.Problem{Outcome: basilapi.OutcomeNotRun, Message: err.Error(), RetryAfterMS: after.Milliseconds()}
	for _, f := range refusals {
		if f.is(err) {
			p.Code, p.Hint = f.code, f.hint
			return p
		}
	}
	p.Code = basilapi.CodeCancelled
	if errors.Is(err, context.DeadlineExceeded) {
		p.Code = basilapi.CodeDeadlineExceeded
	}
	return p
}

// charge counts a long job against the team's quota.
func (s *jobService) charge(team string, r basilapi.SubmitRequest) error {
	if err := s.queues.ChargeQuota(team); err != nil {
		return refuseJob(r, errors.WithStack(basilapi.ErrProblem{Problem: refusalOf(err)}))
	}
	return nil
}

// runFor returns the run of the team's short jobs: it waits in line, then sends the job to a backend server.
func (s *jobService) runFor(team string) basiljob.RunFunc {
	return func(ctx context.Context, id basilapi.JobID, r basilapi.SubmitRequest, start basiljob.StartFunc) basiljob.RunResult {
		deadline := time.Now().Add(remaining(r, s.timeout(r.Service)))
		p, err := s.queues.Acquire(ctx, ticket(team, r, deadline))
		if err != nil {
			refusal := refusalOf(err)
			return basiljob.RunResult{Outcome: basilapi.OutcomeNotRun, Problem: &refusal}
		}
		began := time.Now()
		result := s.dispatcher.Run(ctx, basilrouter.Request{
			Job: id.String(), Service: r.Service, Payload: r.Payload, Idempotent: r.Idempotent,
			Deadline:     deadline,
			BeginAttempt: start,
			CheckSend:    func() error { return s.control.Check(time.Now()) },
			Lease:        p.Slot().(place).lease,
		})
		p.Done(time.Since(began), result.Outcome)
		return basiljob.RunResult{Outcome: result.Outcome, Attempt: result.Attempt, Answer: result.Answer, Problem: result.Problem}
	}
}

// quotasOf returns the teams' quotas in force.
func quotasOf(v *basilview.View) []basilqueue.Quota {
	var all []basilqueue.Quota
	for _, t := range v.Configuration().Teams() {
		all = append(all, basilqueue.Quota{Team: t.Name, RatePerSecond: t.RatePerSecond, Burst: t.Burst})
	}
	return all
}
