package basilledger

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	entriesPerJob = 3                     // of a transaction: two puts and a precondition
	maxWorkers    = 2                     // concurrent transactions, so that the store is busy while an answer is in transit
	maxWaiting    = 1000                  // queued records; at 200 transactions per second, callers of more would time out
	maxAttempts   = 3                     // attempts of a transaction that gets no answer
	retryDelay    = 50 * time.Millisecond // between attempts

	overloadDelay   = 150 * time.Millisecond // between attempts on an overloaded store
	maxOverloadTime = 2 * time.Second        // of attempts on an overloaded store; most callers wait for 3 s
)

// Acceptance is the encoded record of a new job that is to be stored while the gate of its queue stays as it is.
type Acceptance struct {
	record basilwork.Record
	body   []byte
	gate   int64 // version of the gate; 0 if there must be none
}

// NewAcceptance returns the acceptance of a job; it fails with ErrRecordUnreadable.
func NewAcceptance(r *basilwork.Record) (Acceptance, error) {
	w, err := recordWrite(basilplatform.Key{Sort: r.Job.ID}, 0, r, FormPlain)
	return Acceptance{record: *r, body: w.Body}, err
}

// ParseAcceptance decodes the result of Body; it fails with ErrRecordUnreadable.
func ParseAcceptance(body []byte) (Acceptance, error) {
	r, err := Decode(basilplatform.Item{Body: body})
	if err == nil && (r.Job.ID == "" || r.Job.Queue == "" || len(r.Job.Steps) == 0 || r.State != basilwork.JobStatePending) {
		err = errors.WithStack(ErrRecordUnreadable{Key: r.Job.ID, Cause: ErrNotNewJob{}})
	}
	return Acceptance{record: r, body: body}, err
}

// Record returns the job's record.
func (a *Acceptance) Record() basilwork.Record { return a.record }

// Body returns the encoded record.
func (a *Acceptance) Body() []byte { return a.body }

// WithGate returns the acceptance with the version of the gate that is its precondition.
func (a *Acceptance) WithGate(version int64) Acceptance {
	return Acceptance{record: a.record, body: a.body, gate: version}
}

// Gate returns the version of the gate that is the precondition.
func (a *Acceptance) Gate() int64 { return a.gate }

func (a *Acceptance) id() string { return a.record.Job.ID }

func (a *Acceptance) queue() string { return a.record.Job.QueueKey() }

// gateCheck returns the precondition that the gate is as it was. It comes after the writes of jobs: of several preconditions that fail the
// store names the first, and a job that is stored already is stored whatever became of the gate.
func (a *Acceptance) gateCheck(service string) basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindCheck, Key: GateKey(service, a.queue()), Precondition: basilplatform.PreconditionVersion, Version: a.gate,
	}
}

// put returns the write of the job's row; it fails if the row exists already.
func (a *Acceptance) put(service string) basilplatform.Write {
	return basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: Key(service, a.id()), Precondition: basilplatform.PreconditionAbsent, Body: a.body}
}

// writes returns the writes that store the job for the service; they fail if its row exists already.
func (a *Acceptance) writes(service string) []basilplatform.Write {
	return []basilplatform.Write{
		a.put(service),
		{Kind: basilplatform.WriteKindPut, Key: WaitingKey(service, a.queue(), a.id()), Precondition: basilplatform.PreconditionNone, Body: []byte("1")},
	}
}

// Acceptor stores the new jobs of one service, batching concurrent ones into one transaction.
//
// It doesn't have to own the service's shard: a job is accepted once its row is stored, whoever writes it, and a second
// write of the same ID changes nothing.
type Acceptor struct {
	ctx      context.Context
	store    basilwork.Store
	service  string
	onStored func(list []Acceptance, version int64)
	mutex    sync.Mutex // guards the following fields
	waiting  []*pending
	workers  int
}

// pending is a job whose caller waits until it is stored.
type pending struct {
	Acceptance
	done chan error // has room for the result
}

// NewAcceptor returns an acceptor that works until the context ends; onStored is called with the jobs it has newly stored.
func NewAcceptor(ctx context.Context, s basilwork.Store, service string, onStored func(list []Acceptance, version int64)) *Acceptor {
	return &Acceptor{ctx: ctx, store: s, service: service, onStored: onStored}
}

// Accept stores a job, possibly in one transaction with others; it fails with the same errors as Ledger.Accept.
func (a *Acceptor) Accept(ctx context.Context, job Acceptance) error {
	p := &pending{Acceptance: job, done: make(chan error, 1)}
	if !a.enqueue(p) {
		return NewErrQueueFull(a.service)
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: ctx.Err()})
	case <-a.ctx.Done():
		return errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: a.ctx.Err()})
	}
}

// enqueue queues the job; it returns false if the queue is full.
func (a *Acceptor) enqueue(p *pending) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.waiting) >= maxWaiting {
		return false
	}
	a.waiting = append(a.waiting, p)
	if a.workers < maxWorkers {
		a.workers++
		go a.run()
	}
	return true
}

