package basilaudit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
)

// Limits of one commit.
const (
	maxCommitAttempts = 12
	maxResolveReads   = 4
	commitBackoff     = 10 * time.Millisecond
	commitBackoffMax  = 400 * time.Millisecond
)

// Change is what one decision asks the table to do.
type Change struct {
	Entry  EntryRecord // sequence and time are filled in by the trail
	Writes []basilplatform.Write
}

// Decide reads what it needs from the table and returns the change to make.
//
// It is called anew for each attempt. An error from it ends the commit with no
// effect, unless the change that comes with it names a command that was carried
// out before, or the state that it judged has moved on.
type Decide func(ctx context.Context, t basilplatform.Table) (Change, error)

// Trail appends changes to the audit trail in the table and reads them back.
type Trail struct {
	table    basilplatform.Table
	observer func(Entry)
}

// NewTrail returns the trail kept in the table.
func NewTrail(t basilplatform.Table) *Trail { return &Trail{table: t} }

// Observe sets the function that is told of each change committed here; call it before the first commit.
func (t *Trail) Observe(f func(Entry)) { t.observer = f }

// Table returns the table that the trail is kept in.
func (t *Trail) Table() basilplatform.Table { return t.table }

type head struct {
	Sequence int64 `json:"sequence"`
}

// Commit makes one change and its entry in one transaction and returns the entry.
//
// A change with a command id that was made before returns the earlier entry. It
// fails with the error of decide, ErrContended or basilplatform.ErrUnavailable
// (nothing was changed), or ErrChangeUnknown.
func (t *Trail) Commit(ctx context.Context, decide Decide) (Entry, error) {
	for n := range maxCommitAttempts {
		if err := backOff(ctx, n); err != nil {
			return Entry{}, err
		}
		e, err := t.attempt(ctx, decide)
		if !basilplatform.IsErrConditionFailed(err) && !basilplatform.IsErrConflict(err) {
			return e, err
		}
	}
	return Entry{}, errors.WithStack(ErrContended{Attempts: maxCommitAttempts})
}

func (t *Trail) attempt(ctx context.Context, decide Decide) (Entry, error) {
	h, err := t.table.Get(ctx, HeadKey)
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return Entry{}, err
	}
	c, err := decide(ctx, t.table)
	if err != nil {
		return t.refused(ctx, h, c, err)
	}
	if e, ok, err := t.Command(ctx, c.Entry.Command); err != nil || ok {
		return e, err
	}
	x, r, err := compose(h, c)
	if err != nil {
		return Entry{}, err
	}
	err = t.table.Transact(ctx, x)
	if basilplatform.IsErrOutcomeUnknown(err) {
		err = t.resolve(ctx, x, r)
	}
	if err != nil {
		return Entry{}, err
	}
	e := NewEntry(r)
	if t.observer != nil {
		t.observer(e)
	}
	return e, nil
}

// refused ends a commit that decide refused, unless the refusal was judged on a
// state that has moved on, or the command was carried out before.
func (t *Trail) refused(ctx context.Context, before basilplatform.Item, c Change, refusal error) (Entry, error) {
	if basilplatform.IsErrUnavailable(refusal) {
		return Entry{}, refusal
	}
	if e, ok, err := t.Command(ctx, c.Entry.Command); err != nil || ok {
		return e, err
	}
	after, err := t.table.Get(ctx, HeadKey)
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		return Entry{}, err
	}
	if after.Version != before.Version {
		return Entry{}, basilplatform.ErrConditionFailed{Key: HeadKey}
	}
	return Entry{}, refusal
}

