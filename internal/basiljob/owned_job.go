package basiljob

import (
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// ownedJob is the in-memory state of an open job that this incarnation owns.
//
// Except for claimed, its fields are changed only by the pass that set claimed.
type ownedJob struct {
	job              longJob
	nextCheckAt      time.Time   // time of the next check
	leaseRenewedAt   time.Time   // last lease renewal that may have taken effect; the lease is taken to end one lease duration later
	unreachableSince time.Time   // since when the worker has not responded; zero while it responds
	checkpointedAt   time.Time   // when a checkpoint was last stored
	fitFailures      int         // consecutive placements that failed with ErrFitsNoHost
	claimed          bool        // a pass is working on the job; guarded by LongJobs.mutex
	preferredHost    string      // host where another task was evicted to make room for the job
	avoidedHosts     []string    // hosts that refused the job
	reload           bool        // the stored record may be newer than the one in memory
	started          bool        // the worker accepted the attempt, which may not be recorded yet
	pendingEnd       *finalState // final state that is not yet stored in the table
}

// finalState is the final state of a job with its result.
type finalState struct {
	state   basilapi.JobState
	outcome basilapi.Outcome
	code    basilapi.Code
	reason  string
	result  []byte // set for JobStateDone
}

// own adds the job to those that Step works on, unless it is already owned.
func (l *LongJobs) own(j longJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.owned[j.ID] == nil {
		now := time.Now()
		l.owned[j.ID] = &ownedJob{job: j, nextCheckAt: now, leaseRenewedAt: now, checkpointedAt: now}
	}
}

// disown stops tracking the job and reports to the placer that it has ended.
func (l *LongJobs) disown(id basilapi.JobID) {
	l.mutex.Lock()
	delete(l.owned, id)
	l.mutex.Unlock()
	l.notifyObserver(Observation{ID: id, Event: TaskEventEnded})
}

// observe reports an event of the job's current attempt to the placer.
func (l *LongJobs) observe(j longJob, e TaskEvent, usageCores float64) {
	l.notifyObserver(Observation{
		ID: j.ID, Event: e, Service: j.Service, Host: j.Host,
		Cores: j.Cores, MemoryMB: j.MemoryMB, Urgent: j.Urgent, UsageCores: usageCores,
	})
}

func (l *LongJobs) notifyObserver(event Observation) {
	if o, ok := l.options.Placer.(Observer); ok {
		o.Observe(event)
	}
}

func (l *LongJobs) owns(id basilapi.JobID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.owned[id] != nil
}

// Owned returns the number of open jobs that this incarnation owns.
func (l *LongJobs) Owned() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.owned)
}
