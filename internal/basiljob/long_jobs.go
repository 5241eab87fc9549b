package basiljob

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Defaults of LongOptions.
const (
	defaultLease         = 2 * time.Minute
	defaultOnceLease     = time.Hour
	defaultPollEvery     = 5 * time.Second
	defaultScanEvery     = 5 * time.Second
	defaultWideEvery     = time.Minute
	defaultCheckpoint    = 15 * time.Minute
	defaultLongRetention = 7 * 24 * time.Hour
	defaultGiveUp        = time.Hour
	defaultCallTimeout   = 2 * time.Second
	defaultMaxFailed     = 3
	defaultMaxRefusals   = 10
	defaultRefusedFor    = time.Hour
	defaultMaxAttempts   = 50
	defaultMaxMisfits    = 3
	defaultParallel      = 16
	defaultCancelRate    = 20
	storeRetryAfter      = 5 * time.Second
)

// LongOptions configures a LongJobs; zero limits take the defaults.
type LongOptions struct {
	DataCentre  string
	Neighbours  []string // data centres whose jobs are adopted too
	Incarnation ulid.ULID
	Placer      Placer
	Members     Members
	Jitter      func(ceiling time.Duration) time.Duration // nil: full jitter

	Lease       time.Duration // of idempotent tasks, which go on elsewhere when it lapses
	OnceLease   time.Duration // of other tasks, which are lost when it lapses
	PollEvery   time.Duration // between looks at a started job
	ScanEvery   time.Duration // between searches of the data centre for jobs of gone owners
	WideEvery   time.Duration // between searches of the neighbours, and for own jobs that memory lacks
	Checkpoint  time.Duration // between stored checkpoints of one job
	GiveUp      time.Duration // how long an unreachable non-idempotent job stays open
	Retention   time.Duration // how long ended jobs are kept
	CallTimeout time.Duration // of one call to a worker
	MaxFailed   int           // hosts that a job may fail on
	MaxRefusals int           // refusals by hosts that end a job
	RefusedFor  time.Duration // age below which refusals end no job: the hosts may just be full
	MaxAttempts int           // that were not refused
	MaxMisfits  int           // findings in a row that the job fits no host
	Parallel    int           // jobs worked on at once
	CancelRate  int           // cancels a second
}

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o LongOptions) withDefaults() LongOptions {
	if o.Jitter == nil {
		o.Jitter = fullJitter
	}
	orDefault(&o.Lease, defaultLease)
	orDefault(&o.OnceLease, defaultOnceLease)
	orDefault(&o.PollEvery, defaultPollEvery)
	orDefault(&o.ScanEvery, defaultScanEvery)
	orDefault(&o.WideEvery, defaultWideEvery)
	orDefault(&o.Checkpoint, defaultCheckpoint)
	orDefault(&o.GiveUp, defaultGiveUp)
	orDefault(&o.Retention, defaultLongRetention)
	orDefault(&o.CallTimeout, defaultCallTimeout)
	orDefault(&o.MaxFailed, defaultMaxFailed)
	orDefault(&o.MaxRefusals, defaultMaxRefusals)
	orDefault(&o.RefusedFor, defaultRefusedFor)
	orDefault(&o.MaxAttempts, defaultMaxAttempts)
	orDefault(&o.MaxMisfits, defaultMaxMisfits)
	orDefault(&o.Parallel, defaultParallel)
	orDefault(&o.CancelRate, defaultCancelRate)
	return o
}

// LongJobs accepts, runs and ends long jobs, whose truth is their record in the table.
//
// An attempt is sent only by the one owner that recorded it first; whoever finds
// it recorded later asks the worker, or voids the attempt there.
type LongJobs struct {
	store   longJobStore
	tasks   basilplatform.Tasks
	options LongOptions

	stepping sync.Mutex // held by the one Step
	scanned  time.Time  // the data centre
	widened  time.Time  // the neighbours

	cancels     singleflight.Group
	turning     sync.Mutex
	cancelTurns *rate.Limiter
	cancelled   *lru.Cache[basilapi.JobID, basilapi.JobAnswer] // "not run" is final

	mutex sync.Mutex
	owned map[basilapi.JobID]*ownedJob
}

// NewLongJobs returns the long jobs of one incarnation of an entry host.
func NewLongJobs(t basilplatform.Table, tasks basilplatform.Tasks, o LongOptions) *LongJobs {
	o = o.withDefaults()
	cancelled, _ := lru.New[basilapi.JobID, basilapi.JobAnswer](maxCancelled) // fails only for sizes below 1
	return &LongJobs{
		store:   longJobStore{table: t, jitter: o.Jitter},
		tasks:   tasks,
		options: o,

		cancelTurns: rate.NewLimiter(rate.Limit(o.CancelRate), o.CancelRate),
		cancelled:   cancelled,

		owned: make(map[basilapi.JobID]*ownedJob),
	}
}

