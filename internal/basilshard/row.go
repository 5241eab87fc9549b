package basilshard

import (
	"context"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// Row is a stored row with a single writer process at a time, which makes one write after the other.
//
// Each write has the version that it replaces as a precondition. A write with an unknown outcome
// that takes effect late therefore can't overwrite a later one, of this process or of its successor.
type Row struct {
	store   basilwork.Store
	key     basilplatform.Key
	checks  []basilplatform.Write
	version int64 // assumed version of the stored row; 0 for no row
}

// NewRow returns a row whose writes also require the checks to hold.
func NewRow(store basilwork.Store, key basilplatform.Key, checks ...basilplatform.Write) *Row {
	return &Row{store: store, key: key, checks: checks}
}

// Key returns the row's key.
func (r *Row) Key() basilplatform.Key { return r.key }

// SetVersion sets the version at which the row was read; without it, the first write finds out the version.
func (r *Row) SetVersion(version int64) { r.version = version }

// Write stores the body. It fails with ErrConditionFailed if a check does not hold, and with ErrUnavailable or
// ErrOutcomeUnknown, after which it may be called again.
func (r *Row) Write(ctx context.Context, body []byte) error {
	for {
		version, err := r.attempt(ctx, body)
		if err == nil {
			r.version = version
			return nil
		}
		var failed basilplatform.ErrConditionFailed
		if !errors.As(err, &failed) || failed.Key != r.key || failed.Version == r.version {
			return err
		}
		r.version = failed.Version
	}
}

func (r *Row) attempt(ctx context.Context, body []byte) (int64, error) {
	put := basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: r.key, Precondition: basilplatform.PreconditionVersion, Version: r.version, Body: body,
	}
	return r.store.Commit(ctx, basilplatform.Transaction{Writes: append(r.checks[:len(r.checks):len(r.checks)], put)})
}

// Check returns a transaction entry that requires the shard's owner row to be unchanged.
func (o OwnerRow) Check(shard string) basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindCheck, Key: OwnerKey(shard), Precondition: basilplatform.PreconditionVersion, Version: o.Version,
	}
}
