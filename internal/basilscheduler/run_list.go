package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	// maxListWait is how long a start waits for the list to be stored: two writes of a store that takes 0.6 s and more for one, and their repeats.
	maxListWait = 2 * time.Second
	// maxAnswerWait is how long a start waits for an answer of its backend server: two tries to hold it, 0.25 s apart.
	maxAnswerWait = 500 * time.Millisecond
	unheardMemory = avoidTime // after such a wait, for which the task's starts don't wait for an answer
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=StartState -trimprefix=StartState -transform=snake -output=start_state_enumer.go

// StartState is what becomes of a start that was decided.
type StartState int

// The states.
const (
	StartStateWaiting StartState = iota
	StartStateReady              // to be requested now
	StartStateWithdrawn
)

// listed reports whether the runs of the step are listed, see TakeRunLists. Short tasks start too often for that, and a gang starts as a whole.
func (s *step) listed() bool { return s.spec.LongRunning && !s.spec.Gang }

// changeRunList notes that the list of runs of the backend server may have changed.
func (p *Pool) changeRunList(b *backend) { b.runListChanged, p.runListsChanged = true, true }

// TakeRunLists returns the long-running tasks of no gang that may run on each backend server, by ID, for those where they may have changed since the
// last call. Backend servers that may have runs of former owners which aren't known are left out.
//
// The owner stores the lists, and requests a start only once the task is in the list of its backend server, so that a successor needs not wait for a
// silent backend server with tasks that can't run there.
func (p *Pool) TakeRunLists() map[string][]basilwork.TaskID {
	if !p.runListsChanged {
		return nil
	}
	p.runListsChanged = false
	late := make(map[string][]basilwork.TaskID)
	for _, s := range p.lateStarts { // short ones too, as their steps may be gone
		late[s.ref.Backend] = append(late[s.ref.Backend], s.ref.Task)
	}
	lists := make(map[string][]basilwork.TaskID)
	for id, b := range p.backends {
		if !b.runListChanged || !b.attached || p.mayHavePredecessorRuns(id) {
			continue
		}
		b.runListChanged = false
		tasks := late[id]
		for _, r := range b.runs {
			if r.task.step.listed() && (r.phase != phaseStarting || r.listable) {
				tasks = append(tasks, r.task.id)
			}
		}
		lists[id] = tasks
	}
	return lists
}

// SetPredecessorRuns sets which tasks of listed steps may run on a backend server that AddPredecessorBackend has added. Without it, all may.
func (p *Pool) SetPredecessorRuns(id string, tasks []basilwork.TaskID) {
	if p.predecessorUntil[id].IsZero() {
		return
	}
	p.predecessorRuns[id] = tasks
	for _, t := range tasks {
		p.predecessorTasks[t]++
	}
}

// removePredecessor ends the wait for a backend server that may have runs of a previous owner.
func (p *Pool) removePredecessor(id string) {
	for _, t := range p.predecessorRuns[id] {
		if p.predecessorTasks[t]--; p.predecessorTasks[t] == 0 {
			delete(p.predecessorTasks, t)
		}
	}
	delete(p.predecessorRuns, id)
	delete(p.predecessorUntil, id)
}

// allPredecessorRunsKnown reports whether it is known of each backend server that may have runs of a previous owner which tasks of listed steps these are.
func (p *Pool) allPredecessorRunsKnown() bool {
	return len(p.predecessorRuns) == len(p.predecessorUntil)
}

// mayRunOnPredecessor reports whether the task may have a run on a backend server that may have runs of a previous owner.
func (p *Pool) mayRunOnPredecessor(t *task) bool {
	if t.step.listed() && p.allPredecessorRunsKnown() {
		return p.predecessorTasks[t.id] > 0
	}
	return len(p.predecessorUntil) > 0
}

// ListedStart returns what becomes of a start of a listed step that was decided; isStored tells that its task is in the stored list of the backend server.
//
// It is listed and requested once the backend server has answered after the decision: one that has just been cut off would keep the task away until its
// leases have run out. If no answer comes soon, the next one is requested without, as answers may be slow or lost everywhere.
func (p *Pool) ListedStart(ref Ref, isStored bool, now time.Time) StartState {
	r := p.findRun(ref)
	if r == nil || r.phase != phaseStarting || r.stopReason != "" || !r.backend.available(now) {
		return StartStateWithdrawn
	}
	t, b := r.task, r.backend
	waited := now.Sub(r.orderedAt)
	if !r.listable && (b.heardAt.After(r.orderedAt) || !t.unheardAt.IsZero() && now.Sub(t.unheardAt) < unheardMemory) {
		r.listable = true
		p.changeRunList(b)
	}
	switch {
	case r.listable && isStored:
		r.orderedAt = now
		return StartStateReady
	case !r.listable && waited > maxAnswerWait:
		t.unheardAt = now
		t.avoidBackend(b.ID, now.Add(avoidTime))
		return StartStateWithdrawn
	case waited > maxListWait:
		return StartStateWithdrawn
	}
	return StartStateWaiting
}