// Accept records the job; OutcomePending means that it will be run.
//
// Any entry host may accept any id, and a repeat finds the record. A refusal is
// an ErrProblem: OutcomeNotRun only when no record was or will be written by
// this submit, whereupon the caller asks with a fresh id, and OutcomeUnknown with
// where to ask otherwise. It fails with ErrRequestConflict when the id stands for
// another request.
func (l *LongJobs) Accept(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	if r.ID.IsZero() {
		r.ID = basilapi.NewJobID(l.options.DataCentre, l.options.Incarnation)
	}
	if len(r.Payload) > basilapi.MaxPayloadBytes {
		return refused(r.ID), notRun(r.ID, basilapi.CodeBodyTooLarge, "the payload is too large", 0)
	}
	if l.tooOld(r.ID) {
		return l.accepted(ctx, r)
	}
	j := longJob{LongJobRecord: l.newRecord(r)}
	saved, err := l.store.save(ctx, j,
		putBody(jobKey(r.ID, sortPayload), basilplatform.PreconditionAbsent, r.Payload),
		putBody(j.indexKey(), basilplatform.PreconditionAbsent, nil))
	switch {
	case err == nil:
		l.own(saved)
		return saved.answer(), nil
	case basilplatform.IsErrConditionFailed(err):
		return l.accepted(ctx, r)
	case basilplatform.IsErrOutcomeUnknown(err):
		return l.fence(ctx, r)
	case r.Retry:
		return pending(r.ID), unknown(r.ID, "the table service is away", storeRetryAfter)
	}
	return refused(r.ID), notRun(r.ID, basilapi.CodeStoreUnavailable, "the table service is away", storeRetryAfter)
}

func refused(id basilapi.JobID) basilapi.JobAnswer {
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeNotRun}
}

func pending(id basilapi.JobID) basilapi.JobAnswer {
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeUnknown}
}

func (l *LongJobs) newRecord(r basilapi.SubmitRequest) LongJobRecord {
	j := LongJobRecord{
		ID: r.ID, State: basilapi.JobStateAccepted, Outcome: basilapi.OutcomePending,
		Digest: digest(r), Service: r.Service, Idempotent: r.Idempotent, Urgent: r.Urgent,
		Cores: r.Cores, MemoryMB: r.MemoryMB, GuessMS: r.GuessMS, Payload: checksum(r.Payload),
		DataCentre: l.options.DataCentre, Owner: l.options.Incarnation,
	}
	if r.DeadlineMS > 0 {
		j.Deadline = time.Now().Add(r.Deadline()).UTC()
	}
	return j
}

// accepted answers a submit whose id has a record already.
func (l *LongJobs) accepted(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	j, err := l.store.load(ctx, r.ID)
	if IsErrJobNotExist(err) {
		return pending(r.ID), unknown(r.ID, reasonForgotten, 0)
	}
	if err != nil {
		return pending(r.ID), unknown(r.ID, "the table service is away", storeRetryAfter)
	}
	if j.Digest != digest(r) && !j.isTombstone() {
		return pending(r.ID), errors.WithStack(ErrRequestConflict{ID: r.ID})
	}
	return l.told(ctx, j)
}

// fence keeps a submit whose write may still take effect from doing so, or finds its record.
func (l *LongJobs) fence(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	_, err := l.entomb(ctx, r.ID)
	switch {
	case err == nil:
		return refused(r.ID), notRun(r.ID, basilapi.CodeStoreUnavailable, "the table service did not answer", storeRetryAfter)
	case basilplatform.IsErrConditionFailed(err):
		return l.accepted(ctx, r)
	}
	return pending(r.ID), unknown(r.ID, "the table service did not answer", storeRetryAfter)
}

// entomb records that the id will never be accepted, if it has no record.
func (l *LongJobs) entomb(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	j := longJob{LongJobRecord: LongJobRecord{
		ID: id, State: basilapi.JobStateCancelled, Outcome: basilapi.OutcomeNotRun,
		Code: basilapi.CodeCancelled, Reason: "the job was not accepted", DataCentre: l.options.DataCentre,
	}}
	_, err := l.store.save(ctx, j, putBody(j.endedKey(time.Now()), basilplatform.PreconditionNone, nil))
	return j.answer(), err
}

func (r LongJobRecord) isTombstone() bool { return r.Service == "" && r.final() }

// Get returns what is known of the job; it fails with ErrJobNotExist, ErrItemCorrupt or the table's error.
func (l *LongJobs) Get(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	j, err := l.store.load(ctx, id)
	if err != nil {
		return basilapi.JobAnswer{ID: id}, err
	}
	a := j.answer()
	if j.State != basilapi.JobStateDone {
		return a, nil
	}
	a.Answer, err = l.store.body(ctx, jobKey(id, sortResult), j.Result)
	if err != nil {
		return basilapi.JobAnswer{ID: id}, err
	}
	return a, nil
}

// told returns the answer of a job with the problem that goes with it.
func (l *LongJobs) told(ctx context.Context, j longJob) (basilapi.JobAnswer, error) {
	switch {
	case j.State == basilapi.JobStateDone:
		return l.Get(ctx, j.ID)
	case !j.final():
		return j.answer(), nil
	case j.Outcome == basilapi.OutcomeUnknown:
		return j.answer(), unknown(j.ID, j.Reason, 0)
	}
	return j.answer(), problem(basilapi.Problem{Code: j.Code, Outcome: j.Outcome, Message: j.Reason, Job: j.ID})
}
