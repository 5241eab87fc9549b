package basilconfig

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// RevisionsBefore returns the deltas of up to limit revisions before the given one, newest first.
func RevisionsBefore(ctx context.Context, t basilplatform.Table, revision int64, limit int) ([]basilmodel.ConfigurationDelta, error) {
	after := max(revision-1-int64(limit), 0)
	var all []basilmodel.ConfigurationDelta
	for after < revision-1 {
		items, err := t.Query(ctx, deltaPartition, revisionSortKey(after), int(revision-1-after))
		if err != nil {
			return nil, err
		}
		if len(items) == 0 {
			break
		}
		for _, i := range items { // a page may hold fewer items than asked for before the last one
			var d basilmodel.ConfigurationDelta
			if err := json.Unmarshal(i.Body, &d); err != nil {
				return nil, errors.WithStack(err)
			}
			all = append(all, d)
			after = d.Revision
		}
	}
	slices.Reverse(all)
	return all, nil
}
