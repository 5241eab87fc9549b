package basiljob

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Defaults of RegistryOptions.
const (
	defaultMaxJobs        = 100_000
	defaultMaxAnswerBytes = 32 << 20
	defaultRetention      = 10 * time.Minute
)

// RegistryOptions configures a Registry; zero limits select the defaults.
type RegistryOptions struct {
	MaxJobs        int           // maximum number of jobs kept in memory
	MaxAnswerBytes int           // maximum total size of the answer bodies kept in memory
	Retention      time.Duration // how long final answers are kept
	Copiers        []Copier      // each receives all answers, in its own goroutine
	CopyIdempotent bool          // also copy the answers of idempotent jobs
}

func (o RegistryOptions) withDefaults() RegistryOptions {
	if o.MaxJobs <= 0 {
		o.MaxJobs = defaultMaxJobs
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	return o
}

// Registry holds the short jobs of one incarnation in memory. It alone decides
// whether a job with an id minted by that incarnation may run.
//
// A job that is not in memory runs only if its serial is above the floor, and
// evicting a job raises the floor to its serial. So no job runs twice, even if
// the clock is set back.
type Registry struct {
	dataCentre  string
	incarnation ulid.ULID
	options     RegistryOptions
	minter      *serialMinter
	copyQueues  []*copyQueue

	mutex    sync.Mutex
	jobs     map[ulid.ULID]*shortJob
	final    finalJobs
	floor    ulid.ULID // jobs up to this serial that are not in memory never run
	stopping bool      // new jobs are refused
	inFlight int
	idle     chan struct{} // closed when the last job in flight ends; nil if there are no waiters
}

// NewRegistry returns an empty registry for the given incarnation of an entry host.
func NewRegistry(dataCentre string, incarnation ulid.ULID, o RegistryOptions) *Registry {
	g := &Registry{
		dataCentre:  dataCentre,
		incarnation: incarnation,
		options:     o.withDefaults(),
		minter:      newSerialMinter(),
		jobs:        make(map[ulid.ULID]*shortJob),
	}
	for _, c := range o.Copiers {
		g.copyQueues = append(g.copyQueues, &copyQueue{copier: c})
	}
	return g
}

// Incarnation returns the incarnation whose jobs the registry holds.
func (g *Registry) Incarnation() ulid.ULID { return g.incarnation }

// Mint returns n new job ids.
func (g *Registry) Mint(n int) []basilapi.JobID {
	ids := make([]basilapi.JobID, n)
	for i := range ids {
		ids[i] = g.jobID(g.minter.next())
	}
	return ids
}

func (g *Registry) jobID(serial ulid.ULID) basilapi.JobID {
	return basilapi.NewJobIDWithSerial(g.dataCentre, g.incarnation, serial)
}

// minted reports whether the id was minted by this registry.
func (g *Registry) minted(id basilapi.JobID) bool {
	return id == g.jobID(id.Serial()) && g.minter.verify(id.Serial())
}

// Submit runs the job unless its id was submitted before, and returns its final answer.
//
// If the caller's context ends first, the job continues; the answer is then
// OutcomePending with an ErrProblem that says where to ask for the outcome. An
// ErrProblem is also returned for a job that was not run, failed or may have run.
// ErrNotMinted and ErrRequestConflict have no effect on the job.
func (g *Registry) Submit(ctx context.Context, r basilapi.SubmitRequest, run RunFunc) (basilapi.JobAnswer, error) {
	if !g.minted(r.ID) {
		return basilapi.JobAnswer{ID: r.ID}, errors.WithStack(ErrNotMinted{ID: r.ID})
	}
	inProgress, err := g.admit(ctx, r, run)
	if err != nil {
		return basilapi.JobAnswer{ID: r.ID}, err
	}
	if inProgress == nil {
		return g.lookup(r.ID)
	}
	select {
	case <-inProgress.done:
		return inProgress.answer, inProgress.err
	case <-ctx.Done():
		return g.lookup(r.ID)
	}
}

// admit finds the job, or records it and starts its run, in one critical section.
//
// It returns the run to wait for, or nil if the job has none.
func (g *Registry) admit(ctx context.Context, r basilapi.SubmitRequest, run RunFunc) (*runState, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.evict()
	serial := r.ID.Serial()
	hash := digest(r)
	if j := g.jobs[serial]; j != nil {
		if j.hasDigest && j.digest != hash {
			return nil, errors.WithStack(ErrRequestConflict{ID: r.ID})
		}
		return j.running, nil
	}
	if serial.Compare(g.floor) <= 0 {
		return nil, nil
	}
	j := &shortJob{serial: serial, digest: hash, hasDigest: true, copyAnswer: !r.Idempotent || g.options.CopyIdempotent}
	if g.stopping {
		g.finalize(j, notRunResult(basilapi.CodeStopping, "the entry host is leaving"))
		return nil, nil
	}
	if g.inFlight >= g.options.MaxJobs {
		g.raiseFloor(serial)
		return nil, notRunError(r.ID, basilapi.CodeOverloaded, "too many jobs in progress", time.Second)
	}
	g.launch(ctx, j, r, run)
	g.evict() // only after admission: evicting other jobs raises the floor, which could refuse this job
	return j.running, nil
}

// launch runs the job in a separate goroutine; the end of the caller's context doesn't stop it.
func (g *Registry) launch(ctx context.Context, j *shortJob, r basilapi.SubmitRequest, run RunFunc) {
	ctx, cancel := jobContext(ctx, r.Deadline())
	j.running = &runState{done: make(chan struct{}), cancel: cancel}
	g.jobs[j.serial] = j
	g.inFlight++
	go func() {
		defer cancel()
		result := run(ctx, r.ID, r, func(attempt int) bool { return g.recordStart(j, attempt) })
		g.finish(j, result)
	}()
}

func jobContext(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	ctx = context.WithoutCancel(ctx)
	if deadline <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, deadline)
}

