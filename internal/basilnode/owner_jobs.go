package basilnode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

// load reads what the previous owner has stored, and retries until the owner ends. The backend servers come first, so that the leases of the
// runs there are renewed while the jobs are read, which takes seconds on a slow link.
func (o *owner) load() (version int64, ok bool) {
	if !o.retry("failed to read rows of backend servers; retrying", o.loadRecords) || !o.retry("failed to read the evacuation request; retrying", o.loadRequest) {
		return 0, false
	}
	for _, l := range o.connections {
		l.SetBusy(true, 0, 0) // as far as is known: its reports are held
	}
	loaded := make(chan loadedJobs, 1)
	go func() {
		if l, ok := o.readJobs(); ok {
			loaded <- l
		}
	}()
	var held heldEvents
	for {
		select {
		case <-o.ctx.Done():
			return 0, false
		case e := <-o.events:
			held.add(e)
		case l := <-loaded:
			o.silenceAt, o.ended.next = time.Now().Add(silenceDelay), time.Now().Add(endedDelay)
			o.pool.SetConfiguration(o.node.configuration())
			o.applyJobs(l.list)
			o.jobFreshness.markCurrent(l.askedAt)
			o.applyBackends(o.node.backends(o.service))
			held.handle()
			return l.version, true
		}
	}
}

// retry calls a function until it succeeds, and returns false if the owner ends before.
func (o *owner) retry(failure string, f func() error) bool {
	for o.ctx.Err() == nil {
		err := f()
		if err == nil {
			return true
		}
		o.log.WithError(err).Warn(failure)
		_ = basiltimer.Wait(o.ctx, storeRetryDelay) // an ended context ends the loop
	}
	return false
}

// loadedJobs are all jobs of a pool, as they were stored at askedAt or later.
type loadedJobs struct {
	list    []storedJob
	askedAt time.Duration // on the clock of the options
	version int64         // from which to watch for changes
}

// readJobs reads all jobs of the pool, and returns false if the owner ends before.
func (o *owner) readJobs() (l loadedJobs, ok bool) {
	began := time.Now()
	r := basilwork.NewPartitionReader(o.node.store, basilledger.Partition(o.service))
	ok = o.retry("failed to read jobs; retrying", func() error {
		if !r.Begun() {
			l.askedAt = o.node.options.Clock()
		}
		return r.Read(o.ctx, func(page []basilplatform.Item) { l.list = append(l.list, o.decodeJobs(page)...) })
	})
	if ok {
		l.version = r.Version()
		o.log.WithFields(logrus.Fields{"jobs": r.Items(), basillog.FieldDuration: time.Since(began).Milliseconds()}).Info("jobs loaded")
	}
	return l, ok
}

// storedJob is a job record with the id and the version of its row.
type storedJob struct {
	basilwork.Record
	id      string
	version int64
}

// finishTime returns when the job finished. A row without that time counts from now, so that it is not removed early.
func (j *storedJob) finishTime(now time.Time) time.Time {
	if j.Finished == 0 {
		return now
	}
	return time.UnixMilli(j.Finished)
}

// decodeJobs decodes rows of jobs. It blocks starts of cancelled jobs at once, because the control goroutine may
// handle the cancellation late.
func (o *owner) decodeJobs(items []basilplatform.Item) []storedJob {
	list := make([]storedJob, 0, len(items))
	for _, i := range items {
		r, err := basilledger.Decode(i)
		if err != nil {
			o.log.WithError(err).Error("failed to decode job; skipping it")
			continue
		}
		if r.State == basilwork.JobStateCanceled {
			o.orders.cancel(i.Key.Sort)
		}
		list = append(list, storedJob{Record: r, id: i.Key.Sort, version: i.Version})
	}
	return list
}

func (o *owner) applyJobs(list []storedJob) {
	for n := range list {
		o.applyJob(&list[n])
	}
}

// applyJob applies a job's row unless that version is known already: it adds a new job to the pool, cancels a
// cancelled one and remembers a finished one for its later removal.
func (o *owner) applyJob(j *storedJob) {
	id := j.id
	if j.version <= o.versions[id] {
		return
	}
	_, known := o.versions[id]
	o.versions[id] = j.version
	if j.State.Final() {
		o.finished[id] = j.finishTime(time.Now())
	}
	switch {
	case j.State == basilwork.JobStateCanceled:
		if known {
			age := time.Since(o.finished[id])
			o.node.metrics.observe(cancelAge, age)
			o.log.WithFields(logrus.Fields{basillog.FieldJob: id, "age_ms": age.Milliseconds()}).Info("job cancelled")
		}
		o.pool.Cancel(id, time.Now())
	case !known && !j.State.Final():
		adopted := j.version < o.row.Version
		o.pool.AddJob(j.Record, adopted)
		o.log.WithFields(logrus.Fields{basillog.FieldJob: id, "adopted": adopted, "version": j.version}).Info("job added")
	}
}

// watchJobs follows changes of the shard's jobs.
func (o *owner) watchJobs(after int64) {
	o.node.keeper.Follow(o.ctx, after, basilshard.FollowOptions{
		Watch: o.node.keeper.WatchTable(basilledger.Table(o.service)), Reload: o.reloadJobs, BatchDelay: watchBatchDelay,
		Wait: o.jobFreshness.watchTimeout, OnCurrent: o.jobFreshness.markCurrent,
		Apply: func(items []basilplatform.Item) bool {
			jobs := o.decodeJobs(o.ownWrites.unknown(items))
			o.send(func(time.Time) { o.applyJobs(jobs) })
			return true
		},
	})
}

// reloadJobs reads all jobs after the store has dropped its change history, and returns the version from which to go
// on watching.
func (o *owner) reloadJobs(ctx context.Context) (version int64, ok bool) {
	if o.reload == nil {
		o.reload = basilwork.NewPartitionReader(o.node.store, basilledger.Partition(o.service))
	}
	err := o.reload.Read(ctx, func(page []basilplatform.Item) {
		jobs := o.decodeJobs(page)
		o.send(func(time.Time) { o.applyJobs(jobs) })
	})
	if err != nil {
		o.log.WithError(err).WithField("jobs", o.reload.Items()).Warn("failed to read jobs; retrying")
		return 0, false
	}
	o.log.WithField("jobs", o.reload.Items()).Info("jobs reloaded after the store dropped its change history")
	version = o.reload.Version()
	o.reload = nil
	return version, true
}
