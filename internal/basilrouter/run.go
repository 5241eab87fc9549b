package basilrouter

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// run is the progress of one job through its attempts.
type run struct {
	dispatcher *Dispatcher
	request    *Request
	attempts   int
	refusals   int   // attempts that were refused
	misses     int   // retries that found no backend server
	unsure     bool  // some attempt may have started and brought no whole answer
	last       trial // of the latest attempt
	failures   int   // whole answers that report a failure
	failed     trial // the latest of them
	tried      []string
}

// next makes one attempt; it tells whether the result is final.
func (r *run) next(ctx context.Context) (Result, bool) {
	l, err := r.take(ctx)
	if IsErrNoBackend(err) && r.attempts > 0 && r.refusals+r.misses < maxRefusals {
		r.misses++
		r.last.started = false
		return Result{}, false
	}
	if err != nil {
		return r.refused(ctx, err), true
	}
	if result, ok := r.clear(); !ok {
		l.Done(Report{}, time.Now())
		return result, true
	}
	r.attempts++
	b := l.Backend()
	t := r.dispatcher.send(ctx, r.request, b, r.attempts)
	l.Done(t.report, time.Now())
	r.tried = append(r.tried, b.Host)
	return r.judge(t)
}

// take returns the lease of the request or picks one; a lease that ran out is replaced.
func (r *run) take(ctx context.Context) (*Lease, error) {
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
	l, err := r.pick(r.tried)
	if err != nil && len(r.tried) > 0 {
		return r.pick(nil)
	}
	return l, err
}

func (r *run) pick(exclude []string) (*Lease, error) {
	q := r.request
	return r.dispatcher.router.pick(&Lease{}, q.Service, time.Now(), q.Idempotent, exclude)
}

// refused is the result of a job that could not be sent.
func (r *run) refused(ctx context.Context, err error) Result {
	var e ErrNoBackend
	if errors.As(err, &e) {
		return r.giveUp(basilapi.CodeNoRunner, "no backend server can take the job now", e.RetryAfter)
	}
	return r.expired(ctx)
}

// clear passes the checks that come just before a send; it tells whether to go on.
func (r *run) clear() (Result, bool) {
	q := r.request
	if q.Allowed != nil {
		if err := q.Allowed(); err != nil {
			return r.forbidden(err), false
		}
	}
	if q.Start != nil && !q.Start(r.attempts+1) {
		return r.giveUp(basilapi.CodeCancelled, "the job was cancelled", 0), false
	}
	return Result{}, true
}

// forbidden is the result of a job that may not be sent now; the error may carry a problem of its own.
func (r *run) forbidden(err error) Result {
	p, ok := basilapi.AsProblem(err)
	if !ok {
		return r.giveUp(basilapi.CodeStale, err.Error(), r.retryAfter())
	}
	return r.giveUp(p.Code, p.Message, max(p.RetryAfter(), r.retryAfter()))
}

// judge takes an attempt in; it tells whether the job is at its end.
func (r *run) judge(t trial) (Result, bool) {
	r.last = t
	switch t.report.Ending {
	case EndingAnswered:
		return Result{Outcome: basilapi.OutcomeRan, Attempt: r.attempts, Answer: t.answer}, true
	case EndingRejected:
		return r.jobFailed(t), true
	case EndingRefused:
		r.refusals++
	case EndingFailed:
		r.failures++
		r.failed = t
	default:
		r.unsure = r.unsure || t.started
	}
	if t.report.Ending == EndingAbandoned {
		return r.giveUp(basilapi.CodeCancelled, "the request was abandoned", 0), true
	}
	if !r.mayRepeat(t) {
		return r.giveUp(basilapi.CodeNoRunner, t.detail, r.retryAfter()), true
	}
	return Result{}, false
}

// mayRepeat tells whether another attempt is safe and of use.
func (r *run) mayRepeat(t trial) bool {
	if t.started && !r.request.Idempotent {
		return false
	}
	if r.refusals+r.misses > maxRefusals || r.failures >= maxWholeFailures {
		return false
	}
	return r.attempts-r.refusals < r.dispatcher.options.MaxAttempts
}

// wait passes the time before the next attempt, if the budget and the deadline allow one.
func (r *run) wait(ctx context.Context) (Result, bool) {
	d := jittered(r.attempts + r.misses)
	if time.Until(r.request.Deadline) <= d {
		return r.giveUp(basilapi.CodeDeadlineExceeded, r.last.detail, r.retryAfter()), true
	}
	if r.last.started && !r.dispatcher.router.spendRetry(r.request.Service) {
		return r.giveUp(basilapi.CodeOverloaded, r.last.detail, r.retryAfter()), true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r.expired(ctx), true
	case <-timer.C:
		return Result{}, false
	}
}

func (r *run) expired(ctx context.Context) Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return r.giveUp(basilapi.CodeCancelled, "the request was abandoned", 0)
	}
	return r.giveUp(basilapi.CodeDeadlineExceeded, "the deadline passed", r.retryAfter())
}

// giveUp returns the most that is known for certain.
func (r *run) giveUp(code basilapi.Code, message string, after time.Duration) Result {
	if r.unsure {
		p := r.problem(basilapi.CodeOutcomeUnknown, basilapi.OutcomeUnknown, message, askAgainAfter)
		return Result{Outcome: basilapi.OutcomeUnknown, Attempt: r.attempts, Problem: p}
	}
	if r.failures > 0 {
		return r.jobFailed(r.failed)
	}
	p := r.problem(code, basilapi.OutcomeNotRun, message, after)
	return Result{Outcome: basilapi.OutcomeNotRun, Attempt: r.attempts, Problem: p}
}

// jobFailed is the result of a job that ran and answered with a failure.
func (r *run) jobFailed(t trial) Result {
	p := r.problem(basilapi.CodeJobFailed, basilapi.OutcomeRan, t.detail, 0)
	return Result{Outcome: basilapi.OutcomeRan, Attempt: r.attempts, Answer: t.answer, Problem: p}
}

func (r *run) problem(c basilapi.Code, o basilapi.Outcome, message string, after time.Duration) *basilapi.Problem {
	p := &basilapi.Problem{Code: c, Outcome: o, Message: message, RetryAfterMS: after.Milliseconds()}
	if id, err := basilapi.ParseJobID(r.request.Job); err == nil {
		p.Job = id
	}
	return p
}

func (r *run) retryAfter() time.Duration { return r.dispatcher.router.retryAfter(r.request.Service) }
