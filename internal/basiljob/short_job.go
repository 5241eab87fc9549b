package basiljob

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Reasons told with answers.
const (
	reasonForgotten    = "the id is older than the answers that are kept"
	reasonNotSubmitted = "the id was not submitted"
	reasonBodyDropped  = "the job ran; its answer is no longer kept"
	reasonInProgress   = "the job is in progress"
	reasonUnknown      = "the job may have run"
	reasonCancelled    = "the job was cancelled before it started"
)

// cancellation ends a job whose cancel came before its first attempt.
var cancellation = refusal(basilapi.CodeCancelled, reasonCancelled)

// closed is what to wait for when nothing is in progress.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func refusal(c basilapi.Code, message string) RunResult {
	return RunResult{
		Outcome: basilapi.OutcomeNotRun,
		Problem: &basilapi.Problem{Code: c, Outcome: basilapi.OutcomeNotRun, Message: message},
	}
}

// running is what only a job without a final answer needs.
type running struct {
	cancel context.CancelFunc
	done   chan struct{}
	answer basilapi.JobAnswer // once done is closed
	err    error
}

// shortJob is what a Registry remembers of one id.
type shortJob struct {
	serial    ulid.ULID
	digest    uint64
	running   *running // nil once the answer is final
	body      []byte
	problem   *basilapi.Problem
	next      *shortJob // in the order of their ends
	ended     time.Duration
	outcome   basilapi.Outcome
	attempt   int32 // the last that was started
	bound     bool  // digest is known
	copied    bool
	cancelled bool // no further attempt may start
	dropped   bool // the body is no longer kept
}

// checked returns the result, or OutcomeUnknown where it isn't that of the last attempt.
//
// OutcomeNotRun speaks of all attempts, so it needs none.
func (j *shortJob) checked(r RunResult) RunResult {
	stands := r.Outcome == basilapi.OutcomeRan && j.attempt > 0 && r.Attempt == int(j.attempt)
	if stands || r.Outcome == basilapi.OutcomeNotRun {
		return r
	}
	return RunResult{Outcome: basilapi.OutcomeUnknown, Problem: r.Problem}
}

func (j *shortJob) answer(id basilapi.JobID) basilapi.JobAnswer {
	a := basilapi.JobAnswer{ID: id, Outcome: j.outcome, Attempt: int(j.attempt), Answer: j.body}
	switch {
	case j.running != nil:
		a.Outcome, a.Reason = basilapi.OutcomePending, reasonInProgress
	case j.dropped:
		a.Outcome, a.Reason = basilapi.OutcomeUnknown, reasonBodyDropped
	case j.problem != nil:
		a.Reason = j.problem.Message
	case j.outcome == basilapi.OutcomeUnknown:
		a.Reason = reasonUnknown
	}
	return a
}

func (j *shortJob) err(id basilapi.JobID) error {
	switch {
	case j.running != nil:
		return unknown(id, reasonInProgress, 0)
	case j.dropped:
		return unknown(id, reasonBodyDropped, 0)
	case j.problem != nil:
		return j.problemFor(id)
	case j.outcome == basilapi.OutcomeUnknown:
		return unknown(id, reasonUnknown, 0)
	case j.outcome == basilapi.OutcomeNotRun:
		return notRun(id, basilapi.CodeNoRunner, "the job was not run", 0)
	}
	return nil
}

// problemFor returns the run's problem with the outcome that was recorded.
func (j *shortJob) problemFor(id basilapi.JobID) error {
	p := *j.problem
	p.Job, p.Outcome = id, j.outcome
	if p.Outcome == basilapi.OutcomeUnknown {
		p.AskAt = AskAt(id)
	}
	return problem(p)
}

// finalJobs is the queue of jobs with a final answer, oldest end first.
type finalJobs struct {
	first, last *shortJob
	firstBody   *shortJob // the oldest whose body may still be kept
	bodyBytes   int
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

// dropBody gives up the oldest body that is kept.
func (q *finalJobs) dropBody() {
	j := q.firstBody
	q.bodyBytes -= len(j.body)
	j.dropped = j.outcome == basilapi.OutcomeRan && len(j.body) > 0
	j.body = nil
	q.firstBody = j.next
}
