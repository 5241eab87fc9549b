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

// sweepPageSize is the maximum number of ended jobs per sweep.
const sweepPageSize = 30

// acceptAgeDivisor is the divisor of the retention that gives the age from which an id is no longer accepted.
//
// The remaining time covers clock differences and slow writes, so that no
// record is deleted while its id could still be accepted again.
const acceptAgeDivisor = 2

func endedPartition(dataCentre string) string { return "ended-jobs/" + dataCentre }

// endedKey sorts ended jobs by the time at which they ended.
func (r LongJobRecord) endedKey(at time.Time) basilplatform.Key {
	return basilplatform.Key{Partition: endedPartition(r.DataCentre), Sort: sortKeyAt(at) + "/" + r.ID.String()}
}

// tooOld reports whether the id is so old that its record may have been deleted.
func (l *LongJobs) tooOld(id basilapi.JobID) bool {
	return time.Since(ulid.Time(id.Serial().Time())) > l.options.Retention/acceptAgeDivisor
}

// Sweep deletes jobs of the data centre that ended longer ago than the retention.
//
// It returns the number of deleted jobs, and may be called again immediately while that isn't 0.
func (l *LongJobs) Sweep(ctx context.Context) (int, error) {
	items, err := l.store.table.Query(ctx, endedPartition(l.options.DataCentre), "", sweepPageSize)
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
		if ended >= sortKeyAt(before) {
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
