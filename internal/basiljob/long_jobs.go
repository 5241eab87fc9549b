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
	defaultLease              = 2 * time.Minute
	defaultNonIdempotentLease = time.Hour
	defaultPollInterval       = 5 * time.Second
	defaultScanInterval       = 5 * time.Second
	defaultWideScanInterval   = time.Minute
	defaultCheckpointInterval = 15 * time.Minute
	defaultLongRetention      = 7 * 24 * time.Hour
	defaultUnreachableTimeout = time.Hour
	defaultCallTimeout        = 2 * time.Second
	defaultMaxFailedHosts     = 3
	defaultMaxRefusals        = 10
	defaultMinRefusalAge      = time.Hour
	defaultMaxAttempts        = 50
	defaultMaxFitFailures     = 3
	defaultParallel           = 16
	defaultCancelRate         = 20
	storeRetryAfter           = 5 * time.Second
)

// LongOptions configures LongJobs; limits that are zero are set to their defaults.
type LongOptions struct {
	DataCentre  string
	Neighbours  []string // further data centres whose jobs are adopted
	Incarnation ulid.ULID
	Placer      Placer
	Members     Members
	Jitter      func(ceiling time.Duration) time.Duration // nil: full jitter

	Lease              time.Duration // of idempotent tasks, which are restarted elsewhere after it expires
	NonIdempotentLease time.Duration // of other tasks, which are lost after it expires
	PollInterval       time.Duration // interval between status requests for a started job
	ScanInterval       time.Duration // interval between searches of the data centre for jobs of dead owners
	WideScanInterval   time.Duration // interval between searches of the neighbours, and for owned jobs that are missing in memory
	CheckpointInterval time.Duration // minimum interval between stored checkpoints of a job
	UnreachableTimeout time.Duration // how long a non-idempotent job stays open while its worker is unreachable
	Retention          time.Duration // how long ended jobs are kept
	CallTimeout        time.Duration // timeout of a call to a worker
	MaxFailedHosts     int           // number of hosts on which a job fails before it ends as failed
	MaxRefusals        int           // number of refusals by hosts after which a job ends
	MinRefusalAge      time.Duration // age up to which a job isn't ended by refusals, as the hosts may only be full
	MaxAttempts        int           // attempts of a job, not counting refused ones
	MaxFitFailures     int           // consecutive placements that found no host large enough, after which a job ends
	Parallel           int           // jobs processed concurrently
	CancelRate         int           // cancellations per second
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
	orDefault(&o.NonIdempotentLease, defaultNonIdempotentLease)
	orDefault(&o.PollInterval, defaultPollInterval)
	orDefault(&o.ScanInterval, defaultScanInterval)
	orDefault(&o.WideScanInterval, defaultWideScanInterval)
	orDefault(&o.CheckpointInterval, defaultCheckpointInterval)
	orDefault(&o.UnreachableTimeout, defaultUnreachableTimeout)
	orDefault(&o.Retention, defaultLongRetention)
	orDefault(&o.CallTimeout, defaultCallTimeout)
	orDefault(&o.MaxFailedHosts, defaultMaxFailedHosts)
	orDefault(&o.MaxRefusals, defaultMaxRefusals)
	orDefault(&o.MinRefusalAge, defaultMinRefusalAge)
	orDefault(&o.MaxAttempts, defaultMaxAttempts)
	orDefault(&o.MaxFitFailures, defaultMaxFitFailures)
	orDefault(&o.Parallel, defaultParallel)
	orDefault(&o.CancelRate, defaultCancelRate)
	return o
}

// LongJobs accepts, runs and ends long jobs; the authoritative state of a job is its record in the table.
//
// An attempt is sent only by the owner that recorded it. An owner that finds an
// attempt recorded already asks the worker for its status, or prevents the
// attempt from starting there.
type LongJobs struct {
	store   longJobStore
	tasks   basilplatform.Tasks
	options LongOptions

	stepMutex    sync.Mutex // held during Step
	lastScan     time.Time  // last search of the data centre
	lastWideScan time.Time  // last search of the neighbours

	cancelGroup   singleflight.Group
	reserveMutex  sync.Mutex
	cancelLimiter *rate.Limiter
	cancelCache   *lru.Cache[basilapi.JobID, basilapi.JobAnswer] // successful cancellations, which are final

	mutex sync.Mutex
	owned map[basilapi.JobID]*ownedJob
}

// NewLongJobs returns the LongJobs of one incarnation of an entry host.
func NewLongJobs(t basilplatform.Table, tasks basilplatform.Tasks, o LongOptions) *LongJobs {
	o = o.withDefaults()
	cancelCache, _ := lru.New[basilapi.JobID, basilapi.JobAnswer](cancelCacheSize) // fails only for sizes below 1
	return &LongJobs{
		store:   longJobStore{table: t, jitter: o.Jitter},
		tasks:   tasks,
		options: o,

		cancelLimiter: rate.NewLimiter(rate.Limit(o.CancelRate), o.CancelRate),
		cancelCache:   cancelCache,

		owned: make(map[basilapi.JobID]*ownedJob),
	}
}

