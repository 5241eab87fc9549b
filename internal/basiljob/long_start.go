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

// Limits of urgent jobs, of which several fit into the time in which they must start.
const (
	urgentPatience = 400 * time.Millisecond // for a worker's first answer
	urgentRetry    = 200 * time.Millisecond // when no host is free
)

// Pauses of a job that workers refuse.
const (
	quickRefusals    = 3 // after which it waits
	refusalPause     = 500 * time.Millisecond
	refusalDoublings = 6 // to 32 s
)

// advance takes one job a step further.
func (l *LongJobs) advance(ctx context.Context, o *ownedJob) error {
	if o.reload {
		err := l.refresh(ctx, o)
		lease := o.job.State == basilapi.JobStateStarted && basilplatform.IsErrUnavailable(err)
		if o.reload && !lease { // a lease must be renewed also while the table is away
			return err
		}
	}
	switch {
	case o.ending != nil:
		return l.end(ctx, o)
	case o.job.State == basilapi.JobStateStarted:
		return l.watch(ctx, o)
	}
	return l.start(ctx, o)
}

// refresh reads the record again; the job stays marked when it is no longer ours.
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
		o.ending, o.started, o.renewed = nil, false, time.Now() // decided on what has changed since
	}
	o.job, o.reload = j, false
	return nil
}

// save stores the job; when the table doesn't say that it did, the record is read again first.
func (l *LongJobs) save(ctx context.Context, o *ownedJob, j longJob, more ...basilplatform.Write) error {
	saved, err := l.store.save(ctx, j, more...)
	if err != nil {
		o.reload = o.reload || !basilplatform.IsErrUnavailable(err)
		return err
	}
	o.job = saved
	return nil
}

// start chooses a host, records the attempt, and only then sends it, once.
func (l *LongJobs) start(ctx context.Context, o *ownedJob) error {
	if d := o.job.Deadline; !d.IsZero() && time.Now().After(d) && !o.job.Ran {
		return l.endWith(ctx, o, ending{
			state: basilapi.JobStateCancelled, outcome: basilapi.OutcomeNotRun,
			code: basilapi.CodeDeadlineExceeded, reason: "the deadline passed before the job started",
		})
	}
	p, err := l.options.Placer.Place(ctx, l.placement(o))
	if IsErrNothingFree(err) && l.evict(ctx, o) {
		p, err = l.options.Placer.Place(ctx, l.placement(o))
	}
	o.prefer = ""
	if err != nil {
		return l.unplaced(ctx, o, err)
	}
	o.misfits = 0
	t, err := l.task(ctx, o.job, p)
	if IsErrItemCorrupt(err) {
		return l.endWith(ctx, o, l.impossible(o.job, err.Error()))
	}
	if err != nil {
		o.reload = basilplatform.IsErrItemNotExist(err) // ended by another entry host
		return err
	}
	t.Boot, err = l.bootOf(ctx, p, t, o.job.Urgent)
	if err != nil {
		o.avoid = append(o.avoid, p.Host)
		l.tell(Observation{ID: o.job.ID, Event: TaskEventRefused, Service: o.job.Service, Host: p.Host})
		return err
	}
	j := o.job
	j.State, j.Attempt, j.Seen = basilapi.JobStateStarted, t.Attempt, false
	j.Host, j.Address, j.HostEpoch, j.Boot = p.Host, p.Address, p.HostEpoch, t.Boot
	if err := l.save(ctx, o, j); err != nil {
		return err
	}
	return l.send(ctx, o, t)
}

