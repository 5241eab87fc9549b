package basilnode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

// load reads what the previous owner has stored, and retries until the owner ends. The backend servers come first, so that the leases of the
// runs there are renewed while the jobs are read, which takes seconds on a slow link. Of the reports only the runs of cancelled jobs count so far,
// which are stopped.
func (o *owner) load() (ok bool) {
	if !o.retry("failed to read rows of backend servers; retrying", o.loadRecords) || !o.retry("failed to read the evacuation request; retrying", o.loadRequest) {
		return false
	}
	for _, l := range o.connections {
		l.SetBusy(true, 0, 0) // as far as is known: its reports are held
	}
	loaded := make(chan []storedJob, 1)
	go func() {
		if list, ok := o.readJobs(); ok {
			loaded <- list
		}
	}()
	var held heldEvents
	for {
		select {
		case <-o.ctx.Done():
			return false
		case e := <-o.events:
			held.add(e)
			if e.held != nil {
				e.held()
			}
		case list := <-loaded:
			o.silenceAt, o.ended.next = time.Now().Add(silenceDelay), time.Now().Add(endedDelay)
			o.pool.SetConfiguration(o.node.configuration())
			o.applyJobs(list)
			o.applyBackends(o.node.backends(o.service))
			held.handle()
			return true
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

// readJobs reads all jobs of the pool, and returns false if the owner ends before. Changes are followed from the first page on.
func (o *owner) readJobs() (list []storedJob, ok bool) {
	began := time.Now()
	r := basilwork.NewPartitionReader(o.node.store, basilledger.Partition(o.service))
	following := false
	var askedAt time.Duration
	ok = o.retry("failed to read jobs; retrying", func() error {
		if !following {
			askedAt = o.node.options.Clock()
		}
		return r.Read(o.ctx, func(page []basilplatform.Item) {
			list = append(list, o.decodeJobs(page)...)
			if !following {
				following = true
				o.jobFreshness.markCurrent(askedAt)
				go o.watchJobs(r.Version())
			}
		})
	})
	if ok {
		o.log.WithFields(logrus.Fields{"jobs": r.Items(), basillog.FieldDuration: time.Since(began).Milliseconds()}).Info("jobs loaded")
	}
	return list, ok
}

// stopCancelled requests the end of a predecessor's runs of cancelled jobs while the jobs are read. A request is repeated once its run should have
// ended.
func (o *owner) stopCancelled(id string, running []basilwork.RunStatus) {
	now := time.Now()
	for _, s := range running {
		task, err := basilwork.ParseTaskID(s.Task)
		if err != nil || !o.orders.isCancelled(task.Job) {
			continue
		}
		ref := basilscheduler.Ref{Backend: id, Task: task, Attempt: s.Attempt}
		if at, stopped := o.earlyStops[ref]; stopped && now.Sub(at) < o.node.options.StopTimeout {
			continue
		}
		if o.earlyStops == nil {
			o.earlyStops = make(map[basilscheduler.Ref]time.Time)
		}
		o.earlyStops[ref] = now
		o.stopRun(basilscheduler.Stop{Ref: ref, Reason: "canceled"})
	}
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
