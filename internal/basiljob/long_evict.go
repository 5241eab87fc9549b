package basiljob

import (
	"context"
	"sort"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// evictAfterRefusals is the number of refusals after which another job is evicted for an urgent job.
const evictAfterRefusals = 2

// evict stops a job of this owner, after storing its checkpoint, to make room for an urgent one.
//
// Only idempotent jobs are stopped, because they run again later. It returns false if no room was made.
func (l *LongJobs) evict(ctx context.Context, o *ownedJob) bool {
	e, ok := l.options.Placer.(Evictor)
	if !ok || !o.job.Urgent {
		return false
	}
	id, ok := e.Evict(l.placementRequest(o), l.evictable())
	if !ok {
		return false
	}
	victim := l.claimEvictable(id)
	if victim == nil {
		return false
	}
	defer l.unclaim(victim)
	host := victim.job.Host
	if !l.stopForEviction(ctx, victim) {
		return false
	}
	o.preferredHost, o.avoidedHosts = host, nil
	return true
}

// evictable returns the ids of the owned jobs that may be stopped, sorted by serial.
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
	return !o.claimed && o.started && o.job.State == basilapi.JobStateStarted && o.job.Idempotent && !o.job.Urgent && !o.reload
}

func (l *LongJobs) claimEvictable(id basilapi.JobID) *ownedJob {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	o := l.owned[id]
	if o == nil || !o.evictable() {
		return nil
	}
	o.claimed = true
	return o
}

// stopForEviction stops a running attempt of an idempotent job, which resumes later from its checkpoint.
func (l *LongJobs) stopForEviction(ctx context.Context, victim *ownedJob) bool {
	ctx, cancel := context.WithTimeout(ctx, l.options.CallTimeout)
	defer cancel()
	_ = l.tasks.Checkpoint(ctx, victim.job.Address, victim.job.ID.String(), victim.job.Attempt) // if it fails, the previous checkpoint is used
	s, err := l.callWorker(ctx, victim, l.tasks.Status)
	if err != nil || s.State != basilplatform.TaskStateRunning {
		return false
	}
	victim.checkpointedAt = time.Time{}
	if err := l.storeCheckpoint(ctx, victim, s.Checkpoint); err != nil {
		return false
	}
	s, err = l.callWorker(ctx, victim, l.tasks.Stop)
	if err != nil {
		victim.nextCheckAt = time.Now() // watch finds out whether it stopped
		return false
	}
	ended := s.State == basilplatform.TaskStateStopped || s.State == basilplatform.TaskStateDone
	return l.handleStatus(ctx, victim, s) == nil && ended
}