// bootOf asks the worker for its boot, without which its later word could not be believed.
func (l *LongJobs) bootOf(ctx context.Context, p Placement, t basilplatform.Task, urgent bool) (string, error) {
	patience := l.options.CallTimeout
	if urgent {
		patience = min(patience, urgentPatience)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	s, err := l.tasks.Status(ctx, p.Address, t.Job, t.Attempt)
	return s.Boot, err
}

func (l *LongJobs) placement(o *ownedJob) PlacementRequest {
	j := o.job
	return PlacementRequest{
		ID: j.ID, Service: j.Service, Cores: j.Cores, MemoryMB: j.MemoryMB, GuessMS: j.GuessMS,
		Urgent: j.Urgent, Attempt: j.Attempt + 1, Exclude: slices.Concat(j.FailedOn, o.avoid), Prefer: o.prefer,
	}
}

// unplaced decides what becomes of a job that no host was found for.
func (l *LongJobs) unplaced(ctx context.Context, o *ownedJob, err error) error {
	var busy ErrNothingFree
	switch {
	case errors.As(err, &busy):
		o.avoid = nil // better a host that refused it than none
		o.due = time.Now().Add(l.retryAfter(o.job, busy))
		return nil
	case !IsErrFitsNoHost(err):
		return err
	}
	o.misfits++
	if o.misfits < l.options.MaxMisfits {
		o.due = time.Now().Add(l.options.ScanEvery) // the view of the fleet may lag
		return nil
	}
	return l.endWith(ctx, o, l.impossible(o.job, err.Error()))
}

func (l *LongJobs) retryAfter(j longJob, e ErrNothingFree) time.Duration {
	if j.Urgent {
		return min(e.RetryAfter, urgentRetry)
	}
	return min(e.RetryAfter, l.options.ScanEvery)
}

// impossible is the end of a job that can't be run.
func (l *LongJobs) impossible(j longJob, reason string) ending {
	e := ending{code: basilapi.CodeJobImpossible, reason: reason}
	switch {
	case len(j.FailedOn) > 0:
		e.state, e.outcome = basilapi.JobStateFailed, basilapi.OutcomeRan
	case j.Ran:
		e.state, e.outcome = basilapi.JobStateUnknown, basilapi.OutcomeUnknown
	default:
		e.state, e.outcome = basilapi.JobStateFailed, basilapi.OutcomeNotRun
	}
	return e
}

// task reads what the worker needs; it does so before the attempt is recorded.
func (l *LongJobs) task(ctx context.Context, j longJob, p Placement) (basilplatform.Task, error) {
	t := basilplatform.Task{
		Job: j.ID.String(), Attempt: j.Attempt + 1, Service: j.Service,
		Host: p.Host, HostEpoch: p.HostEpoch, LeaseMillis: l.leaseOf(j).Milliseconds(),
		Cores: j.Cores, MemoryMB: j.MemoryMB, Idempotent: j.Idempotent, DurationGuess: j.GuessMS,
	}
	var err error
	t.Payload, err = l.store.body(ctx, jobKey(j.ID, sortPayload), j.Payload)
	if err == nil && j.Checkpoint != 0 {
		t.Checkpoint, err = l.store.body(ctx, jobKey(j.ID, sortCheckpoint), j.Checkpoint)
	}
	return t, err
}

// send sends a recorded attempt, for the first and only time.
func (l *LongJobs) send(ctx context.Context, o *ownedJob, t basilplatform.Task) error {
	o.renewed, o.lost, o.started = time.Now(), time.Time{}, false
	o.kept = o.renewed
	o.due = o.renewed.Add(l.lookEvery(o.job))
	call, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	err := l.tasks.Start(call, o.job.Address, t)
	switch {
	case err == nil:
		o.started = true
		return nil
	case basilplatform.IsErrRefused(err), basilplatform.IsErrUnavailable(err):
		return l.refusedBy(ctx, o, err)
	}
	return nil // it may have started: watch tells
}

// refusedBy takes back an attempt that its only send proved not to have started.
func (l *LongJobs) refusedBy(ctx context.Context, o *ownedJob, err error) error {
	l.observe(o.job, TaskEventRefused, 0)
	o.avoid = append(o.avoid, o.job.Host)
	j := o.job
	j.Refusals++
	if j.Refusals >= l.options.MaxRefusals && ageOf(j.ID) >= l.options.RefusedFor {
		return l.endWith(ctx, o, l.impossible(j, err.Error()))
	}
	saved := l.release(ctx, o, j)
	o.due = time.Now().Add(pauseAfter(j.LongJobRecord))
	if saved == nil && j.Refusals >= evictAfter && l.evict(ctx, o) {
		o.due = time.Now()
	}
	return saved
}

// ageOf returns the time since the id was minted.
func ageOf(id basilapi.JobID) time.Duration { return time.Since(ulid.Time(id.Serial().Time())) }

// pauseAfter returns how long a refused job waits: a full pool must not cost writes without end.
func pauseAfter(j LongJobRecord) time.Duration {
	if j.Refusals <= quickRefusals {
		return 0
	}
	pause := refusalPause << min(j.Refusals-quickRefusals-1, refusalDoublings)
	if j.Urgent {
		return min(pause, urgentRetry)
	}
	return pause
}

// release makes the job ready for its next attempt.
func (l *LongJobs) release(ctx context.Context, o *ownedJob, j longJob) error {
	if j.Attempt-j.Refusals >= l.options.MaxAttempts {
		return l.endWith(ctx, o, l.impossible(j, "too many attempts"))
	}
	l.tell(Observation{ID: j.ID, Event: TaskEventEnded})
	j.State, j.Seen = basilapi.JobStateAccepted, false
	j.Host, j.Address, j.HostEpoch, j.Boot = "", "", 0, ""
	o.due = time.Now()
	return l.save(ctx, o, j)
}

func (l *LongJobs) endWith(ctx context.Context, o *ownedJob, e ending) error {
	o.ending = &e
	return l.end(ctx, o)
}

// end stores a final state, again with each Step until the table takes it.
func (l *LongJobs) end(ctx context.Context, o *ownedJob) error {
	e := *o.ending
	j := o.job.closed(e.state, e.outcome, e.code, e.reason)
	writes := j.closing()
	if e.state == basilapi.JobStateDone {
		j.Result = checksum(e.result)
		writes = append(writes, putBody(jobKey(j.ID, sortResult), basilplatform.PreconditionAbsent, e.result))
	}
	if err := l.save(ctx, o, j, writes...); err != nil {
		return err
	}
	l.disown(j.ID)
	return nil
}
