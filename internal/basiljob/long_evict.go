package basiljob

import (
	"context"
	"sort"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// evictAfter is how many refusals an urgent job takes before another job makes room for it.
const evictAfter = 2

// evict stops a job of this owner that may run again, after its checkpoint is stored, to make room for an urgent one.
//
// Only jobs that may run twice are stopped. It returns false when no room was made.
func (l *LongJobs) evict(ctx context.Context, o *ownedJob) bool {
	e, ok := l.options.Placer.(Evictor)
	if !ok || !o.job.Urgent {
		return false
	}
	id, ok := e.Evict(l.placement(o), l.evictable())
	if !ok {
		return false
	}
	v := l.claimRunning(id)
	if v == nil {
		return false
	}
	defer l.leave(v)
	host := v.job.Host
	if !l.stop(ctx, v) {
		return false
	}
	o.prefer, o.avoid = host, nil
	return true
}

// evictable returns the own jobs that may be stopped, in the order of their ids.
func (l *LongJobs) evictable() []basilapi.JobID {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ids []basilapi.JobID
	for id, o := range l.owned {
		if o.evictable() {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a].Serial().Compare(ids[b].Serial()) < 0 })
	return ids
}

func (o *ownedJob) evictable() bool {
	return !o.busy && o.started && o.job.State == basilapi.JobStateStarted && o.job.Idempotent && !o.job.Urgent && !o.reload
}

func (l *LongJobs) claimRunning(id basilapi.JobID) *ownedJob {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o := l.owned[id]
	if o == nil || !o.evictable() {
		return nil
	}
	o.busy = true
	return o
}

// stop ends a running attempt of an idempotent job, which goes on later from its checkpoint.
func (l *LongJobs) stop(ctx context.Context, v *ownedJob) bool {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	_ = l.tasks.Checkpoint(ctx, v.job.Address, v.job.ID.String(), v.job.Attempt) // the last one does without
	s, err := l.ask(ctx, v, l.tasks.Status)
	if err != nil || s.State != basilplatform.TaskStateRunning {
		return false
	}
	v.kept = time.Time{}
	if err := l.keep(ctx, v, s.Checkpoint); err != nil {
		return false
	}
	s, err = l.ask(ctx, v, l.tasks.Stop)
	if err != nil {
		v.due = time.Now() // watch tells what became of it
		return false
	}
	ended := s.State == basilplatform.TaskStateStopped || s.State == basilplatform.TaskStateDone
	return l.heard(ctx, v, s) == nil && ended
}