// Accept records the job; OutcomePending means that the job will be run.
//
// Any entry host may accept any id, and a repeated submit finds the record. A
// rejection is an ErrProblem. It has OutcomeNotRun only if this submit neither
// wrote nor will write a record; the caller then submits again with a new id.
// Otherwise it has OutcomeUnknown and names where to ask for the answer. It
// fails with ErrRequestConflict if the id is in use by a different request.
func (l *LongJobs) Accept(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	if r.ID.IsZero() {
		r.ID = basilapi.NewJobID(l.options.DataCentre, l.options.Incarnation)
	}
	if len(r.Payload) > basilapi.MaxPayloadBytes {
		return notRunAnswer(r.ID), notRunError(r.ID, basilapi.CodeBodyTooLarge, "the payload is too large", 0)
	}
	if l.tooOld(r.ID) {
		return l.answerExisting(ctx, r)
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
		return l.answerExisting(ctx, r)
	case basilplatform.IsErrOutcomeUnknown(err):
		return l.preventAcceptance(ctx, r)
	case r.Retry:
		return unknownAnswer(r.ID), outcomeUnknownError(r.ID, "the table service is away", storeRetryAfter)
	}
	return notRunAnswer(r.ID), notRunError(r.ID, basilapi.CodeStoreUnavailable, "the table service is away", storeRetryAfter)
}

func notRunAnswer(id basilapi.JobID) basilapi.JobAnswer {
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeNotRun}
}

func unknownAnswer(id basilapi.JobID) basilapi.JobAnswer {
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeUnknown}
}

func (l *LongJobs) newRecord(r basilapi.SubmitRequest) LongJobRecord {
	j := LongJobRecord{
		ID: r.ID, State: basilapi.JobStateAccepted, Outcome: basilapi.OutcomePending,
		Digest: digest(r), Service: r.Service, Idempotent: r.Idempotent, Urgent: r.Urgent,
		Cores: r.Cores, MemoryMB: r.MemoryMB, GuessMS: r.GuessMS, PayloadSum: checksum(r.Payload),
		DataCentre: l.options.DataCentre, Owner: l.options.Incarnation,
	}
	if r.DeadlineMS > 0 {
		j.Deadline = time.Now().Add(r.Deadline()).UTC()
	}
	return j
}

// answerExisting answers a submit whose id has, or once had, a record.
func (l *LongJobs) answerExisting(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	j, err := l.store.load(ctx, r.ID)
	if IsErrJobNotExist(err) {
		return unknownAnswer(r.ID), outcomeUnknownError(r.ID, reasonForgotten, 0)
	}
	if err != nil {
		return unknownAnswer(r.ID), outcomeUnknownError(r.ID, "the table service is away", storeRetryAfter)
	}
	if j.Digest != digest(r) && !j.isTombstone() {
		return unknownAnswer(r.ID), errors.WithStack(ErrRequestConflict{ID: r.ID})
	}
	return l.answerWithProblem(ctx, j)
}

// preventAcceptance prevents a write of a submit that is still in flight from taking effect, or answers from the record that it wrote.
func (l *LongJobs) preventAcceptance(ctx context.Context, r basilapi.SubmitRequest) (basilapi.JobAnswer, error) {
	_, err := l.storeTombstone(ctx, r.ID)
	switch {
	case err == nil:
		return notRunAnswer(r.ID), notRunError(r.ID, basilapi.CodeStoreUnavailable, "the table service did not answer", storeRetryAfter)
	case basilplatform.IsErrConditionFailed(err):
		return l.answerExisting(ctx, r)
	}
	return unknownAnswer(r.ID), outcomeUnknownError(r.ID, "the table service did not answer", storeRetryAfter)
}

// storeTombstone stores a tombstone, so that the id is never accepted, if the id has no record.
func (l *LongJobs) storeTombstone(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	j := longJob{LongJobRecord: LongJobRecord{
		ID: id, State: basilapi.JobStateCancelled, Outcome: basilapi.OutcomeNotRun,
		Code: basilapi.CodeCancelled, Reason: "the job was not accepted", DataCentre: l.options.DataCentre,
	}}
	_, err := l.store.save(ctx, j, putBody(j.endedKey(time.Now()), basilplatform.PreconditionNone, nil))
	return j.answer(), err
}

func (r LongJobRecord) isTombstone() bool { return r.Service == "" && r.final() }

// Get returns the current answer of the job; it fails with ErrJobNotExist, ErrItemCorrupt or the table's error.
func (l *LongJobs) Get(ctx context.Context, id basilapi.JobID) (basilapi.JobAnswer, error) {
	j, err := l.store.load(ctx, id)
	if err != nil {
		return basilapi.JobAnswer{ID: id}, err
	}
	a := j.answer()
	if j.State != basilapi.JobStateDone {
		return a, nil
	}
	a.Answer, err = l.store.loadBody(ctx, jobKey(id, sortResult), j.ResultSum)
	if err != nil {
		return basilapi.JobAnswer{ID: id}, err
	}
	return a, nil
}

// answerWithProblem returns the answer of a job together with the problem that describes its state, if any.
func (l *LongJobs) answerWithProblem(ctx context.Context, j longJob) (basilapi.JobAnswer, error) {
	switch {
	case j.State == basilapi.JobStateDone:
		return l.Get(ctx, j.ID)
	case !j.final():
		return j.answer(), nil
	case j.Outcome == basilapi.OutcomeUnknown:
		return j.answer(), outcomeUnknownError(j.ID, j.Reason, 0)
	}
	return j.answer(), problemError(basilapi.Problem{Code: j.Code, Outcome: j.Outcome, Message: j.Reason, Job: j.ID})
}
