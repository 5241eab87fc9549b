package basilledger

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	tablePrefix        = "jobs-"
	waitingTablePrefix = "waiting-"
	maxWaitingCount    = 5000 // limit of the count of a queue's waiting jobs
	cancelAttempts     = 5
)

// Table returns the name of a service's job table.
func Table(service string) string { return tablePrefix + service }

// Partition returns the partition of a service's jobs.
func Partition(service string) string { return Table(service) + "/" + service }

// Key returns the key of a job.
func Key(service, id string) basilplatform.Key {
	return basilplatform.Key{Partition: Partition(service), Sort: id}
}

// WaitingKey returns the key of the row that marks a job as not started.
func WaitingKey(service, queue, id string) basilplatform.Key {
	return basilplatform.Key{Partition: waitingTablePrefix + service + "/" + service, Sort: queue + "/" + id}
}

// Ledger reads and writes the jobs in a store; create it with New.
type Ledger struct{ store basilwork.Store }

// New returns a ledger that uses the store.
func New(s basilwork.Store) *Ledger { return &Ledger{store: s} }

// Decode decodes a stored record; it fails with ErrRecordUnreadable.
func Decode(i basilplatform.Item) (basilwork.Record, error) {
	var r basilwork.Record
	body, err := decompress(i.Body)
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	if err != nil {
		return r, errors.WithStack(ErrRecordUnreadable{Key: i.Key.Sort, Cause: err})
	}
	return r, nil
}

func recordWrite(k basilplatform.Key, version int64, r *basilwork.Record, f Form) (basilplatform.Write, error) {
	body, err := encodeRecord(r, f)
	if err != nil {
		return basilplatform.Write{}, err
	}
	w := basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: k, Precondition: basilplatform.PreconditionVersion, Version: version, Body: body,
	}
	if version == 0 {
		w.Precondition = basilplatform.PreconditionAbsent
	}
	return w, nil
}

// Accept stores a new job. If a job with its ID is stored already, that is the same job and Accept succeeds.
//
// It fails with ErrUnavailable, or ErrAssignmentChanged if the gate has changed, if the job is not stored and never will be, and
// with ErrOutcomeUnknown if it may be stored.
func (l *Ledger) Accept(ctx context.Context, service string, a Acceptance) error {
	_, err := l.storeNew(ctx, service, a, a.writes(service))
	return err
}

// AcceptTombstone stores a tombstone, so that its job can't be stored any more. It reports whether it did; if not, a row with the ID
// exists already. It fails with the same errors as Accept.
func (l *Ledger) AcceptTombstone(ctx context.Context, service string, a Acceptance) (stored bool, err error) {
	return l.storeNew(ctx, service, a, []basilplatform.Write{a.put(service)})
}

// storeNew makes the writes of a new row while the gate is as it was. It reports whether it did; if not, the row exists already.
func (l *Ledger) storeNew(ctx context.Context, service string, a Acceptance, writes []basilplatform.Write) (bool, error) {
	var stored bool
	_, found, err := basilwork.CommitOrFind(ctx, l.store, basilplatform.Transaction{Writes: append(writes, a.gateCheck(service))}, func(ctx context.Context) (int64, bool, error) {
		i, err := l.store.Get(ctx, Key(service, a.id()))
		stored = bytes.Equal(i.Body, a.body)
		return i.Version, err == nil, nil
	})
	if found {
		return stored, nil
	}
	var conflict basilplatform.ErrConditionFailed
	if !errors.As(err, &conflict) {
		return err == nil, err
	}
	switch conflict.Key {
	case Key(service, a.id()):
		return false, nil
	case GateKey(service, a.queue()):
		return false, errors.WithStack(ErrAssignmentChanged{Queue: a.queue()})
	}
	return false, errors.WithStack(basilplatform.ErrOutcomeUnknown{Operation: "accept", Cause: conflict})
}

// Find returns a job and its version; it fails with ErrJobNotExist or ErrUnavailable.
func (l *Ledger) Find(ctx context.Context, service, id string) (basilwork.Record, int64, error) {
	i, err := l.store.Get(ctx, Key(service, id))
	if basilplatform.IsErrItemNotExist(err) {
		return basilwork.Record{}, 0, errors.WithStack(ErrJobNotExist{ID: id})
	}
	if err != nil {
		return basilwork.Record{}, 0, err
	}
	r, err := Decode(i)
	return r, i.Version, err
}

// Cancel stores that a job is cancelled, unless its state is final already; it fails with
// ErrJobNotExist, ErrUnavailable or ErrOutcomeUnknown.
func (l *Ledger) Cancel(ctx context.Context, service, queueID, id string) error {
	var err error
	var form Form
	for range cancelAttempts {
		var r basilwork.Record
		var version int64
		r, version, err = l.Find(ctx, service, id)
		if err != nil {
			return err
		}
		if !r.Job.IsIn(queueID) || r.IsTombstone() {
			return errors.WithStack(ErrJobNotExist{ID: id})
		}
		if r.State.Final() {
			return nil
		}
		r.State = basilwork.JobStateCanceled
		r.Finished = time.Now().UnixMilli()
		r.Progress = nil
		r.Writer = ""
		r = withoutPayload(r)
		var w basilplatform.Write
		if w, err = recordWrite(Key(service, id), version, &r, form); err != nil {
			return err
		}
		deleteMark := basilplatform.Write{Kind: basilplatform.WriteKindDelete, Key: WaitingKey(service, r.Job.QueueKey(), id), Precondition: basilplatform.PreconditionNone}
		_, err = basilwork.CommitOrReadBack(ctx, l.store, basilplatform.Transaction{Writes: []basilplatform.Write{w, deleteMark}}, basilwork.SoonInterval)
		switch {
		case basilplatform.IsErrRefused(err) && form == FormPlain: // the time of the end may make the row too large
			form = FormCompressed
		case err == nil || !basilplatform.IsErrConditionFailed(err):
			return err
		}
	}
	return err
}

// Waiting returns the number of jobs of the queue that have not started, at most maxWaitingCount.
func (l *Ledger) Waiting(ctx context.Context, service, queue string) (int, error) {
	k := WaitingKey(service, queue, "")
	return l.store.Count(ctx, k.Partition, k.Sort, queue+"0", maxWaitingCount) // "0" is the character after "/"
}
