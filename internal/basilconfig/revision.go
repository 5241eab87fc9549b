package basilconfig

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// wholeEvery is how many revisions apart whole configurations are kept; the others are kept as deltas.
const wholeEvery = 64

const (
	deltaPartition = "configuration-delta"
	wholePartition = "configuration-whole"
)

func revisionSort(revision int64) string { return fmt.Sprintf("%019d", revision) }

// revisionWrites moves the head and keeps the revision, which never changes again.
func revisionWrites(head basilplatform.Item, next basilmodel.Configuration, d basilmodel.ConfigurationDelta) ([]basilplatform.Write, error) {
	whole, err := json.Marshal(next)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	delta, err := json.Marshal(d)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	move := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: headKey, Body: whole}
	if head.Version > 0 {
		move.Precondition = basilplatform.PreconditionVersion
		move.Version = head.Version
	}
	sort := revisionSort(next.Revision())
	writes := []basilplatform.Write{move, {
		Kind: basilplatform.WriteKindPut, Key: basilplatform.Key{Partition: deltaPartition, Sort: sort}, Body: delta,
	}}
	if next.Revision()%wholeEvery == 0 {
		writes = append(writes, basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: basilplatform.Key{Partition: wholePartition, Sort: sort}, Body: whole,
		})
	}
	return writes, nil
}

// Revision returns one accepted revision; it fails with ErrRevisionNotExist.
func Revision(ctx context.Context, t basilplatform.Table, revision int64) (basilmodel.Configuration, error) {
	c, err := wholeBefore(ctx, t, revision)
	if err != nil {
		return c, err
	}
	items, err := t.Query(ctx, deltaPartition, revisionSort(c.Revision()), wholeEvery)
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

// wholeBefore returns the last whole configuration at or before the revision, which is empty for the first ones.
func wholeBefore(ctx context.Context, t basilplatform.Table, revision int64) (basilmodel.Configuration, error) {
	var c basilmodel.Configuration
	kept := revision - revision%wholeEvery
	if kept <= 0 {
		return c, nil
	}
	i, err := t.Get(ctx, basilplatform.Key{Partition: wholePartition, Sort: revisionSort(kept)})
	if basilplatform.IsErrItemNotExist(err) {
		return c, errors.WithStack(ErrRevisionNotExist{Revision: revision})
	}
	if err != nil {
		return c, err
	}
	return c, errors.WithStack(json.Unmarshal(i.Body, &c))
}
