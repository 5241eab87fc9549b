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

// scanPage is how many items of the index one query asks for.
const scanPage = 100

// Step takes the open jobs one step further: it adopts, starts, watches and ends them.
//
// It returns the first error it met; the other jobs are worked on all the same.
func (l *LongJobs) Step(ctx context.Context) error {
	l.stepping.Lock()
	defer l.stepping.Unlock()
	err := l.search(ctx)
	e := l.advanceAll(ctx, l.claim(func(*ownedJob) bool { return true }))
	if err == nil {
		err = e
	}
	return err
}

// StepUrgent starts the urgent jobs that are due, whatever a Step waits for.
//
// It returns the first error it met; the other jobs are worked on all the same.
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
			defer l.leave(o)
			return l.advance(ctx, o)
		})
	}
	return group.Wait()
}

// leave lets other passes work on the job again.
func (l *LongJobs) leave(o *ownedJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o.busy = false
}

// claim returns the jobs that are due and that no other pass works on, in the order of their ids.
func (l *LongJobs) claim(is func(*ownedJob) bool) []*ownedJob {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	var due []*ownedJob
	for _, o := range l.owned {
		if !o.busy && !o.due.After(now) && is(o) {
			o.busy = true
			due = append(due, o)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].job.ID.Serial().Compare(due[b].job.ID.Serial()) < 0 })
	return due
}

// search brings memory into line with the index, and adopts jobs of gone owners.
func (l *LongJobs) search(ctx context.Context) error {
	now := time.Now()
	if l.widened.IsZero() || now.Sub(l.widened) >= l.options.WideEvery {
		if err := l.searchWide(ctx); err != nil {
			return err
		}
		l.widened = now
	}
	if !l.scanned.IsZero() && now.Sub(l.scanned) < l.options.ScanEvery {
		return nil
	}
	l.scanned = now
	return l.adoptIn(ctx, l.options.DataCentre)
}

func (l *LongJobs) searchWide(ctx context.Context) error {
	if err := l.listOwn(ctx); err != nil {
		return err
	}
	for _, d := range l.options.Neighbours {
		if err := l.adoptIn(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// listOwn loads own jobs that memory lacks, and forgets jobs that others adopted.
func (l *LongJobs) listOwn(ctx context.Context) error {
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

// openJobs returns the open jobs of the owner in the data centre.
func (l *LongJobs) openJobs(ctx context.Context, dataCentre string, owner ulid.ULID) ([]basilapi.JobID, error) {
	var ids []basilapi.JobID
	after := ownerPrefix(owner)
	for {
		items, err := l.store.table.Query(ctx, indexPartition(dataCentre), after, scanPage)
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
		if len(items) < scanPage {
			return ids, nil
		}
	}
}

// adoptIn looks at each owner that has open jobs in the data centre, and adopts those of gone ones.
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

// adopt makes this incarnation the job's owner; every later write of the former owner fails.
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
