package basiljob

import (
	"context"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// renewalsPerLease is how often a lease is renewed before it would lapse.
const renewalsPerLease = 3

// watch acts on what the worker of a started job says.
//
// The lease is renewed only while the worker answers, so that it lapses otherwise.
func (l *LongJobs) watch(ctx context.Context, o *ownedJob) error {
	o.due = time.Now().Add(l.lookEvery(o.job))
	s, err := l.ask(ctx, o, l.tasks.Status)
	if err == nil && s.State == basilplatform.TaskStateAbsent && !o.hasStarted() {
		s, err = l.ask(ctx, o, l.tasks.Stop) // voids it, should it still be on its way
	}
	if err != nil {
		return l.silent(ctx, o)
	}
	o.lost = time.Time{}
	return l.heard(ctx, o, s)
}

// lookEvery returns the time between looks, which leaves room for renewals.
func (l *LongJobs) lookEvery(j longJob) time.Duration {
	return min(l.options.PollEvery, l.leaseOf(j)/renewalsPerLease)
}

func (l *LongJobs) leaseOf(j longJob) time.Duration {
	if j.Idempotent {
		return l.options.Lease
	}
	return l.options.OnceLease
}

func (o *ownedJob) hasStarted() bool { return o.started || o.job.Seen }

func (l *LongJobs) renew(ctx context.Context, o *ownedJob) {
	now := time.Now()
	if now.Sub(o.renewed) < l.leaseOf(o.job)/renewalsPerLease {
		return
	}
	call, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	err := l.tasks.Renew(call, o.job.Address, o.job.ID.String(), o.job.Attempt, l.leaseOf(o.job))
	if !basilplatform.IsErrUnavailable(err) && !basilplatform.IsErrRefused(err) {
		o.renewed = now // a renewal without an answer may have taken effect
	}
}

type taskCall func(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error)

func (l *LongJobs) ask(ctx context.Context, o *ownedJob, call taskCall) (basilplatform.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	return call(ctx, o.job.Address, o.job.ID.String(), o.job.Attempt)
}

// silent decides on a job whose worker gives no answer.
func (l *LongJobs) silent(ctx context.Context, o *ownedJob) error {
	now := time.Now()
	if o.lost.IsZero() {
		o.lost = now
	}
	if o.job.Idempotent {
		if now.Sub(o.renewed) <= l.options.Lease {
			return nil
		}
		return l.lapsed(ctx, o)
	}
	if now.Sub(o.lost) < l.options.GiveUp {
		return nil
	}
	return l.endWith(ctx, o, ending{
		state: basilapi.JobStateUnknown, outcome: basilapi.OutcomeUnknown,
		code: basilapi.CodeOutcomeUnknown, reason: "the worker gave no answer",
	})
}

// lapsed lets an idempotent job go on elsewhere.
func (l *LongJobs) lapsed(ctx context.Context, o *ownedJob) error {
	j := o.job
	j.Ran = true
	o.avoid = append(o.avoid, j.Host)
	return l.release(ctx, o, j)
}

// heard acts on a worker's report.
func (l *LongJobs) heard(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	switch s.State {
	case basilplatform.TaskStateRunning:
		l.observe(o.job, TaskEventRunning, s.UsageCores)
		return l.running(ctx, o, s)
	case basilplatform.TaskStateDone:
		l.observe(o.job, TaskEventDone, 0)
		return l.done(ctx, o, s)
	case basilplatform.TaskStateFailed:
		l.observe(o.job, TaskEventFailed, 0)
		return l.failed(ctx, o, s)
	}
	if !o.hasStarted() && o.job.neverStarted(s) {
		return l.release(ctx, o, o.job)
	}
	return l.cutOff(ctx, o)
}

// running records that a non-idempotent job started, and keeps the checkpoint of an idempotent one.
func (l *LongJobs) running(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	o.started = true
	l.renew(ctx, o)
	j := o.job
	if !j.Idempotent {
		if j.Seen {
			return nil
		}
		j.Seen = true
		return l.save(ctx, o, j)
	}
	return l.keep(ctx, o, s.Checkpoint)
}

// keep stores the checkpoint if it is new and the last one is old enough.
func (l *LongJobs) keep(ctx context.Context, o *ownedJob, checkpoint []byte) error {
	j := o.job
	sum := checksum(checkpoint)
	if len(checkpoint) == 0 || len(checkpoint) > basilapi.MaxPayloadBytes || sum == j.Checkpoint {
		return nil
	}
	if time.Since(o.kept) < l.options.Checkpoint {
		return nil
	}
	j.Checkpoint = sum
	if err := l.save(ctx, o, j, putBody(jobKey(j.ID, sortCheckpoint), basilplatform.PreconditionNone, checkpoint)); err != nil {
		return err
	}
	o.kept = time.Now()
	return nil
}

func (l *LongJobs) done(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	if len(s.Result) > basilapi.MaxPayloadBytes {
		return l.endWith(ctx, o, failure("the result is too large"))
	}
	return l.endWith(ctx, o, ending{
		state: basilapi.JobStateDone, outcome: basilapi.OutcomeRan, result: s.Result,
	})
}

func failure(reason string) ending {
	return ending{
		state: basilapi.JobStateFailed, outcome: basilapi.OutcomeRan,
		code: basilapi.CodeJobFailed, reason: reason,
	}
}

// failed lets an idempotent job try other hosts; one that fails on several is at fault itself.
func (l *LongJobs) failed(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	j := o.job
	j.Ran = true
	if !slices.Contains(j.FailedOn, j.Host) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Host)
	}
	if !j.Idempotent || len(j.FailedOn) >= l.options.MaxFailed {
		return l.endWith(ctx, o, failure(s.Message))
	}
	return l.release(ctx, o, j)
}

// cutOff decides on an attempt that started and ended without a result.
func (l *LongJobs) cutOff(ctx context.Context, o *ownedJob) error {
	if o.job.Idempotent {
		return l.lapsed(ctx, o)
	}
	return l.endWith(ctx, o, ending{
		state: basilapi.JobStateUnknown, outcome: basilapi.OutcomeUnknown,
		code: basilapi.CodeOutcomeUnknown, reason: "the attempt was cut off after it had started",
	})
}
