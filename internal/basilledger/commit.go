package basilledger

import (
	"context"
	"strconv"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// MaxCommitRecords is the most records of one group commit: each takes a put and a
// removal of its mark, and the owner's row a precondition, out of 100 entries.
const MaxCommitRecords = 30

// Entry is one record of a group commit, encoded.
type Entry struct {
	ID      string
	Queue   string
	Began   bool
	Version int64 // that the stored row has
	Body    []byte
}

// NewEntry encodes a record; the writer is unique to the commit.
func NewEntry(r basilwork.Record, version int64, writer string) (Entry, error) {
	r.Writer = writer
	w, err := put(basilplatform.Key{Sort: r.Job.ID}, version, &r)
	if err != nil {
		return Entry{}, err
	}
	return Entry{
		ID: r.Job.ID, Queue: r.Job.Queue, Began: r.State != basilwork.JobStatePending, Version: version, Body: w.Body,
	}, nil
}

// write returns the entry's put, which the stored version is a precondition of.
func (e *Entry) write(shard string) basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: Key(shard, e.ID), Precondition: basilplatform.PreconditionVersion,
		Version: e.Version, Body: e.Body,
	}
}

// Owner is the row that makes the writer the owner of a shard.
type Owner struct {
	Shard   string
	Key     basilplatform.Key
	Version int64
}

func (o Owner) check() basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindCheck, Key: o.Key, Precondition: basilplatform.PreconditionVersion, Version: o.Version,
	}
}

// Result tells of one group commit.
type Result struct {
	Versions  map[string]int64 // new versions of the records that are stored
	Cancelled []string         // jobs that someone else cancelled first
	Missing   []string         // jobs whose rows are gone
}

// Commit stores the records in one transaction; it is repeated without the records
// that others have changed. It fails with ErrDeposed, ErrUnavailable or
// ErrOutcomeUnknown; after the last two the same entries may be committed again.
func (l *Ledger) Commit(ctx context.Context, o Owner, writer string, entries []Entry) (Result, error) {
	result := Result{Versions: make(map[string]int64)}
	for len(entries) > 0 {
		version, err := l.store.Commit(ctx, transactionOf(o, entries))
		if err == nil {
			for _, e := range entries {
				result.Versions[e.ID] = version
			}
			return result, nil
		}
		if !basilplatform.IsErrConditionFailed(err) {
			return result, err
		}
		if entries, err = l.resolve(ctx, o, writer, entries, &result); err != nil {
			return result, err
		}
	}
	return result, nil
}

func transactionOf(o Owner, entries []Entry) basilplatform.Transaction {
	t := basilplatform.Transaction{Writes: []basilplatform.Write{o.check()}}
	for n := range entries {
		e := &entries[n]
		t.Writes = append(t.Writes, e.write(o.Shard))
		if e.Began {
			t.Writes = append(t.Writes, basilplatform.Write{
				Kind: basilplatform.WriteKindDelete, Key: WaitingKey(o.Shard, e.Queue, e.ID), Precondition: basilplatform.PreconditionNone,
			})
		}
	}
	return t
}

// resolve reads the rows of a refused commit and returns the entries that are still to be stored.
func (l *Ledger) resolve(ctx context.Context, o Owner, writer string, entries []Entry, result *Result) ([]Entry, error) {
	i, err := l.store.Get(ctx, o.Key)
	if basilplatform.IsErrItemNotExist(err) || err == nil && i.Version != o.Version {
		return nil, ErrDeposed{Shard: o.Shard}
	}
	if err != nil {
		return nil, err
	}
	var left []Entry
	for _, e := range entries {
		id := e.ID
		r, version, err := l.Find(ctx, o.Shard, id)
		switch {
		case IsErrJobNotExist(err):
			result.Missing = append(result.Missing, id)
		case err != nil:
			return nil, err
		case r.Writer == writer: // an earlier try without an answer took effect
			result.Versions[id] = version
		case r.State == basilwork.JobStateCanceled:
			result.Cancelled = append(result.Cancelled, id)
		default:
			e.Version = version
			left = append(left, e)
		}
	}
	return left, nil
}

// Writer returns a text that is unique to one commit.
func Writer(incarnation string, sequence int64) string {
	return incarnation + "." + strconv.FormatInt(sequence, 10)
}

// Remove removes jobs; it fails as Transact of the store does.
func (l *Ledger) Remove(ctx context.Context, o Owner, ids []string) error {
	t := basilplatform.Transaction{Writes: []basilplatform.Write{o.check()}}
	for _, id := range ids {
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindDelete, Key: Key(o.Shard, id), Precondition: basilplatform.PreconditionNone,
		})
	}
	return l.store.Transact(ctx, t)
}
