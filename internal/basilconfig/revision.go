package basilconfig

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// snapshotInterval is the number of revisions between stored snapshots of the
// whole configuration; every revision is also stored as a delta.
const snapshotInterval = 64

const (
	deltaPartition    = "configuration-delta"
	snapshotPartition = "configuration-whole"
)

func revisionSortKey(revision int64) string { return fmt.Sprintf("%019d", revision) }

// revisionWrites returns the writes that advance the head and store the immutable
// revision: its delta and, every snapshotInterval revisions, a snapshot.
func revisionWrites(head basilplatform.Item, next basilmodel.Configuration, d basilmodel.ConfigurationDelta) ([]basilplatform.Write, error) {
	snapshot, err := json.Marshal(next)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	delta, err := json.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	headWrite := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: headKey, Body: snapshot}
	if head.Version > 0 {
		headWrite.Precondition = basilplatform.PreconditionVersion
		headWrite.Version = head.Version
	}
	sort := revisionSortKey(next.Revision())
	writes := []basilplatform.Write{headWrite, {
		Kind: basilplatform.WriteKindPut, Key: basilplatform.Key{Partition: deltaPartition, Sort: sort}, Body: delta,
	}}
	if next.Revision()%snapshotInterval == 0 {
		writes = append(writes, basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: basilplatform.Key{Partition: snapshotPartition, Sort: sort}, Body: snapshot,
		})
	}
	return writes, nil
}

// Revision returns the configuration of an accepted revision, rebuilt from a
// snapshot and deltas; it fails with ErrRevisionNotExist.
func Revision(ctx context.Context, t basilplatform.Table, revision int64) (basilmodel.Configuration, error) {
	c, err := snapshotBefore(ctx, t, revision)
	if err != nil {
		return c, err
	}
	items, err := t.Query(ctx, deltaPartition, revisionSortKey(c.Revision()), snapshotInterval)
	if err != nil {
		return c, err
	}
	for _, i := range items {
		if c.Revision() == revision {
			break
		}
		var d basilmodel.ConfigurationDelta
		if err := json.Unmarshal(i.Body, &d); err != nil {
			return c, errors.WithStack(err)
		}
		c, _ = c.Apply(d)
	}
	if c.Revision() != revision {
		return c, errors.WithStack(ErrRevisionNotExist{Revision: revision})
	}
	return c, nil
}

// snapshotBefore returns the newest snapshot at or before the revision. Before the
// first snapshot this is the empty configuration.
func snapshotBefore(ctx context.Context, t basilplatform.Table, revision int64) (basilmodel.Configuration, error) {
	var c basilmodel.Configuration
	snapshotRevision := revision - revision%snapshotInterval
	if snapshotRevision <= 0 {
		return c, nil
	}
	i, err := t.Get(ctx, basilplatform.Key{Partition: snapshotPartition, Sort: revisionSortKey(snapshotRevision)})
	if basilplatform.IsErrItemNotExist(err) {
		return c, errors.WithStack(ErrRevisionNotExist{Revision: revision})
	}
	if err != nil {
		return c, err
	}
	return c, errors.WithStack(json.Unmarshal(i.Body, &c))
}
