package basiljob

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Reasons returned with answers.
const (
	reasonForgotten    = "the id is older than the answers that are kept"
	reasonNotSubmitted = "the id was not submitted"
	reasonBodyDropped  = "the job ran; its answer is no longer kept"
	reasonInProgress   = "the job is in progress"
	reasonUnknown      = "the job may have run"
	reasonCancelled    = "the job was cancelled before it started"
)

// cancelledResult is the result of a job that was cancelled before its first attempt.
var cancelledResult = notRunResult(basilapi.CodeCancelled, reasonCancelled)

// closedChannel is a channel that is already closed, returned when there is nothing to wait for.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// notRunResult returns the result of a job that was not run.
func notRunResult(c basilapi.Code, message string) RunResult {
	return RunResult{
		Outcome: basilapi.OutcomeNotRun,
		Problem: &basilapi.Problem{Code: c, Outcome: basilapi.OutcomeNotRun, Message: message},
	}
}

// runState is the state of a job that has no final answer yet.
type runState struct {
	cancel context.CancelFunc
	done   chan struct{}
	answer basilapi.JobAnswer // valid once done is closed
	err    error              // valid once done is closed
}

// shortJob is the state that a Registry keeps for one id.
type shortJob struct {
	serial      ulid.ULID
	digest      uint64
	running     *runState // nil once the answer is final
	body        []byte
	problem     *basilapi.Problem
	next        *shortJob     // the job that ended next, linked by finalJobs
	ended       time.Duration // since processStart
	outcome     basilapi.Outcome
	attempt     int32 // number of the last started attempt; 0 if none
	hasDigest   bool  // digest is set
	copyAnswer  bool  // the final answer goes to the copiers
	cancelled   bool  // no further attempt may start
	bodyDropped bool  // the answer body was evicted
}

// validResult returns the result, or OutcomeUnknown if it doesn't come from the last attempt.
//
// OutcomeNotRun covers all attempts, so its attempt number isn't checked.
func (j *shortJob) validResult(r RunResult) RunResult {
	fromLastAttempt := r.Outcome == basilapi.OutcomeRan && j.attempt > 0 && r.Attempt == int(j.attempt)
	if fromLastAttempt || r.Outcome == basilapi.OutcomeNotRun {
		return r
	}
	return RunResult{Outcome: basilapi.OutcomeUnknown, Problem: r.Problem}
}

func (j *shortJob) answerFor(id basilapi.JobID) basilapi.JobAnswer {
	a := basilapi.JobAnswer{ID: id, Outcome: j.outcome, Attempt: int(j.attempt), Answer: j.body}
	switch {
	case j.running != nil:
		a.Outcome, a.Reason = basilapi.OutcomePending, reasonInProgress
	case j.bodyDropped:
		a.Outcome, a.Reason = basilapi.OutcomeUnknown, reasonBodyDropped
	case j.problem != nil:
		a.Reason = j.problem.Message
	case j.outcome == basilapi.OutcomeUnknown:
		a.Reason = reasonUnknown
	}
	return a
}

func (j *shortJob) errorFor(id basilapi.JobID) error {
	switch {
	case j.running != nil:
		return outcomeUnknownError(id, reasonInProgress, 0)
	case j.bodyDropped:
		return outcomeUnknownError(id, reasonBodyDropped, 0)
	case j.problem != nil:
		return j.problemFor(id)
	case j.outcome == basilapi.OutcomeUnknown:
		return outcomeUnknownError(id, reasonUnknown, 0)
	case j.outcome == basilapi.OutcomeNotRun:
		return notRunError(id, basilapi.CodeNoRunner, "the job was not run", 0)
	}
	return nil
}

// problemFor returns the problem of the run with the recorded outcome of the job.
func (j *shortJob) problemFor(id basilapi.JobID) error {
	p := *j.problem
	p.Job, p.Outcome = id, j.outcome
	if p.Outcome == basilapi.OutcomeUnknown {
		p.AskAt = AskAt(id)
	}
	return problemError(p)
}

// finalJobs is a queue of jobs with a final answer, ordered by the time they ended.
type finalJobs struct {
	first, last *shortJob
	firstBody   *shortJob // oldest job whose body may still be kept
	bodyBytes   int       // total size of the kept bodies
}

func (q *finalJobs) push(j *shortJob) {
	if q.last == nil {
		q.first = j
	} else {
		q.last.next = j
	}
	q.last = j
	if q.firstBody == nil {
		q.firstBody = j
	}
	q.bodyBytes += len(j.body)
}

func (q *finalJobs) pop() *shortJob {
	j := q.first
	if q.firstBody == j {
		q.dropBody()
	}
	q.first = j.next
	if q.first == nil {
		q.last = nil
	}
	j.next = nil
	return j
}

// dropBody evicts the oldest kept answer body.
func (q *finalJobs) dropBody() {
	j := q.firstBody
	q.bodyBytes -= len(j.body)
	j.bodyDropped = j.outcome == basilapi.OutcomeRan && len(j.body) > 0
	j.body = nil
	q.firstBody = j.next
}
