package basilrouter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// jobRun tracks one job through its attempts.
type jobRun struct {
	dispatcher       *Dispatcher
	request          *Request
	attempts         int
	refusals         int  // attempts that the backend server refused to start
	noBackendRetries int  // retries for which no backend server was available
	mayHaveRun       bool // some attempt may have started the job without a complete response
	lastAttempt      attemptResult
	failures         int // attempts that ended with EndingFailed
	lastFailure      attemptResult
	triedHosts       []string // excluded from the next pick if others are available
}

// attemptOnce makes one attempt and reports whether the result is final.
func (r *jobRun) attemptOnce(ctx context.Context) (Result, bool) {
	l, err := r.acquireLease(ctx)
	if IsErrNoBackend(err) && r.attempts > 0 && r.refusals+r.noBackendRetries < maxRefusals {
		r.noBackendRetries++
		r.lastAttempt.mayHaveStarted = false
		return Result{}, false
	}
	if err != nil {
		return r.noLeaseResult(ctx, err), true
	}
	if result, ok := r.checkBeforeSend(); !ok {
		l.Done(Report{}, time.Now())
		return result, true
	}
	r.attempts++
	b := l.Backend()
	a := r.dispatcher.send(ctx, r.request, b, r.attempts)
	l.Done(a.report, time.Now())
	r.triedHosts = append(r.triedHosts, b.Host)
	return r.evaluate(a)
}

// acquireLease returns the lease of the request, or picks one if there is none or it is no longer usable.
func (r *jobRun) acquireLease(ctx context.Context) (*Lease, error) {
	if l := r.request.Lease; l != nil {
		r.request.Lease = nil
		if l.Usable() && ctx.Err() == nil {
			return l, nil
		}
		l.Done(Report{}, time.Now())
	}
	if err := ctx.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	l, err := r.pick(r.triedHosts)
	if err != nil && len(r.triedHosts) > 0 {
		return r.pick(nil)
	}
	return l, err
}

func (r *jobRun) pick(exclude []string) (*Lease, error) {
	q := r.request
	return r.dispatcher.router.pick(&Lease{}, q.Service, time.Now(), q.Idempotent, exclude)
}

// noLeaseResult returns the result of a job for which no lease was acquired.
func (r *jobRun) noLeaseResult(ctx context.Context, err error) Result {
	var e ErrNoBackend
	if errors.As(err, &e) {
		return r.finalResult(basilapi.CodeNoRunner, "no backend server can take the job now", e.RetryAfter)
	}
	return r.contextEndedResult(ctx)
}

// checkBeforeSend runs the caller's checks before a send; if it returns false, the result is final.
func (r *jobRun) checkBeforeSend() (Result, bool) {
	q := r.request
	if q.CheckSend != nil {
		if err := q.CheckSend(); err != nil {
			return r.sendDeniedResult(err), false
		}
	}
	if q.BeginAttempt != nil && !q.BeginAttempt(r.attempts+1) {
		return r.finalResult(basilapi.CodeCancelled, "the job was cancelled", 0), false
	}
	return Result{}, true
}

// sendDeniedResult returns the result of a job that Request.CheckSend rejected. The problem is
// that of the error, or CodeStale for an error without one.
func (r *jobRun) sendDeniedResult(err error) Result {
	p, ok := basilapi.AsProblem(err)
	if !ok {
		return r.finalResult(basilapi.CodeStale, err.Error(), r.retryAfter())
	}
	return r.finalResult(p.Code, p.Message, max(p.RetryAfter(), r.retryAfter()))
}

// evaluate records an attempt and reports whether the result is final.
func (r *jobRun) evaluate(a attemptResult) (Result, bool) {
	r.lastAttempt = a
	switch a.report.Ending {
	case EndingAnswered:
		return Result{Outcome: basilapi.OutcomeRan, Attempt: r.attempts, Answer: a.answer}, true
	case EndingRejected:
		return r.jobFailedResult(a), true
	case EndingRefused:
		r.refusals++
	case EndingFailed:
		r.failures++
		r.lastFailure = a
	default:
		r.mayHaveRun = r.mayHaveRun || a.mayHaveStarted
	}
	if a.report.Ending == EndingAbandoned {
		return r.finalResult(basilapi.CodeCancelled, "the request was abandoned", 0), true
	}
	if !r.mayRetry(a) {
		return r.finalResult(basilapi.CodeNoRunner, a.detail, r.retryAfter()), true
	}
	return Result{}, false
}

// mayRetry reports whether another attempt is safe and within the limits.
func (r *jobRun) mayRetry(a attemptResult) bool {
	if a.mayHaveStarted && !r.request.Idempotent {
		return false
	}
	if r.refusals+r.noBackendRetries > maxRefusals || r.failures >= maxReportedFailures {
		return false
	}
	return r.attempts-r.refusals < r.dispatcher.options.MaxAttempts
}

// waitForRetry waits before the next attempt. The result is final if the deadline or the retry
// budget permits no further attempt, or the context ends.
func (r *jobRun) waitForRetry(ctx context.Context) (Result, bool) {
	d := backoffDelay(r.attempts + r.noBackendRetries)
	if time.Until(r.request.Deadline) <= d {
		return r.finalResult(basilapi.CodeDeadlineExceeded, r.lastAttempt.detail, r.retryAfter()), true
	}
	if r.lastAttempt.mayHaveStarted && !r.dispatcher.router.spendRetry(r.request.Service) {
		return r.finalResult(basilapi.CodeOverloaded, r.lastAttempt.detail, r.retryAfter()), true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r.contextEndedResult(ctx), true
	case <-timer.C:
		return Result{}, false
	}
}

// contextEndedResult returns the result of a job whose context was cancelled or reached its deadline.
func (r *jobRun) contextEndedResult(ctx context.Context) Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.finalResult(basilapi.CodeCancelled, "the request was abandoned", 0)
	}
	return r.finalResult(basilapi.CodeDeadlineExceeded, "the deadline passed", r.retryAfter())
}

// finalResult returns the result of a job that is not attempted again. An earlier attempt that
// may have run takes precedence over a reported failure, and that over the given problem.
func (r *jobRun) finalResult(code basilapi.Code, message string, after time.Duration) Result {
	if r.mayHaveRun {
		p := r.newProblem(basilapi.CodeOutcomeUnknown, basilapi.OutcomeUnknown, message, unknownOutcomeRetryAfter)
		return Result{Outcome: basilapi.OutcomeUnknown, Attempt: r.attempts, Problem: p}
	}
	if r.failures > 0 {
		return r.jobFailedResult(r.lastFailure)
	}
	p := r.newProblem(code, basilapi.OutcomeNotRun, message, after)
	return Result{Outcome: basilapi.OutcomeNotRun, Attempt: r.attempts, Problem: p}
}

// jobFailedResult returns the result of a job that ran and failed.
func (r *jobRun) jobFailedResult(a attemptResult) Result {
	p := r.newProblem(basilapi.CodeJobFailed, basilapi.OutcomeRan, a.detail, 0)
	return Result{Outcome: basilapi.OutcomeRan, Attempt: r.attempts, Answer: a.answer, Problem: p}
}

func (r *jobRun) newProblem(c basilapi.Code, o basilapi.Outcome, message string, after time.Duration) *basilapi.Problem {
	p := &basilapi.Problem{Code: c, Outcome: o, Message: message, RetryAfterMS: after.Milliseconds()}
	if id, err := basilapi.ParseJobID(r.request.Job); err == nil {
		p.Job = id
	}
	return p
}

func (r *jobRun) retryAfter() time.Duration { return r.dispatcher.router.retryAfter(r.request.Service) }