// recordStart records that the attempt is about to be sent. It returns false if the attempt must not be sent.
func (g *Registry) recordStart(j *shortJob, attempt int) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if j.running == nil || j.cancelled || attempt <= int(j.attempt) {
		return false
	}
	j.attempt = int32(attempt)
	return true
}

// finish ends the job with the result that its run returned.
func (g *Registry) finish(j *shortJob, r RunResult) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if j.running == nil {
		return // the job was cancelled before its first attempt
	}
	g.finalize(j, j.validResult(r))
}

// Answer returns the current answer of the job, and whether its id was minted here.
func (g *Registry) Answer(id basilapi.JobID) (basilapi.JobAnswer, bool) {
	if !g.minted(id) {
		return basilapi.JobAnswer{ID: id}, false
	}
	a, _ := g.lookup(id)
	return a, true
}

// lookup returns the current answer of the job and its problem, if any.
func (g *Registry) lookup(id basilapi.JobID) (basilapi.JobAnswer, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.evict()
	j := g.jobs[id.Serial()]
	if j != nil {
		return j.answerFor(id), j.errorFor(id)
	}
	if id.Serial().Compare(g.floor) <= 0 {
		return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeUnknown, Reason: reasonForgotten},
			outcomeUnknownError(id, reasonForgotten, 0)
	}
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomePending, Reason: reasonNotSubmitted}, nil
}

// Cancel ends the job if no attempt was started, and ensures that none ever will be.
//
// It fails with ErrTooLate if an attempt may have started, in which case no
// further attempts are started, and with ErrNotMinted.
func (g *Registry) Cancel(id basilapi.JobID) (basilapi.JobAnswer, error) {
	if !g.minted(id) {
		return basilapi.JobAnswer{ID: id}, errors.WithStack(ErrNotMinted{ID: id})
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	j := g.jobs[id.Serial()]
	switch {
	case j == nil && id.Serial().Compare(g.floor) <= 0:
		return basilapi.JobAnswer{ID: id, Reason: reasonForgotten}, errors.WithStack(ErrTooLate{ID: id})
	case j == nil:
		j = &shortJob{serial: id.Serial()}
		g.finalize(j, cancelledResult)
	case j.running != nil && j.attempt == 0:
		j.running.cancel()
		g.finalize(j, cancelledResult)
	case j.running != nil:
		j.cancelled = true
	}
	if j.running != nil || j.outcome != basilapi.OutcomeNotRun {
		return j.answerFor(id), errors.WithStack(ErrTooLate{ID: id})
	}
	return j.answerFor(id), nil
}

// Stop makes the registry refuse all new jobs.
func (g *Registry) Stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
}

// Drain waits until no job is in flight and all copiers have received the answers.
func (g *Registry) Drain(ctx context.Context) error {
	if err := waitFor(ctx, g.idleChannel()); err != nil {
		return err
	}
	for _, q := range g.copyQueues {
		if err := waitFor(ctx, q.idleChannel()); err != nil {
			return err
		}
	}
	return nil
}

func waitFor(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// idleChannel returns a channel that is closed once no job is in flight.
func (g *Registry) idleChannel() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.inFlight == 0 {
		return closedChannel
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}

// InFlight returns the number of jobs without a final answer.
func (g *Registry) InFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}
