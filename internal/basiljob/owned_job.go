package basiljob

import (
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// ownedJob is what an owner knows of one of its open jobs; only the pass that made it busy changes it.
type ownedJob struct {
	job     longJob
	due     time.Time // when to look at it next
	renewed time.Time // the lease lasts at least until this plus the lease, and no longer
	lost    time.Time // since when the worker gives no answer; zero when it does
	kept    time.Time // when a checkpoint was last stored
	misfits int
	busy    bool     // a pass works on it; the jobs' mutex guards it
	prefer  string   // host where room was made for it
	avoid   []string // hosts that refused it
	reload  bool     // the record may have moved on
	started bool     // the worker took the attempt, whether or not that is recorded
	ending  *ending  // a final state that the table didn't take yet
}

// ending is a final state and the result that goes with it.
type ending struct {
	state   basilapi.JobState
	outcome basilapi.Outcome
	code    basilapi.Code
	reason  string
	result  []byte // for JobStateDone
}

// own puts a record in the care of the next Step.
func (l *LongJobs) own(j longJob) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.owned[j.ID] == nil {
		now := time.Now()
		l.owned[j.ID] = &ownedJob{job: j, due: now, renewed: now, kept: now}
	}
}

func (l *LongJobs) disown(id basilapi.JobID) {
	l.mutex.Lock()
	delete(l.owned, id)
	l.mutex.Unlock()
	l.tell(Observation{ID: id, Event: TaskEventEnded})
}

// observe tells the placer what became of the job's attempt.
func (l *LongJobs) observe(j longJob, e TaskEvent, usageCores float64) {
	l.tell(Observation{
		ID: j.ID, Event: e, Service: j.Service, Host: j.Host,
		Cores: j.Cores, MemoryMB: j.MemoryMB, Urgent: j.Urgent, UsageCores: usageCores,
	})
}

func (l *LongJobs) tell(x Observation) {
	if o, ok := l.options.Placer.(Observer); ok {
		o.Observe(x)
	}
}

func (l *LongJobs) owns(id basilapi.JobID) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.owned[id] != nil
}

// Owned returns the number of open jobs in the care of this incarnation.
func (l *LongJobs) Owned() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.owned)
}
