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

// loadJobs reads the shard's jobs, the backend servers that the previous owner used and the evacuation request. It
// retries until the owner ends.
func (o *owner) loadJobs() (version int64, ok bool) {
	var items []basilplatform.Item
	var askedAt time.Duration
	began := time.Now()
	r := basilwork.NewPartitionReader(o.node.store, basilledger.Partition(o.service))
	for o.ctx.Err() == nil {
		if !r.Begun() {
			askedAt = o.node.options.Clock()
		}
		err := r.Read(o.ctx, func(page []basilplatform.Item) { items = append(items, page...) })
		if err == nil {
			err = o.loadRecords()
		}
		if err == nil {
			err = o.loadRequest()
		}
		if err != nil {
			o.log.WithError(err).WithField("jobs", len(items)).Warn("failed to read jobs; retrying")
			_ = basiltimer.Wait(o.ctx, storeRetryDelay) // an ended context ends the loop
			continue
		}
		o.silenceAt, o.ended.next = time.Now().Add(silenceDelay), time.Now().Add(endedDelay)
		o.pool.SetConfiguration(o.node.configuration())
		o.applyJobs(o.decodeJobs(items))
		o.jobFreshness.markCurrent(askedAt)
		o.applyBackends(o.node.backends(o.service))
		o.log.WithFields(logrus.Fields{"jobs": len(items), basillog.FieldDuration: time.Since(began).Milliseconds()}).Info("jobs loaded")
		return r.Version(), true
	}
	return 0, false
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
