package basiljob

import (
	"context"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of urgent jobs, short enough for several tries within the time in which the job must start.
const (
	urgentStatusTimeout = 400 * time.Millisecond // timeout of the first status request to a worker
	maxUrgentDelay      = 200 * time.Millisecond // longest wait if no host is free or the hosts refuse
)

// Backoff of a job that workers refuse.
const (
	immediateRetries    = 3 // refusals after which the job is retried without delay
	refusalBackoff      = 500 * time.Millisecond
	maxRefusalDoublings = 6 // up to 32 s
)

// advance processes one job: it reloads, ends, watches or starts it.
func (l *LongJobs) advance(ctx context.Context, o *ownedJob) error {
	if o.reload {
		err := l.refresh(ctx, o)
		renewOnly := o.job.State == basilapi.JobStateStarted && basilplatform.IsErrUnavailable(err)
		if o.reload && !renewOnly { // a lease must be renewed even while the table is unavailable
			return err
		}
	}
	switch {
	case o.pendingEnd != nil:
		return l.storeEnding(ctx, o)
	case o.job.State == basilapi.JobStateStarted:
		return l.watch(ctx, o)
	}
	return l.start(ctx, o)
}

// refresh reloads the record; a job that has ended or has another owner stays marked for reload and is dropped.
func (l *LongJobs) refresh(ctx context.Context, o *ownedJob) error {
	j, err := l.store.load(ctx, o.job.ID)
	if err != nil {
		return err
	}
	if j.final() || j.Owner != l.options.Incarnation {
		l.disown(j.ID)
		return nil
	}
	if j.Attempt != o.job.Attempt || j.State != o.job.State {
		o.pendingEnd, o.started, o.leaseRenewedAt = nil, false, time.Now() // decisions based on the old record are void
	}
	o.job, o.reload = j, false
	return nil
}

// save stores the job; after any error but ErrUnavailable the record is reloaded before the job is processed again.
func (l *LongJobs) save(ctx context.Context, o *ownedJob, j longJob, more ...basilplatform.Write) error {
	saved, err := l.store.save(ctx, j, more...)
	if err != nil {
		o.reload = o.reload || !basilplatform.IsErrUnavailable(err)
		return err
	}
	o.job = saved
	return nil
}

// start chooses a host, records the attempt, and only then sends it, exactly once.
func (l *LongJobs) start(ctx context.Context, o *ownedJob) error {
	if d := o.job.Deadline; !d.IsZero() && time.Now().After(d) && !o.job.MayHaveRun {
		return l.endWith(ctx, o, finalState{
			state: basilapi.JobStateCancelled, outcome: basilapi.OutcomeNotRun,
			code: basilapi.CodeDeadlineExceeded, reason: "the deadline passed before the job started",
		})
	}
	p, err := l.options.Placer.Place(ctx, l.placementRequest(o))
	if IsErrNothingFree(err) && l.evict(ctx, o) {
		p, err = l.options.Placer.Place(ctx, l.placementRequest(o))
	}
	o.preferredHost = ""
	if err != nil {
		return l.handlePlacementError(ctx, o, err)
	}
	o.fitFailures = 0
	t, err := l.loadTask(ctx, o.job, p)
	if IsErrItemCorrupt(err) {
		return l.endWith(ctx, o, l.impossibleEnding(o.job, err.Error()))
	}
	if err != nil {
		o.reload = basilplatform.IsErrItemNotExist(err) // another entry host has ended the job
		return err
	}
	t.Boot, err = l.workerBoot(ctx, p, t, o.job.Urgent)
	if err != nil {
		o.avoidedHosts = append(o.avoidedHosts, p.Host)
		l.notifyObserver(Observation{ID: o.job.ID, Event: TaskEventRefused, Service: o.job.Service, Host: p.Host})
		return err
	}
	j := o.job
	j.State, j.Attempt, j.StartConfirmed = basilapi.JobStateStarted, t.Attempt, false
	j.Host, j.Address, j.HostEpoch, j.Boot = p.Host, p.Address, p.HostEpoch, t.Boot
	if err := l.save(ctx, o, j); err != nil {
		return err
	}
	return l.send(ctx, o, t)
}

// workerBoot asks the worker for its boot id, without which its later status reports prove nothing.
func (l *LongJobs) workerBoot(ctx context.Context, p Placement, t basilplatform.Task, urgent bool) (string, error) {
	timeout := l.options.CallTimeout
	if urgent {
		timeout = min(timeout, urgentStatusTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := l.tasks.Status(ctx, p.Address, t.Job, t.Attempt)
	return s.Boot, err
}

func (l *LongJobs) placementRequest(o *ownedJob) PlacementRequest {
	j := o.job
	return PlacementRequest{
		ID: j.ID, Service: j.Service, Cores: j.Cores, MemoryMB: j.MemoryMB, GuessMS: j.GuessMS,
		Urgent: j.Urgent, Attempt: j.Attempt + 1, Exclude: slices.Concat(j.FailedOn, o.avoidedHosts), Prefer: o.preferredHost,
	}
}

// handlePlacementError handles an error of the placer: it retries later, or ends a job that fits no host.
func (l *LongJobs) handlePlacementError(ctx context.Context, o *ownedJob, err error) error {
	var nothingFree ErrNothingFree
	switch {
	case errors.As(err, &nothingFree):
		o.avoidedHosts = nil // hosts that refused the job are better than none
		o.nextCheckAt = time.Now().Add(l.retryAfter(o.job, nothingFree))
		return nil
	case !IsErrFitsNoHost(err):
		return err
	}
	o.fitFailures++
	if o.fitFailures < l.options.MaxFitFailures {
		o.nextCheckAt = time.Now().Add(l.options.ScanInterval) // the placer's view of the fleet may be outdated
		return nil
	}
	return l.endWith(ctx, o, l.impossibleEnding(o.job, err.Error()))
}

func (l *LongJobs) retryAfter(j longJob, e ErrNothingFree) time.Duration {
	if j.Urgent {
		return min(e.RetryAfter, maxUrgentDelay)
	}
	return min(e.RetryAfter, l.options.ScanInterval)
}

// impossibleEnding returns the final state of a job that can't be run any further.
func (l *LongJobs) impossibleEnding(j longJob, reason string) finalState {
	e := finalState{code: basilapi.CodeJobImpossible, reason: reason}
	switch {
	case len(j.FailedOn) > 0:
		e.state, e.outcome = basilapi.JobStateFailed, basilapi.OutcomeRan
	case j.MayHaveRun:
		e.state, e.outcome = basilapi.JobStateUnknown, basilapi.OutcomeUnknown
	default:
		e.state, e.outcome = basilapi.JobStateFailed, basilapi.OutcomeNotRun
	}
	return e
}

// loadTask loads what the worker needs to run the next attempt; it is called before the attempt is recorded.
func (l *LongJobs) loadTask(ctx context.Context, j longJob, p Placement) (basilplatform.Task, error) {
	t := basilplatform.Task{
		Job: j.ID.String(), Attempt: j.Attempt + 1, Service: j.Service,
		Host: p.Host, HostEpoch: p.HostEpoch, LeaseMillis: l.leaseDuration(j).Milliseconds(),
		Cores: j.Cores, MemoryMB: j.MemoryMB, Idempotent: j.Idempotent, DurationGuess: j.GuessMS,
	}
	var err error
	t.Payload, err = l.store.loadBody(ctx, jobKey(j.ID, sortPayload), j.PayloadSum)
	if err == nil && j.CheckpointSum != 0 {
		t.Checkpoint, err = l.store.loadBody(ctx, jobKey(j.ID, sortCheckpoint), j.CheckpointSum)
	}
	return t, err
}

// send sends a recorded attempt; it is called once per attempt.
func (l *LongJobs) send(ctx context.Context, o *ownedJob, t basilplatform.Task) error {
	o.leaseRenewedAt, o.unreachableSince, o.started = time.Now(), time.Time{}, false
	o.checkpointedAt = o.leaseRenewedAt
	o.nextCheckAt = o.leaseRenewedAt.Add(l.pollInterval(o.job))
	call, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	err := l.tasks.Start(call, o.job.Address, t)
	switch {
	case err == nil:
		o.started = true
		return nil
	case basilplatform.IsErrRefused(err), basilplatform.IsErrUnavailable(err):
		return l.handleRefusal(ctx, o, err)
	}
	return nil // it may have started; watch finds out
}

// handleRefusal handles a recorded attempt that its worker provably didn't start.
func (l *LongJobs) handleRefusal(ctx context.Context, o *ownedJob, err error) error {
	l.observe(o.job, TaskEventRefused, 0)
	o.avoidedHosts = append(o.avoidedHosts, o.job.Host)
	j := o.job
	j.Refusals++
	if j.Refusals >= l.options.MaxRefusals && jobAge(j.ID) >= l.options.MinRefusalAge {
		return l.endWith(ctx, o, l.impossibleEnding(j, err.Error()))
	}
	saveErr := l.prepareRetry(ctx, o, j)
	o.nextCheckAt = time.Now().Add(refusalDelay(j.LongJobRecord))
	if saveErr == nil && j.Refusals >= evictAfterRefusals && l.evict(ctx, o) {
		o.nextCheckAt = time.Now()
	}
	return saveErr
}

// jobAge returns the time since the job id was issued.
func jobAge(id basilapi.JobID) time.Duration { return time.Since(ulid.Time(id.Serial().Time())) }

// refusalDelay returns the delay of a refused job, which limits the table writes while a pool is full.
func refusalDelay(j LongJobRecord) time.Duration {
	if j.Refusals <= immediateRetries {
		return 0
	}
	delay := refusalBackoff << min(j.Refusals-immediateRetries-1, maxRefusalDoublings)
	if j.Urgent {
		return min(delay, maxUrgentDelay)
	}
	return delay
}

// prepareRetry prepares the job for its next attempt, or ends it after too many.
func (l *LongJobs) prepareRetry(ctx context.Context, o *ownedJob, j longJob) error {
	if j.Attempt-j.Refusals >= l.options.MaxAttempts {
		return l.endWith(ctx, o, l.impossibleEnding(j, "too many attempts"))
	}
	l.notifyObserver(Observation{ID: j.ID, Event: TaskEventEnded})
	j.State, j.StartConfirmed = basilapi.JobStateAccepted, false
	j.Host, j.Address, j.HostEpoch, j.Boot = "", "", 0, ""
	o.nextCheckAt = time.Now()
	return l.save(ctx, o, j)
}

func (l *LongJobs) endWith(ctx context.Context, o *ownedJob, e finalState) error {
	o.pendingEnd = &e
	return l.storeEnding(ctx, o)
}

// storeEnding stores the final state; after an error each Step tries again.
func (l *LongJobs) storeEnding(ctx context.Context, o *ownedJob) error {
	e := *o.pendingEnd
	j := o.job.withFinalState(e.state, e.outcome, e.code, e.reason)
	writes := j.finalWrites()
	if e.state == basilapi.JobStateDone {
		j.ResultSum = checksum(e.result)
		writes = append(writes, putBody(jobKey(j.ID, sortResult), basilplatform.PreconditionAbsent, e.result))
	}
	if err := l.save(ctx, o, j, writes...); err != nil {
		return err
	}
	l.disown(j.ID)
	return nil
}
