package basilshard

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// Row is a stored row with a single writer process at a time, which makes one write after the other.
//
// Each write has the version that it replaces as a precondition. A write with an unknown outcome
// that takes effect late therefore can't overwrite a later one, of this process or of its successor.
//
// A row without checks, for a store that has no transactions over several partitions, tells the writers' order by their epochs
// instead: it replaces no row of a later epoch.
type Row struct {
	store       basilwork.Store
	key         basilplatform.Key
	checks      []basilplatform.Write
	version     int64 // assumed version of the stored row; 0 for no row
	storedEpoch int64 // of the writer of that version; 0 if unknown, and with checks
}

// NewRow returns a row whose writes also require the checks to hold. Without checks, the bodies have to be JSON objects with the
// epoch of their writer in the field "epoch".
func NewRow(store basilwork.Store, key basilplatform.Key, checks ...basilplatform.Write) *Row {
	return &Row{store: store, key: key, checks: checks}
}

// ErrSuperseded is returned for a write of a row that a writer with a later epoch has written.
type ErrSuperseded struct {
	Key   basilplatform.Key
	Epoch int64 // of the later writer
}

func (e ErrSuperseded) Error() string {
	return fmt.Sprintf("row was written in a later epoch [row: %s/%s, epoch: %d]", e.Key.Partition, e.Key.Sort, e.Epoch)
}

// IsErrSuperseded reports whether the error is an ErrSuperseded.
func IsErrSuperseded(err error) bool { return errors.As(err, new(ErrSuperseded)) }

// Key returns the row's key.
func (r *Row) Key() basilplatform.Key { return r.key }

// SetStored sets the row as it was read; without it, the first write finds out the version.
func (r *Row) SetStored(i basilplatform.Item) {
	r.version, r.storedEpoch = i.Version, r.epochOf(i.Body)
}

// Write stores the body. It fails with ErrConditionFailed if a check does not hold, with ErrSuperseded if there are no checks and a
// later epoch has written the row, and with ErrUnavailable or ErrOutcomeUnknown, after which it may be called again.
func (r *Row) Write(ctx context.Context, body []byte) error {
	epoch := r.epochOf(body)
	for {
		if r.storedEpoch > epoch {
			return ErrSuperseded{Key: r.key, Epoch: r.storedEpoch}
		}
		version, err := r.attempt(ctx, body)
		if err == nil {
			r.version, r.storedEpoch = version, epoch
			return nil
		}
		var failed basilplatform.ErrConditionFailed
		if !errors.As(err, &failed) || failed.Key != r.key || failed.Version == r.version {
			return err
		}
		if err := r.replaced(ctx, failed.Version); err != nil {
			return err
		}
	}
}

// replaced records that the stored row has the version. A row without checks is read, to find out who wrote it.
func (r *Row) replaced(ctx context.Context, version int64) error {
	if len(r.checks) > 0 {
		r.version = version
		return nil
	}
	i, err := r.store.Get(ctx, r.key)
	if basilplatform.IsErrItemNotExist(err) {
		i, err = basilplatform.Item{}, nil
	}
	if err == nil {
		r.SetStored(i)
	}
	return err
}

// epochOf returns the epoch that the body of a row without checks states. One without it, as earlier releases store them, is older
// than all.
func (r *Row) epochOf(body []byte) int64 {
	var stated struct {
		Epoch int64 `json:"epoch"`
	}
	if len(r.checks) > 0 || json.Unmarshal(body, &stated) != nil {
		return 0 // readers of the row log what can't be decoded
	}
	return stated.Epoch
}

func (r *Row) attempt(ctx context.Context, body []byte) (int64, error) {
	put := basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: r.key, Precondition: basilplatform.PreconditionVersion, Version: r.version, Body: body,
	}
	return basilwork.CommitOrReadBack(ctx, r.store, basilplatform.Transaction{Writes: append(r.checks[:len(r.checks):len(r.checks)], put)}, basilwork.LateInterval)
}

// Check returns a transaction entry that requires the shard's owner row to be unchanged.
func (o OwnerRow) Check(shard string) basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindCheck, Key: OwnerKey(shard), Precondition: basilplatform.PreconditionVersion, Version: o.Version,
	}
}
