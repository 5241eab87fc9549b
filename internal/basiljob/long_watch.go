package basiljob

import (
	"context"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// renewalsPerLease is the number of renewals within the duration of a lease.
const renewalsPerLease = 3

// watch requests the status of a started job from its worker and handles it.
//
// The lease is renewed only while the worker answers, so that it expires otherwise.
func (l *LongJobs) watch(ctx context.Context, o *ownedJob) error {
	o.nextCheckAt = time.Now().Add(l.pollInterval(o.job))
	s, err := l.callWorker(ctx, o, l.tasks.Status)
	if err == nil && s.State == basilplatform.TaskStateAbsent && !o.hasStarted() {
		s, err = l.callWorker(ctx, o, l.tasks.Stop) // prevents the start if the request is still in flight
	}
	if err != nil {
		return l.handleNoAnswer(ctx, o)
	}
	o.unreachableSince = time.Time{}
	return l.handleStatus(ctx, o, s)
}

// pollInterval returns the interval between status requests, short enough to renew the lease in time.
func (l *LongJobs) pollInterval(j longJob) time.Duration {
	return min(l.options.PollInterval, l.leaseDuration(j)/renewalsPerLease)
}

func (l *LongJobs) leaseDuration(j longJob) time.Duration {
	if j.Idempotent {
		return l.options.Lease
	}
	return l.options.NonIdempotentLease
}

func (o *ownedJob) hasStarted() bool { return o.started || o.job.StartConfirmed }

func (l *LongJobs) renew(ctx context.Context, o *ownedJob) {
	now := time.Now()
	if now.Sub(o.leaseRenewedAt) < l.leaseDuration(o.job)/renewalsPerLease {
		return
	}
	call, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	err := l.tasks.Renew(call, o.job.Address, o.job.ID.String(), o.job.Attempt, l.leaseDuration(o.job))
	if !basilplatform.IsErrUnavailable(err) && !basilplatform.IsErrRefused(err) {
		o.leaseRenewedAt = now // a renewal without a response may have taken effect
	}
}

type taskCall func(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error)

func (l *LongJobs) callWorker(ctx context.Context, o *ownedJob, call taskCall) (basilplatform.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	return call(ctx, o.job.Address, o.job.ID.String(), o.job.Attempt)
}

// handleNoAnswer handles a job whose worker doesn't answer: after a timeout the job is retried elsewhere or ended.
func (l *LongJobs) handleNoAnswer(ctx context.Context, o *ownedJob) error {
	now := time.Now()
	if o.unreachableSince.IsZero() {
		o.unreachableSince = now
	}
	if o.job.Idempotent {
		if now.Sub(o.leaseRenewedAt) <= l.options.Lease {
			return nil
		}
		return l.retryElsewhere(ctx, o)
	}
	if now.Sub(o.unreachableSince) < l.options.UnreachableTimeout {
		return nil
	}
	return l.endWith(ctx, o, finalState{
		state: basilapi.JobStateUnknown, outcome: basilapi.OutcomeUnknown,
		code: basilapi.CodeOutcomeUnknown, reason: "the worker gave no answer",
	})
}

// retryElsewhere prepares an idempotent job for another attempt, on another host if possible.
func (l *LongJobs) retryElsewhere(ctx context.Context, o *ownedJob) error {
	j := o.job
	j.MayHaveRun = true
	o.avoidedHosts = append(o.avoidedHosts, j.Host)
	return l.prepareRetry(ctx, o, j)
}

// handleStatus handles a worker's status report.
func (l *LongJobs) handleStatus(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	switch s.State {
	case basilplatform.TaskStateRunning:
		l.observe(o.job, TaskEventRunning, s.UsageCores)
		return l.handleRunning(ctx, o, s)
	case basilplatform.TaskStateDone:
		l.observe(o.job, TaskEventDone, 0)
		return l.handleDone(ctx, o, s)
	case basilplatform.TaskStateFailed:
		l.observe(o.job, TaskEventFailed, 0)
		return l.handleFailed(ctx, o, s)
	}
	if !o.hasStarted() && o.job.neverStarted(s) {
		return l.prepareRetry(ctx, o, o.job)
	}
	return l.handleInterrupted(ctx, o)
}

// handleRunning renews the lease, records that a non-idempotent job has started, and stores the checkpoint of an idempotent one.
func (l *LongJobs) handleRunning(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	o.started = true
	l.renew(ctx, o)
	j := o.job
	if !j.Idempotent {
		if j.StartConfirmed {
			return nil
		}
		j.StartConfirmed = true
		return l.save(ctx, o, j)
	}
	return l.storeCheckpoint(ctx, o, s.Checkpoint)
}

// storeCheckpoint stores the checkpoint if it differs from the last one and the interval between checkpoints has passed.
func (l *LongJobs) storeCheckpoint(ctx context.Context, o *ownedJob, checkpoint []byte) error {
	j := o.job
	sum := checksum(checkpoint)
	if len(checkpoint) == 0 || len(checkpoint) > basilapi.MaxPayloadBytes || sum == j.CheckpointSum {
		return nil
	}
	if time.Since(o.checkpointedAt) < l.options.CheckpointInterval {
		return nil
	}
	j.CheckpointSum = sum
	if err := l.save(ctx, o, j, putBody(jobKey(j.ID, sortCheckpoint), basilplatform.PreconditionNone, checkpoint)); err != nil {
		return err
	}
	o.checkpointedAt = time.Now()
	return nil
}

func (l *LongJobs) handleDone(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	if len(s.Result) > basilapi.MaxPayloadBytes {
		return l.endWith(ctx, o, failureEnding("the result is too large"))
	}
	return l.endWith(ctx, o, finalState{
		state: basilapi.JobStateDone, outcome: basilapi.OutcomeRan, result: s.Result,
	})
}

func failureEnding(reason string) finalState {
	return finalState{
		state: basilapi.JobStateFailed, outcome: basilapi.OutcomeRan,
		code: basilapi.CodeJobFailed, reason: reason,
	}
}

// handleFailed retries an idempotent job on other hosts, until it has failed on so many that the fault must be its own.
func (l *LongJobs) handleFailed(ctx context.Context, o *ownedJob, s basilplatform.TaskStatus) error {
	j := o.job
	j.MayHaveRun = true
	if !slices.Contains(j.FailedOn, j.Host) {
		j.FailedOn = append(slices.Clone(j.FailedOn), j.Host)
	}
	if !j.Idempotent || len(j.FailedOn) >= l.options.MaxFailedHosts {
		return l.endWith(ctx, o, failureEnding(s.Message))
	}
	return l.prepareRetry(ctx, o, j)
}

// handleInterrupted handles an attempt that may have started and ended without a result.
func (l *LongJobs) handleInterrupted(ctx context.Context, o *ownedJob) error {
	if o.job.Idempotent {
		return l.retryElsewhere(ctx, o)
	}
	return l.endWith(ctx, o, finalState{
		state: basilapi.JobStateUnknown, outcome: basilapi.OutcomeUnknown,
		code: basilapi.CodeOutcomeUnknown, reason: "the attempt was cut off after it had started",
	})
}
