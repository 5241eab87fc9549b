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

// RegistryOptions bounds what a Registry remembers; the zero value takes the defaults.
type RegistryOptions struct {
	MaxJobs        int           // jobs remembered
	MaxAnswerBytes int           // of answer bodies remembered
	Retention      time.Duration // how long final answers are remembered
	Copiers        []Copier      // each is handed all answers, by a goroutine of its own
	CopyIdempotent bool          // copies the answers of idempotent jobs too
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

// Registry decides alone, in memory, whether a short job that its incarnation minted is sent.
//
// A job that is not remembered runs only if its serial is above the floor, and
// forgetting a job raises the floor to its serial; so no job runs twice,
// whatever the clocks do.
type Registry struct {
	dataCentre  string
	incarnation ulid.ULID
	options     RegistryOptions
	serials     *mint
	copying     []*copyQueue

	mutex    sync.Mutex
	jobs     map[ulid.ULID]*shortJob
	final    finalJobs
	floor    ulid.ULID
	stopping bool
	inFlight int
	idle     chan struct{} // closed when the last job in flight ends; nil when nobody waits
}

// NewRegistry returns the registry of one incarnation of an entry host.
func NewRegistry(dataCentre string, incarnation ulid.ULID, o RegistryOptions) *Registry {
	g := &Registry{
		dataCentre:  dataCentre,
		incarnation: incarnation,
		options:     o.withDefaults(),
		serials:     newMint(),
		jobs:        make(map[ulid.ULID]*shortJob),
	}
	for _, c := range o.Copiers {
		g.copying = append(g.copying, &copyQueue{copier: c})
	}
	return g
}

// Incarnation returns the incarnation whose ids the registry decides on.
func (g *Registry) Incarnation() ulid.ULID { return g.incarnation }

// Mint returns n fresh job ids.
func (g *Registry) Mint(n int) []basilapi.JobID {
	ids := make([]basilapi.JobID, n)
	for i := range ids {
		ids[i] = g.id(g.serials.next())
	}
	return ids
}

func (g *Registry) id(serial ulid.ULID) basilapi.JobID {
	return basilapi.NewJobIDWithSerial(g.dataCentre, g.incarnation, serial)
}

func (g *Registry) owns(id basilapi.JobID) bool {
	return id == g.id(id.Serial()) && g.serials.knows(id.Serial())
}

// Submit runs the job if its id was not submitted before, and returns its final answer.
//
// The job goes on when the caller's context ends; the answer is then
// OutcomePending with an ErrProblem that says where to ask. A job that was not
// run, failed, or may have run comes with an ErrProblem too. It fails with
// ErrNotMinted and ErrRequestConflict, which leave the job alone.
func (g *Registry) Submit(ctx context.Context, r basilapi.SubmitRequest, run RunFunc) (basilapi.JobAnswer, error) {
	if !g.owns(r.ID) {
		return basilapi.JobAnswer{ID: r.ID}, errors.WithStack(ErrNotMinted{ID: r.ID})
	}
	w, err := g.admit(ctx, r, run)
	if err != nil {
		return basilapi.JobAnswer{ID: r.ID}, err
	}
	if w == nil {
		return g.tell(r.ID)
	}
	select {
	case <-w.done:
		return w.answer, w.err
	case <-ctx.Done():
		return g.tell(r.ID)
	}
}

// admit finds the job, or records it and starts its run; both happen under one lock hold.
//
// It returns what to wait for, or nil when there is nothing to wait for.
func (g *Registry) admit(ctx context.Context, r basilapi.SubmitRequest, run RunFunc) (*running, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget()
	serial := r.ID.Serial()
	hash := digest(r)
	if j := g.jobs[serial]; j != nil {
		if j.bound && j.digest != hash {
			return nil, errors.WithStack(ErrRequestConflict{ID: r.ID})
		}
		return j.running, nil
	}
	if serial.Compare(g.floor) <= 0 {
		return nil, nil
	}
	j := &shortJob{serial: serial, digest: hash, bound: true, copied: !r.Idempotent || g.options.CopyIdempotent}
	if g.stopping {
		g.end(j, refusal(basilapi.CodeStopping, "the entry host is leaving"))
		return nil, nil
	}
	if g.inFlight >= g.options.MaxJobs {
		g.raiseFloor(serial)
		return nil, notRun(r.ID, basilapi.CodeOverloaded, "too many jobs in progress", time.Second)
	}
	g.launch(ctx, j, r, run)
	g.forget() // after the decision: what is dropped for this job can't forbid it
	return j.running, nil
}

// launch runs the job in its own goroutine, which the caller's context doesn't end.
func (g *Registry) launch(ctx context.Context, j *shortJob, r basilapi.SubmitRequest, run RunFunc) {
	ctx, cancel := jobContext(ctx, r.Deadline())
	j.running = &running{done: make(chan struct{}), cancel: cancel}
	g.jobs[j.serial] = j
	g.inFlight++
	go func() {
		defer cancel()
		result := run(ctx, r.ID, r, func(attempt int) bool { return g.start(j, attempt) })
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

// start records that the attempt is about to be sent, or forbids it.
func (g *Registry) start(j *shortJob, attempt int) bool {
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
		return // cancelled before its first attempt
	}
	g.end(j, j.checked(r))
}

// Answer returns what is known of the job, and whether its id was minted here.
func (g *Registry) Answer(id basilapi.JobID) (basilapi.JobAnswer, bool) {
	if !g.owns(id) {
		return basilapi.JobAnswer{ID: id}, false
	}
	a, _ := g.tell(id)
	return a, true
}

// tell returns what is known of the job and the problem that goes with it.
func (g *Registry) tell(id basilapi.JobID) (basilapi.JobAnswer, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget()
	j := g.jobs[id.Serial()]
	if j != nil {
		return j.answer(id), j.err(id)
	}
	if id.Serial().Compare(g.floor) <= 0 {
		return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomeUnknown, Reason: reasonForgotten},
			unknown(id, reasonForgotten, 0)
	}
	return basilapi.JobAnswer{ID: id, Outcome: basilapi.OutcomePending, Reason: reasonNotSubmitted}, nil
}

// Cancel ends the job if no attempt was started; from then on none ever will be.
//
// It fails with ErrTooLate when an attempt may have started, and then keeps
// further attempts from starting; and with ErrNotMinted.
func (g *Registry) Cancel(id basilapi.JobID) (basilapi.JobAnswer, error) {
	if !g.owns(id) {
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
		g.end(j, cancellation)
	case j.running != nil && j.attempt == 0:
		j.running.cancel()
		g.end(j, cancellation)
	case j.running != nil:
		j.cancelled = true
	}
	if j.running != nil || j.outcome != basilapi.OutcomeNotRun {
		return j.answer(id), errors.WithStack(ErrTooLate{ID: id})
	}
	return j.answer(id), nil
}

// Stop refuses all jobs that come from now on.
func (g *Registry) Stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
}

// Drain waits until no job is in flight and all answers were handed to the copier.
func (g *Registry) Drain(ctx context.Context) error {
	if err := await(ctx, g.whenIdle()); err != nil {
		return err
	}
	for _, q := range g.copying {
		if err := await(ctx, q.whenIdle()); err != nil {
			return err
		}
	}
	return nil
}

func await(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (g *Registry) whenIdle() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.inFlight == 0 {
		return closed
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