// compose builds the transaction that moves the head, appends the entry and carries the writes.
func compose(h basilplatform.Item, c Change) (basilplatform.Transaction, EntryRecord, error) {
	var last head
	if h.Version > 0 {
		if err := json.Unmarshal(h.Body, &last); err != nil {
			return basilplatform.Transaction{}, EntryRecord{}, errors.WithStack(err)
		}
	}
	r := c.Entry
	r.Sequence = last.Sequence + 1
	r.At = time.Now().UTC()
	body, err := json.Marshal(r)
	if err != nil {
		return basilplatform.Transaction{}, EntryRecord{}, errors.WithStack(err)
	}
	next, err := json.Marshal(head{Sequence: r.Sequence})
	if err != nil {
		return basilplatform.Transaction{}, EntryRecord{}, errors.WithStack(err)
	}
	x := basilplatform.Transaction{Token: ulid.Make().String()}
	x.Writes = append(x.Writes, headWrite(h, next),
		basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: entryKey(r.Sequence), Body: body})
	if r.Command != "" {
		x.Writes = append(x.Writes, basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: commandKey(r.Command), Body: next})
	}
	x.Writes = append(x.Writes, c.Writes...)
	return x, r, nil
}

func headWrite(h basilplatform.Item, body []byte) basilplatform.Write {
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: HeadKey, Body: body}
	if h.Version > 0 {
		w.Precondition = basilplatform.PreconditionVersion
		w.Version = h.Version
	}
	return w
}

// resolve finds out whether a transaction without an answer took effect.
//
// The entry at its sequence is written once and never changed, so its token
// decides. While there is none, sending the same transaction again is harmless:
// both copies need the same head version, and the table knows the token.
func (t *Trail) resolve(ctx context.Context, x basilplatform.Transaction, r EntryRecord) error {
	for n := range maxResolveReads {
		if err := backOff(ctx, n); err != nil {
			break
		}
		i, err := t.table.Get(ctx, entryKey(r.Sequence))
		if err == nil && i.Token == x.Token {
			return nil
		}
		if err == nil {
			return basilplatform.ErrConditionFailed{Key: HeadKey}
		}
		if !basilplatform.IsErrItemNotExist(err) {
			continue
		}
		if err := t.table.Transact(ctx, x); err == nil {
			return nil
		}
	}
	return errors.WithStack(ErrChangeUnknown{Command: r.Command, Sequence: r.Sequence})
}

func backOff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	ceiling := min(commitBackoff<<attempt, commitBackoffMax)
	jittered := time.Duration(rand.Int64N(int64(ceiling)) + 1)
	if err := basiltimer.Wait(ctx, jittered); err != nil {
		return basilplatform.ErrUnavailable{Operation: "commit", Cause: err}
	}
	return nil
}

// Head returns the sequence of the newest entry, or 0.
func (t *Trail) Head(ctx context.Context) (int64, error) {
	i, err := t.table.Get(ctx, HeadKey)
	if basilplatform.IsErrItemNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var h head
	err = json.Unmarshal(i.Body, &h)
	return h.Sequence, errors.WithStack(err)
}

// After returns up to limit entries that follow the sequence, in order.
func (t *Trail) After(ctx context.Context, sequence int64, limit int) ([]Entry, error) {
	items, err := t.table.Query(ctx, entryPartition, sequenceSort(sequence), limit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, len(items))
	for n, i := range items {
		if err := json.Unmarshal(i.Body, &entries[n]); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return entries, nil
}

// Command returns the entry of the change that the command made, and whether there is one.
func (t *Trail) Command(ctx context.Context, id string) (Entry, bool, error) {
	if id == "" {
		return Entry{}, false, nil
	}
	i, err := t.table.Get(ctx, commandKey(id))
	if basilplatform.IsErrItemNotExist(err) {
		return Entry{}, false, nil
	}
	if err != nil {
		return Entry{}, false, err
	}
	var h head
	if err := json.Unmarshal(i.Body, &h); err != nil {
		return Entry{}, false, errors.WithStack(err)
	}
	entries, err := t.After(ctx, h.Sequence-1, 1)
	if err != nil || len(entries) == 0 {
		return Entry{}, false, err
	}
	return entries[0], true, nil
}
