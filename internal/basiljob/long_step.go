package basiljob

import (
	"context"
	"sort"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// scanPageSize is the page size of index queries.
const scanPageSize = 100

// Step adopts jobs of dead owners, and starts, watches and ends the owned jobs that are due.
//
// It returns the first error; an error of the search or of one job doesn't stop the other owned jobs.
func (l *LongJobs) Step(ctx context.Context) error {
	l.stepMutex.Lock()
	defer l.stepMutex.Unlock()
	err := l.synchronise(ctx)
	advanceErr := l.advanceAll(ctx, l.claim(func(*ownedJob) bool { return true }))
	if err == nil {
		err = advanceErr
	}
	return err
}

// StepUrgent starts the urgent jobs that are due; it may run concurrently with Step and isn't blocked by it.
//
// It returns the first error; an error of one job doesn't stop the others.
func (l *LongJobs) StepUrgent(ctx context.Context) error {
	return l.advanceAll(ctx, l.claim(func(o *ownedJob) bool {
		return o.job.Urgent && o.job.State == basilapi.JobStateAccepted
	}))
}

func (l *LongJobs) advanceAll(ctx context.Context, all []*ownedJob) error {
	var group errgroup.Group
	group.SetLimit(l.options.Parallel)
	for _, o := range all {
		group.Go(func() error {
			defer l.unclaim(o)
			return l.advance(ctx, o)
		})
	}
	return group.Wait()
}

// unclaim returns a claimed job, so that other passes can process it again.
func (l *LongJobs) unclaim(o *ownedJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o.claimed = false
}

// claim marks the matching due jobs that no other pass has claimed, and returns them sorted by serial.
func (l *LongJobs) claim(matches func(*ownedJob) bool) []*ownedJob {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	var due []*ownedJob
	for _, o := range l.owned {
		if !o.claimed && !o.nextCheckAt.After(now) && matches(o) {
			o.claimed = true
			due = append(due, o)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].job.ID.Serial().Compare(due[b].job.ID.Serial()) < 0 })
	return due
}

// synchronise synchronises the owned jobs with the index, and adopts jobs of dead owners, each when it is due.
func (l *LongJobs) synchronise(ctx context.Context) error {
	now := time.Now()
	if l.lastWideScan.IsZero() || now.Sub(l.lastWideScan) >= l.options.WideScanInterval {
		if err := l.synchroniseWide(ctx); err != nil {
			return err
		}
		l.lastWideScan = now
	}
	if !l.lastScan.IsZero() && now.Sub(l.lastScan) < l.options.ScanInterval {
		return nil
	}
	l.lastScan = now
	return l.adoptIn(ctx, l.options.DataCentre)
}

func (l *LongJobs) synchroniseWide(ctx context.Context) error {
	if err := l.synchroniseOwned(ctx); err != nil {
		return err
	}
	for _, d := range l.options.Neighbours {
		if err := l.adoptIn(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// synchroniseOwned loads owned jobs that are missing in memory, and drops jobs that others have adopted or ended.
func (l *LongJobs) synchroniseOwned(ctx context.Context) error {
	before := l.ownedIDs()
	listed := make(map[basilapi.JobID]bool)
	for _, d := range append([]string{l.options.DataCentre}, l.options.Neighbours...) {
		ids, err := l.openJobs(ctx, d, l.options.Incarnation)
		if err != nil {
			return err
		}
		for _, id := range ids {
			listed[id] = true
		}
	}
	for _, id := range before {
		if !listed[id] {
			l.disown(id)
		}
	}
	for id := range listed {
		if l.owns(id) {
			continue
		}
		j, err := l.store.load(ctx, id)
		if err != nil {
			return err
		}
		if j.Owner == l.options.Incarnation && !j.final() {
			l.own(j)
		}
	}
	return nil
}

func (l *LongJobs) ownedIDs() []basilapi.JobID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ids := make([]basilapi.JobID, 0, len(l.owned))
	for id := range l.owned {
		ids = append(ids, id)
	}
	return ids
}

// openJobs returns the ids of the owner's open jobs in the data centre's index.
func (l *LongJobs) openJobs(ctx context.Context, dataCentre string, owner ulid.ULID) ([]basilapi.JobID, error) {
	var ids []basilapi.JobID
	after := ownerPrefix(owner)
	for {
		items, err := l.store.table.Query(ctx, indexPartition(dataCentre), after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, i := range items {
			o, id, err := parseIndexSort(i.Key)
			if err != nil {
				return nil, err
			}
			if o != owner {
				return ids, nil
			}
			ids = append(ids, id)
			after = i.Key.Sort
		}
		if len(items) < scanPageSize {
			return ids, nil
		}
	}
}

// adoptIn adopts the open jobs of all dead owners in the data centre's index; it needs one query per owner to find them.
func (l *LongJobs) adoptIn(ctx context.Context, dataCentre string) error {
	var after string
	for {
		items, err := l.store.table.Query(ctx, indexPartition(dataCentre), after, 1)
		if err != nil || len(items) == 0 {
			return err
		}
		owner, _, err := parseIndexSort(items[0].Key)
		if err != nil {
			return err
		}
		if l.isGone(owner) {
			if err := l.adoptFrom(ctx, dataCentre, owner); err != nil {
				return err
			}
		}
		after = afterOwner(owner)
	}
}

func (l *LongJobs) isGone(owner ulid.ULID) bool {
	return owner != l.options.Incarnation && l.options.Members != nil && l.options.Members.Gone(owner)
}

func (l *LongJobs) adoptFrom(ctx context.Context, dataCentre string, owner ulid.ULID) error {
	ids, err := l.openJobs(ctx, dataCentre, owner)
	if err != nil {
		return err
	}
	for _, id := range ids {
		err := l.adopt(ctx, id, owner)
		if err != nil && !basilplatform.IsErrConditionFailed(err) {
			return err
		}
	}
	return nil
}

// adopt makes this incarnation the owner of the job; later writes of the former owner fail on the record's version.
func (l *LongJobs) adopt(ctx context.Context, id basilapi.JobID, from ulid.ULID) error {
	j, err := l.store.load(ctx, id)
	if err != nil || j.Owner != from || j.final() {
		return err
	}
	former := j.indexKey()
	j.Owner = l.options.Incarnation
	saved, err := l.store.save(ctx, j, deleteItem(former), putBody(j.indexKey(), basilplatform.PreconditionAbsent, nil))
	if err != nil {
		return err
	}
	l.own(saved)
	return nil
}
