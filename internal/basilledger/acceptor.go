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
	acceptRecords  = 33                    // of one transaction: each takes two puts and a precondition, out of 100 entries
	acceptBytes    = 512 << 10             // of one transaction's records, half of what the store takes
	acceptInFlight = 2                     // transactions, so that the store's part works while an answer is on its way
	acceptWaiting  = 1000                  // records; more would wait for longer than a caller does at 200 transactions a second
	acceptTries    = 3                     // of a transaction without an answer
	acceptPause    = 50 * time.Millisecond // between them
)

// Acceptance is a new job as it is to be stored.
type Acceptance struct {
	record basilwork.Record
	body   []byte
}

// NewAcceptance returns the acceptance of a job; it fails with ErrRecordUnreadable.
func NewAcceptance(r *basilwork.Record) (Acceptance, error) {
	w, err := put(basilplatform.Key{Sort: r.Job.ID}, 0, r)
	return Acceptance{record: *r, body: w.Body}, err
}

// ParseAcceptance reads what Body returned; it fails with ErrRecordUnreadable.
func ParseAcceptance(body []byte) (Acceptance, error) {
	r, err := Decode(basilplatform.Item{Body: body})
	if err == nil && (r.Job.ID == "" || r.Job.Queue == "" || len(r.Job.Steps) == 0 || r.State != basilwork.JobStatePending) {
		err = errors.WithStack(ErrRecordUnreadable{Key: r.Job.ID, Cause: ErrNoNewJob{}})
	}
	return Acceptance{record: r, body: body}, err
}

// Record returns the job's record.
func (a *Acceptance) Record() basilwork.Record { return a.record }

// Body returns the record as it is stored.
func (a *Acceptance) Body() []byte { return a.body }

// id returns the job's id.
func (a *Acceptance) id() string { return a.record.Job.ID }

// writes returns what stores the job of the service, unless a row is there.
func (a *Acceptance) writes(service string) []basilplatform.Write {
	return []basilplatform.Write{
		{Kind: basilplatform.WriteKindPut, Key: Key(service, a.id()), Precondition: basilplatform.PreconditionAbsent, Body: a.body},
		{Kind: basilplatform.WriteKindPut, Key: WaitingKey(service, a.record.Job.Queue, a.id()), Precondition: basilplatform.PreconditionNone, Body: []byte("1")},
	}
}

// Acceptor stores new jobs of one service, those that come together in one transaction.
//
// It rests on no ownership: a job's row is what makes it accepted, whoever writes it, and a second write of the same id
// changes nothing.
type Acceptor struct {
	ctx     context.Context
	store   basilwork.Store
	service string
	stored  func(list []Acceptance, version int64)
	mutex   sync.Mutex // guards what follows
	waiting []*pending
	working int
}

// pending is an acceptance that somebody waits for.
type pending struct {
	Acceptance
	done chan error // has room for the outcome
}

// NewAcceptor returns an acceptor that works until the context ends; stored is told of jobs that it has stored anew.
func NewAcceptor(ctx context.Context, s basilwork.Store, service string, stored func(list []Acceptance, version int64)) *Acceptor {
	return &Acceptor{ctx: ctx, store: s, service: service, stored: stored}
}

// Accept stores a job together with others; it fails as Ledger.Accept does.
func (a *Acceptor) Accept(ctx context.Context, job Acceptance) error {
	p := &pending{Acceptance: job, done: make(chan error, 1)}
	if !a.enqueue(p) {
		return NewErrLineFull(a.service)
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

// enqueue has the job stored; false means that too many wait.
func (a *Acceptor) enqueue(p *pending) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(a.waiting) >= acceptWaiting {
		return false
	}
	a.waiting = append(a.waiting, p)
	if a.working < acceptInFlight {
		a.working++
		go a.work()
	}
	return true
}

// work stores what waits until nothing does.
func (a *Acceptor) work() {
	for {
		batch := a.next()
		if len(batch) == 0 {
			return
		}
		a.storeAll(batch, 0)
	}
}

// next takes the jobs of the next transaction, each id once.
func (a *Acceptor) next() []*pending {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var batch, left []*pending
	ids := make(map[string]bool)
	bytes := 0
	for _, p := range a.waiting {
		if len(batch) == acceptRecords || ids[p.id()] || len(batch) > 0 && bytes+len(p.body) > acceptBytes {
			left = append(left, p)
			continue
		}
		ids[p.id()] = true
		bytes += len(p.body)
		batch = append(batch, p)
	}
	a.waiting = left
	if len(batch) == 0 {
		a.working--
	}
	return batch
}

// storeAll stores the jobs and tells those that wait for them. A transaction without an answer is made again: if it took
// effect, the rows are there; unknown counts those so far, after which no failure says that a job is not stored.
func (a *Acceptor) storeAll(batch []*pending, unknown int) {
	for len(batch) > 0 {
		version, err := a.commit(batch)
		var differs basilplatform.ErrConditionFailed
		switch {
		case err == nil:
			a.tell(batch, version)
			return
		case errors.As(err, &differs):
			batch = a.without(batch, differs.Key)
		case basilplatform.IsErrOutcomeUnknown(err) && unknown+1 < acceptTries && basiltimer.Wait(a.ctx, acceptPause) == nil:
			unknown++
		case basilplatform.IsErrRefused(err) && len(batch) > 1: // one of them is wrong
			for _, p := range batch {
				a.storeAll([]*pending{p}, unknown)
			}
			return
		default:
			if unknown > 0 && !basilplatform.IsErrOutcomeUnknown(err) {
				err = NewErrMayBeStored(err)
			}
			finish(batch, err)
			return
		}
	}
}

func (a *Acceptor) commit(batch []*pending) (int64, error) {
	var t basilplatform.Transaction
	for _, p := range batch {
		t.Writes = append(t.Writes, p.writes(a.service)...)
	}
	return a.store.Commit(a.ctx, t)
}

// without finishes the job whose row is there already, and returns the others.
func (a *Acceptor) without(batch []*pending, k basilplatform.Key) []*pending {
	left := make([]*pending, 0, len(batch))
	for _, p := range batch {
		if Key(a.service, p.id()) == k {
			p.done <- nil
			continue
		}
		left = append(left, p)
	}
	if len(left) == len(batch) {
		finish(batch, errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: basilplatform.ErrConditionFailed{Key: k}}))
		return nil
	}
	return left
}

func (a *Acceptor) tell(batch []*pending, version int64) {
	list := make([]Acceptance, 0, len(batch))
	for _, p := range batch {
		list = append(list, p.Acceptance)
	}
	finish(batch, nil)
	a.stored(list, version)
}

func finish(batch []*pending, err error) {
	for _, p := range batch {
		p.done <- err
	}
}
