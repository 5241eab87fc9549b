package basilledger

import (
	"context"
	"strconv"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// MaxCommitRecords is the largest number of records in a group commit. Each takes a put and
// the removal of its waiting mark, and the owner row a check, out of 100 transaction entries.
const MaxCommitRecords = 30

// MaxCommitBytes is the largest size of the bodies in a transaction of more than one record: half of the store's limit of 1 MB, as
// bodies are sent as base64, which is a third longer, and beside the rest of the call.
const MaxCommitBytes = 512 << 10

// Entry is an encoded record of a group commit.
type Entry struct {
	ID      string
	Queue   string // key of the job's queue
	Started bool
	Version int64 // of the stored row
	Form    Form
	Body    []byte
}

// NewEntry encodes a record; the commit ID is one that CommitID returned.
func NewEntry(r basilwork.Record, version int64, commitID string, f Form) (Entry, error) {
	r.Writer = commitID
	r = withoutPayload(r)
	body, err := encodeRecord(&r, f)
	if err != nil {
		return Entry{}, err
	}
	return Entry{
		ID: r.Job.ID, Queue: r.Job.QueueKey(), Started: r.State != basilwork.JobStatePending, Version: version, Form: f, Body: body,
	}, nil
}

// withoutPayload returns a record without the payload if the job has ended: nothing is started any more, and a new owner reads the rows of all jobs
// that ended within the retention time.
func withoutPayload(r basilwork.Record) basilwork.Record {
	if r.State.Final() {
		r.Job.Payload = ""
	}
	return r
}

// write returns the put of the record, which requires that the stored version is unchanged.
func (e *Entry) write(shard string) basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: Key(shard, e.ID), Precondition: basilplatform.PreconditionVersion,
		Version: e.Version, Body: e.Body,
	}
}

// Owner identifies the owner row that entitles the writer to a shard.
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

// Result is the result of a group commit.
type Result struct {
	Versions  map[string]int64 // new versions of the stored records by job ID
	Cancelled []string         // jobs that were cancelled by another process before
	Missing   []string         // jobs whose rows no longer exist
}

// Commit stores the records in one transaction. If another process has changed some of the
// records, it retries: without the jobs that were cancelled or removed or that are stored
// already, and with the new versions of the others. It fails with ErrDeposed, ErrUnavailable or
// ErrOutcomeUnknown; after the last two, the same entries may be committed again.
func (l *Ledger) Commit(ctx context.Context, o Owner, commitID string, entries []Entry) (Result, error) {
	result := Result{Versions: make(map[string]int64)}
	for len(entries) > 0 {
		version, err := basilwork.CommitOrReadBack(ctx, l.store, commitTransaction(o, entries), basilwork.LateInterval) // the bodies state the commit ID
		if err == nil {
			for _, e := range entries {
				result.Versions[e.ID] = version
			}
			return result, nil
		}
		if !basilplatform.IsErrConditionFailed(err) {
			return result, err
		}
		if entries, err = l.resolveConflicts(ctx, o, commitID, entries, &result); err != nil {
			return result, err
		}
	}
	return result, nil
}

func commitTransaction(o Owner, entries []Entry) basilplatform.Transaction {
	t := basilplatform.Transaction{Writes: []basilplatform.Write{o.check()}}
	for n := range entries {
		e := &entries[n]
		t.Writes = append(t.Writes, e.write(o.Shard))
		if e.Started {
			t.Writes = append(t.Writes, basilplatform.Write{
				Kind: basilplatform.WriteKindDelete, Key: WaitingKey(o.Shard, e.Queue, e.ID), Precondition: basilplatform.PreconditionNone,
			})
		}
	}
	return t
}

// resolveConflicts reads the rows of a commit that failed a precondition and returns the entries that still have to be stored.
func (l *Ledger) resolveConflicts(ctx context.Context, o Owner, commitID string, entries []Entry, result *Result) ([]Entry, error) {
	i, err := l.store.Get(ctx, o.Key)
	if basilplatform.IsErrItemNotExist(err) || err == nil && i.Version != o.Version {
		return nil, ErrDeposed{Shard: o.Shard}
	}
	if err != nil {
		return nil, err
	}
	var rest []Entry
	for _, e := range entries {
		id := e.ID
		r, version, err := l.Find(ctx, o.Shard, id)
		switch {
		case IsErrJobNotExist(err):
			result.Missing = append(result.Missing, id)
		case err != nil:
			return nil, err
		case r.Writer == commitID: // an earlier attempt that got no answer took effect
			result.Versions[id] = version
		case r.State == basilwork.JobStateCanceled:
			result.Cancelled = append(result.Cancelled, id)
		default:
			e.Version = version
			rest = append(rest, e)
		}
	}
	return rest, nil
}

// CommitID returns the unique ID of a commit. The sequence starts anew with each epoch.
func CommitID(incarnation string, epoch, sequence int64) string {
	return incarnation + "." + strconv.FormatInt(epoch, 10) + "." + strconv.FormatInt(sequence, 10)
}

// Remove deletes jobs; it fails with the same errors as the store's Transact.
func (l *Ledger) Remove(ctx context.Context, o Owner, ids []string) error {
	t := basilplatform.Transaction{Writes: []basilplatform.Write{o.check()}}
	for _, id := range ids {
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindDelete, Key: Key(o.Shard, id), Precondition: basilplatform.PreconditionNone,
		})
	}
	return l.store.Transact(ctx, t)
}
