package basilstandin

import (
	"encoding/json"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
)

// progressRecord is the checkpoint of a task.
type progressRecord struct {
	DoneMS int64 `json:"done_ms"`
}

// task is one attempt on a worker; its backend's mutex guards it.
type task struct {
	status basilplatform.TaskStatus
	total  time.Duration // of work
	done   time.Duration // of work, up to since
	since  time.Time
	share  float64 // of the full speed
	cores  int
	end    *time.Timer
	lease  *time.Timer
}

func (t *task) stopTimers() {
	for _, timer := range []*time.Timer{t.end, t.lease} {
		if timer != nil {
			timer.Stop()
		}
	}
}

// settle adds up the work done until now.
func (t *task) settle() {
	now := time.Now()
	t.done += time.Duration(float64(now.Sub(t.since)) * t.share)
	t.since = now
}

func (b *Backend) runningTasks() int {
	var n int
	for _, t := range b.tasks {
		if t.status.State == basilplatform.TaskStateRunning {
			n++
		}
	}
	return n
}

// StartTask starts one attempt under a lease; a repeat starts nothing.
//
// It fails with ErrUnavailable or ErrRefused; both started nothing.
func (b *Backend) StartTask(x basilplatform.Task) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := basilfleet.AttemptRequest{Job: x.Job, Attempt: x.Attempt}
	if t := b.tasks[key]; t != nil && t.status.State == basilplatform.TaskStateNotStarted {
		return refusedTask("the attempt was stopped before it started")
	} else if t != nil {
		return nil
	}
	if x.Boot != "" && x.Boot != b.boot {
		return refusedTask("the start is for another boot")
	}
	if x.HostEpoch < b.hostEpoch {
		return refusedTask("the host has a later epoch")
	}
	b.hostEpoch = x.HostEpoch
	if reason := b.whyNot(); reason != "" {
		return basilplatform.ErrUnavailable{Operation: "start task", Cause: basilfleet.ErrNotTaken{Reason: reason}}
	}
	b.count(x.Job, x.Attempt)
	b.tasks[key] = b.newTask(key, x)
	return nil
}

func refusedTask(reason string) error {
	return basilplatform.ErrRefused{Operation: "task", Reason: reason}
}

// newTask starts the timers of an attempt; the caller holds the mutex.
func (b *Backend) newTask(key basilfleet.AttemptRequest, x basilplatform.Task) *task {
	t := &task{since: time.Now(), share: 1, cores: x.Cores, total: b.slowed(b.options.TaskTime(x))}
	if b.faults.FailAllTasks {
		t.status = basilplatform.TaskStatus{State: basilplatform.TaskStateFailed, Message: "fails everything"}
		return t
	}
	var p progressRecord
	if json.Unmarshal(x.Checkpoint, &p) == nil {
		t.done = time.Duration(p.DoneMS) * time.Millisecond
	}
	t.status.State = basilplatform.TaskStateRunning
	result := b.options.Answer(x.Service, x.Payload)
	t.end = time.AfterFunc(t.total-t.done, func() { b.endTask(t, result) })
	t.lease = time.AfterFunc(time.Duration(x.LeaseMillis)*time.Millisecond, func() { b.lapse(key) })
	return t
}

// endTask ends an attempt whose work is done; one that was throttled since goes on.
func (b *Backend) endTask(t *task, result []byte) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if t.status.State != basilplatform.TaskStateRunning {
		return
	}
	t.settle()
	if t.done < t.total {
		t.arm()
		return
	}
	t.stopTimers()
	t.status.State = basilplatform.TaskStateDone
	t.status.Result = result
}

// arm sets the end's timer to when the work left will be done.
func (t *task) arm() {
	if t.share > 0 {
		t.end.Reset(time.Duration(float64(t.total-t.done)/t.share) + 1)
	}
}

func (b *Backend) lapse(key basilfleet.AttemptRequest) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if t := b.tasks[key]; t != nil && t.status.State == basilplatform.TaskStateRunning {
		t.stop("lease lapsed")
	}
}

func (t *task) stop(message string) {
	t.settle()
	t.stopTimers()
	t.status.State = basilplatform.TaskStateStopped
	t.status.Message = message
}

// RenewTask extends the lease of a running attempt; it fails with ErrRefused.
func (b *Backend) RenewTask(r basilfleet.RenewRequest) error {
	return b.onRunning(r.AttemptRequest, func(t *task) {
		t.lease.Reset(time.Duration(r.LeaseMillis) * time.Millisecond)
	})
}

// CheckpointTask saves how far a running attempt has come; it fails with ErrRefused.
func (b *Backend) CheckpointTask(r basilfleet.AttemptRequest) error {
	return b.onRunning(r, func(t *task) {
		t.settle()
		t.status.Checkpoint, _ = json.Marshal(progressRecord{DoneMS: t.done.Milliseconds()})
	})
}

// ThrottleTask limits a running attempt to a share of its speed; it fails with ErrRefused.
func (b *Backend) ThrottleTask(r basilfleet.ThrottleRequest) error {
	if r.Share < 0 || r.Share > 1 {
		return refusedTask("share is not within 0 and 1")
	}
	return b.onRunning(r.AttemptRequest, func(t *task) {
		t.settle()
		t.share = r.Share
		t.end.Stop()
		t.arm()
	})
}

func (b *Backend) onRunning(key basilfleet.AttemptRequest, f func(*task)) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t := b.tasks[key]
	if t == nil || t.status.State != basilplatform.TaskStateRunning {
		return refusedTask("the attempt does not run")
	}
	f(t)
	return nil
}

// StopTask ends an attempt, or voids one that has not started, and returns its final state.
func (b *Backend) StopTask(key basilfleet.AttemptRequest) basilplatform.TaskStatus {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t := b.tasks[key]
	switch {
	case t == nil:
		t = &task{status: basilplatform.TaskStatus{State: basilplatform.TaskStateNotStarted}}
		b.tasks[key] = t
	case t.status.State == basilplatform.TaskStateRunning:
		t.stop("stopped")
	}
	return b.signed(t.status)
}

// signed adds the boot that the status holds for; the caller holds the mutex.
func (b *Backend) signed(s basilplatform.TaskStatus) basilplatform.TaskStatus {
	s.Boot = b.boot
	return s
}

// TaskStatus returns what is known of an attempt.
func (b *Backend) TaskStatus(key basilfleet.AttemptRequest) basilplatform.TaskStatus {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t := b.tasks[key]
	if t == nil {
		return b.signed(basilplatform.TaskStatus{})
	}
	s := b.signed(t.status)
	if s.State == basilplatform.TaskStateRunning {
		s.UsageCores = float64(t.cores) * t.share
	}
	return s
}
