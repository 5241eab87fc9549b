package basilshard

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// Row is a row that one process at a time writes, one write after the other.
//
// Each write names the version that it replaces, so that one whose outcome is unknown
// can't undo a later one, of this process or of its successor, when it takes effect late.
type Row struct {
	store   basilwork.Store
	key     basilplatform.Key
	checks  []basilplatform.Write
	version int64         // that the stored row is taken to have; 0 for none
	limit   time.Duration // of each try; 0 for the store's own
}

// NewRow returns a row that is written only where the checks hold.
func NewRow(store basilwork.Store, key basilplatform.Key, checks ...basilplatform.Write) *Row {
	return &Row{store: store, key: key, checks: checks}
}

// Key returns the row's key.
func (r *Row) Key() basilplatform.Key { return r.key }

// SetVersion notes the version that the row was read with; without it the first write finds that out.
func (r *Row) SetVersion(version int64) { r.version = version }

// Write stores the body; it fails with ErrConditionFailed when a check does not hold, and with ErrUnavailable or
// ErrOutcomeUnknown, after which it may be repeated.
func (r *Row) Write(ctx context.Context, body []byte) error {
	for {
		version, err := r.try(ctx, body)
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

func (r *Row) try(ctx context.Context, body []byte) (int64, error) {
	if r.limit > 0 {
		limited, cancel := context.WithTimeout(ctx, r.limit)
		defer cancel()
		ctx = limited
	}
	put := basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: r.key, Precondition: basilplatform.PreconditionVersion, Version: r.version, Body: body,
	}
	return r.store.Commit(ctx, basilplatform.Transaction{Writes: append(r.checks[:len(r.checks):len(r.checks)], put)})
}

// Check returns the write that checks that the row still owns the shard.
func (o OwnerRow) Check(shard string) basilplatform.Write {
	return basilplatform.Write{
		Kind: basilplatform.WriteKindCheck, Key: OwnerKey(shard), Precondition: basilplatform.PreconditionVersion, Version: o.Version,
	}
}
