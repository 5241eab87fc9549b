package basiljob

import (
	"context"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// sweepPage is how many ended jobs one sweep looks at.
const sweepPage = 30

// ageShare is the part of the retention after which an id is no longer accepted.
//
// The rest is what clocks may differ by and writes may take, so that no record
// is deleted while its id could still be accepted anew.
const ageShare = 2

func endedPartition(dataCentre string) string { return "ended-jobs/" + dataCentre }

// endedKey sorts ended jobs by the time of their end.
func (r LongJobRecord) endedKey(at time.Time) basilplatform.Key {
	return basilplatform.Key{Partition: endedPartition(r.DataCentre), Sort: sortAt(at) + "/" + r.ID.String()}
}

// tooOld tells whether the id's record may have been deleted.
func (l *LongJobs) tooOld(id basilapi.JobID) bool {
	return time.Since(ulid.Time(id.Serial().Time())) > l.options.Retention/ageShare
}

// Sweep deletes jobs of the data centre that were minted and ended longer ago than the retention.
//
// It returns how many it deleted, and may be called again at once while that is not 0.
func (l *LongJobs) Sweep(ctx context.Context) (int, error) {
	items, err := l.store.table.Query(ctx, endedPartition(l.options.DataCentre), "", sweepPage)
	if err != nil {
		return 0, err
	}
	before := time.Now().Add(-l.options.Retention)
	x := basilplatform.Transaction{Token: ulid.Make().String()}
	var deleted int
	for _, i := range items {
		ended, text, _ := strings.Cut(i.Key.Sort, "/")
		id, err := basilapi.ParseJobID(text)
		if err != nil {
			return 0, errors.WithStack(ErrItemCorrupt{Key: i.Key, Cause: err})
		}
		if ended >= sortAt(before) {
			break
		}
		x.Writes = append(x.Writes, deleteItem(i.Key), deleteItem(jobKey(id, sortRecord)), deleteItem(jobKey(id, sortResult)))
		deleted++
	}
	if deleted == 0 {
		return 0, nil
	}
	return deleted, l.store.table.Transact(ctx, x)
}