// run stores queued jobs until the queue is empty.
func (a *Acceptor) run() {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return
		}
		a.storeBatch(batch, 0)
	}
}

// nextBatch removes the jobs of the next transaction from the queue, each ID once and those of a queue with the same gate.
func (a *Acceptor) nextBatch() []*pending {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var batch, rest []*pending
	ids := make(map[string]bool)
	gates := make(map[string]int64)
	bytes := 0
	for _, p := range a.waiting {
		version, checked := gates[p.queue()]
		entries := entriesPerJob*(len(batch)+1) + len(gates)
		if !checked {
			entries++
		}
		if entries > basilplatform.MaxTransactionWrites || ids[p.id()] || checked && version != p.gate || len(batch) > 0 && bytes+len(p.body) > MaxCommitBytes {
			rest = append(rest, p)
			continue
		}
		ids[p.id()] = true
		gates[p.queue()] = p.gate
		bytes += len(p.body)
		batch = append(batch, p)
	}
	a.waiting = rest
	if len(batch) == 0 {
		a.workers--
	}
	return batch
}

// storeBatch stores the jobs and reports the results to their callers. A transaction without an answer is retried: if it
// took effect, the retry finds the rows. unknown is the number of attempts without an answer so far; once there was one, a
// failure no longer means that the job is not stored.
//
// An overloaded store is tried again, since it takes many jobs in one transaction as soon as it takes one.
func (a *Acceptor) storeBatch(batch []*pending, unanswered int) {
	began := time.Now()
	for len(batch) > 0 {
		version, found, err := a.commit(batch)
		var conflict basilplatform.ErrConditionFailed
		switch {
		case found:
			finish(batch, nil) // the watch brings them to the owner, as for a row that exists already
			return
		case err == nil:
			a.reportStored(batch, version)
			return
		case errors.As(err, &conflict):
			batch = a.resolveConflict(batch, conflict, unanswered)
		case basilplatform.IsErrOutcomeUnknown(err) && unanswered+1 < maxAttempts && basiltimer.Wait(a.ctx, retryDelay) == nil:
			unanswered++
		case basilplatform.IsErrOverloaded(err) && time.Since(began) < maxOverloadTime && basiltimer.Wait(a.ctx, overloadDelay) == nil:
		case basilplatform.IsErrRefused(err) && len(batch) > 1: // at least one job is invalid
			for _, p := range batch {
				a.storeBatch([]*pending{p}, unanswered)
			}
			return
		default:
			if basilplatform.IsErrOverloaded(err) {
				err = NewErrQueueFull(a.service)
			}
			if unanswered > 0 && !basilplatform.IsErrOutcomeUnknown(err) {
				err = NewErrMayBeStored(err)
			}
			finish(batch, err)
			return
		}
	}
}

// commit stores the batch in one transaction. found is true if it has no answer, but all rows are there; who wrote them is not known then.
func (a *Acceptor) commit(batch []*pending) (version int64, found bool, err error) {
	var t basilplatform.Transaction
	for _, p := range batch {
		t.Writes = append(t.Writes, p.writes(a.service)...)
	}
	checked := make(map[string]bool, 1)
	for _, p := range batch {
		if !checked[p.queue()] {
			checked[p.queue()] = true
			t.Writes = append(t.Writes, p.gateCheck(a.service))
		}
	}
	return basilwork.CommitOrFind(a.ctx, a.store, t, func(ctx context.Context) (int64, bool, error) { return 0, a.hasRows(ctx, batch), nil })
}

// hasRows reports whether all jobs of the batch have rows.
func (a *Acceptor) hasRows(ctx context.Context, batch []*pending) bool {
	for _, p := range batch {
		if _, err := a.store.Get(ctx, Key(a.service, p.id())); err != nil {
			return false
		}
	}
	return true
}

// resolveConflict reports success for the jobs whose rows exist already, or ErrAssignmentChanged for those whose gate has changed, and
// returns the other jobs.
func (a *Acceptor) resolveConflict(batch []*pending, conflict basilplatform.ErrConditionFailed, unanswered int) []*pending {
	differs := map[basilplatform.Key]bool{conflict.Key: true}
	for _, k := range conflict.Others {
		differs[k] = true
	}
	rest := make([]*pending, 0, len(batch))
	for _, p := range batch {
		switch {
		case differs[Key(a.service, p.id())]:
			p.done <- nil
		case differs[GateKey(a.service, p.queue())]:
			err := errors.WithStack(ErrAssignmentChanged{Queue: p.queue()})
			if unanswered > 0 {
				err = NewErrMayBeStored(err)
			}
			p.done <- err
		default:
			rest = append(rest, p)
		}
	}
	if len(rest) == len(batch) {
		finish(batch, errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: conflict}))
		return nil
	}
	return rest
}

func (a *Acceptor) reportStored(batch []*pending, version int64) {
	list := make([]Acceptance, 0, len(batch))
	for _, p := range batch {
		list = append(list, p.Acceptance)
	}
	finish(batch, nil)
	a.onStored(list, version)
}

func finish(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- err
	}
}
