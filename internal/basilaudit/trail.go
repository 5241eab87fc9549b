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

// Retry limits of one commit.
const (
	maxCommitAttempts = 12
	maxResolveReads   = 4
	commitBackoff     = 10 * time.Millisecond
	commitBackoffMax  = 400 * time.Millisecond
)

// Change is an entry and the table writes that are committed with it.
type Change struct {
	Entry  EntryRecord // Sequence and At are set by the trail
	Writes []basilplatform.Write
}

// Decide reads the state it needs from the table and returns the change to commit.
//
// It is called again for each attempt. An error aborts the commit, with two
// exceptions: if the returned change names a command that was already executed,
// the earlier entry is returned; if the trail has changed since the attempt
// began, the attempt is retried.
type Decide func(ctx context.Context, t basilplatform.Table) (Change, error)

// Trail reads and appends the entries of the audit trail.
type Trail struct {
	table    basilplatform.Table
	observer func(Entry)
}

// NewTrail returns the trail stored in the table.
func NewTrail(t basilplatform.Table) *Trail { return &Trail{table: t} }

// Observe sets a callback for each change committed through this Trail; call it before the first commit.
func (t *Trail) Observe(f func(Entry)) { t.observer = f }

// Table returns the table in which the trail is stored.
func (t *Trail) Table() basilplatform.Table { return t.table }

type head struct {
	Sequence int64 `json:"sequence"`
}

// Commit writes one change and its entry in a single transaction and returns the entry.
//
// If a change with the same command id was committed before, it returns the
// earlier entry. It fails with the error of decide, ErrContended or
// basilplatform.ErrUnavailable (nothing was changed), or ErrChangeUnknown.
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
		return t.handleRejection(ctx, h, c, err)
	}
	if e, ok, err := t.Command(ctx, c.Entry.Command); err != nil || ok {
		return e, err
	}
	tx, r, err := buildTransaction(h, c)
	if err != nil {
		return Entry{}, err
	}
	err = t.table.Transact(ctx, tx)
	if basilplatform.IsErrOutcomeUnknown(err) {
		err = t.resolveOutcome(ctx, tx, r)
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

// handleRejection returns the error of decide, unless the command was already
// executed, in which case it returns the earlier entry, or the head has changed
// since before, in which case it returns a failed condition so that Commit retries.
func (t *Trail) handleRejection(ctx context.Context, before basilplatform.Item, c Change, decideErr error) (Entry, error) {
	if basilplatform.IsErrUnavailable(decideErr) {
		return Entry{}, decideErr
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
	return Entry{}, decideErr
}

// buildTransaction returns the transaction that advances the head, appends the entry and applies the writes.
func buildTransaction(h basilplatform.Item, c Change) (basilplatform.Transaction, EntryRecord, error) {
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
	tx := basilplatform.Transaction{Token: ulid.Make().String()}
	tx.Writes = append(tx.Writes, headWrite(h, next),
		basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: entryKey(r.Sequence), Body: body})
	if r.Command != "" {
		tx.Writes = append(tx.Writes, basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: commandKey(r.Command), Body: next})
	}
	tx.Writes = append(tx.Writes, c.Writes...)
	return tx, r, nil
}

func headWrite(h basilplatform.Item, body []byte) basilplatform.Write {
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: HeadKey, Body: body}
	if h.Version > 0 {
		w.Precondition = basilplatform.PreconditionVersion
		w.Version = h.Version
	}
	return w
}

// resolveOutcome determines whether a transaction whose response was lost took effect.
//
// The entry at its sequence is written once and never changed, so the token of
// that entry shows which transaction won. While there is no such entry,
// resending the same transaction is safe: both copies require the same head
// version, and the table deduplicates by token.
func (t *Trail) resolveOutcome(ctx context.Context, tx basilplatform.Transaction, r EntryRecord) error {
	for n := range maxResolveReads {
		if err := backOff(ctx, n); err != nil {
			break
		}
		i, err := t.table.Get(ctx, entryKey(r.Sequence))
		if err == nil && i.Token == tx.Token {
			return nil
		}
		if err == nil {
			return basilplatform.ErrConditionFailed{Key: HeadKey}
		}
		if !basilplatform.IsErrItemNotExist(err) {
			continue
		}
		if err := t.table.Transact(ctx, tx); err == nil {
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

// After returns up to limit entries with a higher sequence, oldest first.
func (t *Trail) After(ctx context.Context, sequence int64, limit int) ([]Entry, error) {
	items, err := t.table.Query(ctx, entryPartition, sequenceSortKey(sequence), limit)
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

// Command returns the entry committed under the command id, and whether there is one.
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
