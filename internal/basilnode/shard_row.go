package basilnode

import (
	"context"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

// shardRow is a row that only the owner of a shard writes, one write at a time.
//
// Each write names the version that it replaces, so that one whose outcome is unknown
// can't undo a later one when it takes effect late.
type shardRow struct {
	store   basilwork.Store
	key     basilplatform.Key
	owner   basilplatform.Write // the check that the shard still has this owner
	version int64               // that the stored row is taken to have; 0 for none
}

func newShardRow(store basilwork.Store, k basilplatform.Key, shard string, row basilshard.OwnerRow) *shardRow {
	return &shardRow{store: store, key: k, owner: basilplatform.Write{
		Kind: basilplatform.WriteKindCheck, Key: basilshard.OwnerKey(shard),
		Precondition: basilplatform.PreconditionVersion, Version: row.Version,
	}}
}

// write stores the body; it fails with ErrConditionFailed when the shard has another owner,
// and with ErrUnavailable or ErrOutcomeUnknown, after which it may be repeated.
func (r *shardRow) write(ctx context.Context, body []byte) error {
	for {
		put := basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: r.key, Precondition: basilplatform.PreconditionVersion, Version: r.version, Body: body,
		}
		version, err := r.store.Commit(ctx, basilplatform.Transaction{Writes: []basilplatform.Write{r.owner, put}})
		if err == nil {
			r.version = version
			return nil
		}
		var failed basilplatform.ErrConditionFailed
		if !errors.As(err, &failed) || failed.Key != r.key {
			return err
		}
		r.version = failed.Version
	}
}
