package basilscheduler

import (
	"fmt"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playCalmSettles = 12 * time.Second // after the last fault: leases and the grace for a predecessor's runs pass
	playMaxWait     = 3 * time.Second  // with room, by the platform's rules
	playRestartTime = 6 * time.Second  // of a long-running task, from the end of its last run, by the platform's rules
)

// playTask is what the backend servers did with a task.
type playTask struct {
	done      bool          // a run ended so, whether or not an owner has read it
	doneOn    []*playServer // where runs ended so
	read      bool          // such an end was acknowledged, or its effect is stored
	noted     bool          // and no lease lapsed before that
	begins    []time.Time
	lastEnded time.Time
	failedOn  *playServer // the last run ended as failed there; nil if it ended otherwise
	stopped   bool        // the last run ended so
	failed    int
	crashed   int
}

func (p *lostPlay) stepOf(id basilwork.TaskID) *basilwork.Step { return &p.jobs[id.Job].Steps[id.Step] }

func (p *lostPlay) demandOf(id basilwork.TaskID) basilwork.Resources { return p.stepOf(id).Demand() }

func (p *lostPlay) task(id basilwork.TaskID) *playTask {
	if p.tasks[id] == nil {
		p.tasks[id] = &playTask{}
	}
	return p.tasks[id]
}

// tasksOf returns the IDs of the tasks of a step.
func (p *lostPlay) tasksOf(job string, step int) []basilwork.TaskID {
	var ids []basilwork.TaskID
	for n := range p.jobs[job].Steps[step].Count {
		ids = append(ids, basilwork.TaskID{Job: job, Step: step, Index: n})
	}
	return ids
}

// readable reports whether an owner can know that the task is done: its end was read, or a backend server still lists it. An end that was
// lost with its server can't be known.
func (t *playTask) readable() bool {
	return t.done && (t.read || slices.ContainsFunc(t.doneOn, func(s *playServer) bool { return s.up }))
}

// stepDone reports whether all tasks of the step have ended done, and, for the judgement of LOST, an owner can know so.
func (p *lostPlay) stepDone(job string, step int, readable bool) bool {
	for _, id := range p.tasksOf(job, step) {
		if t := p.task(id); !t.done || readable && !t.readable() {
			return false
		}
	}
	return true
}

// itsTurn reports whether the steps before are done.
func (p *lostPlay) itsTurn(job string, step int, readable bool) bool {
	for _, a := range p.jobs[job].Steps[step].After {
		if !p.stepDone(job, a, readable) {
			return false
		}
	}
	return true
}

// runs calls f for each run that exists.
func (p *lostPlay) runs(f func(s *playServer, r *playRun)) {
	for _, h := range p.hosts {
		if h.life.up {
			for _, r := range h.life.sortedRuns() {
				f(h.life, r)
			}
		}
	}
}

// judgeStart judges ORDER, TWICE and UNASKED.
func (p *lostPlay) judgeStart(s *playServer, r *playRun) {
	t, id := p.task(r.task), r.task
	p.trace("%s begins %s/%d", s.ID, id, r.attempt)
	if !p.itsTurn(id.Job, id.Step, false) {
		p.fail("ORDER: %s begins before its turn", id.String())
	}
	t.begins = append(t.begins, p.now)
	if p.stepOf(id).Speculative {
		return
	}
	p.runs(func(o *playServer, x *playRun) {
		if x.task == id && x != r {
			p.fail("TWICE: %s/%d begins on %s while %d runs on %s", id.String(), r.attempt, s.ID, x.attempt, o.ID)
		}
	})
	if t.noted {
		p.fail("TWICE: %s begins though its end was acknowledged", id.String())
	}
}

func (p *lostPlay) judgeEnd(s *playServer, r *playRun, end basilwork.RunEnd) {
	t := p.task(r.task)
	t.lastEnded, t.stopped, t.failedOn = p.now, end == basilwork.RunEndStopped, nil
	switch end {
	case basilwork.RunEndDone:
		for _, id := range p.tasksOf(r.task.Job, r.task.Step) {
			if id == r.task || p.stepOf(id).Gang {
				o := p.task(id)
				o.done, o.doneOn = true, append(o.doneOn, s)
			}
		}
	case basilwork.RunEndFailed:
		t.failed++
		t.failedOn = s
	case basilwork.RunEndLost:
		t.crashed++
	}
}

// judgeAcknowledged judges TWICE when an end is taken note of.
func (p *lostPlay) judgeAcknowledged(s *playServer, e basilwork.EndedRun) {
	id, err := basilwork.ParseTaskID(e.Task)
	if err != nil || e.End != basilwork.RunEndDone {
		return
	}
	t := p.task(id)
	for _, o := range p.tasksOf(id.Job, id.Step) {
		p.task(o).read = p.task(o).read || o == id || p.stepOf(id).Gang
	}
	if s.lapsedAt.After(s.endedAt[e.Number]) {
		return
	}
	t.noted = true
	for _, at := range t.begins {
		if at.After(s.endedAt[e.Number]) && !p.stepOf(id).Speculative {
			p.fail("TWICE: %s began after an end that is acknowledged", e.Task)
		}
	}
}

// noteStored notes the tasks that are done by a stored record: each later owner knows so.
func (p *lostPlay) noteStored(r *basilwork.Record) {
	for n := range p.jobs[r.Job.ID].Steps {
		for _, id := range p.tasksOf(r.Job.ID, n) {
			if o := r.Progress[0]; r.IsDone(0) || o != nil && n < len(o.Steps) && o.Steps[n].IsDone(id.Index) {
				p.task(id).read = true
			}
		}
	}
}

// judgeOrderedAway judges LOST when a host is given away: the ends that its backend server lists are lost with it, unless their effect is stored.
func (p *lostPlay) judgeOrderedAway(s *playServer) {
	for _, e := range s.ended {
		id, err := basilwork.ParseTaskID(e.Task)
		if err == nil && e.End == basilwork.RunEndDone && !p.store.rows[id.Job].state.Final() && !p.task(id).read {
			p.fail("LOST: the host of %s is ordered away before the end of %s is stored", s.ID, e.Task)
		}
	}
}

// judgeStored judges MIXED, and LOST for jobs that fail without cause.
func (p *lostPlay) judgeStored(id string, state basilwork.JobState) {
	if state == basilwork.JobStateCompleted && !p.allDone(id, false) {
		p.fail("MIXED: %s is shown as completed", id)
	}
	if state != basilwork.JobStateFailed || p.failed[id] {
		return
	}
	p.failed[id] = true
	p.trace("%s is failed", id)
	for n := range p.jobs[id].Steps {
		failed := 0
		for _, k := range p.tasksOf(id, n) {
			t := p.task(k)
			failed += t.failed
			if t.crashed >= 2 || !p.jobs[id].Steps[n].LongRunning && (t.failed >= 3 || p.jobs[id].Steps[n].Gang && failed >= 3) {
				return
			}
		}
	}
	p.fail("LOST: %s is shown as failed without cause", id)
}

func (p *lostPlay) allDone(id string, readable bool) bool {
	for n := range p.jobs[id].Steps {
		if !p.stepDone(id, n, readable) {
			return false
		}
	}
	return true
}

// judgeWaiting judges LOST: nothing that has room waits for long, by what the backend servers did.
func (p *lostPlay) judgeWaiting() {
	running := make(map[basilwork.TaskID]bool)
	jobRuns := make(map[string]bool)
	var used, all basilwork.Resources
	for _, h := range p.hosts {
		all = all.Add(h.life.Resources)
	}
	p.runs(func(_ *playServer, r *playRun) {
		running[r.task], jobRuns[r.task.Job] = true, true
		used = used.Add(p.demandOf(r.task))
	})
	halfEmpty := 2*used.CPU < all.CPU && 2*used.Memory < all.Memory
	waits := make(map[string]time.Time)
	note := func(name string) {
		since, ok := p.waits[name]
		if !ok {
			since = p.now
		}
		waits[name] = since
		if p.now.Sub(since) >= playMaxWait {
			p.fail("LOST: %s could run and doesn't; %d cores in use", name, used.CPU/1000)
		}
	}
	for _, id := range sortedKeys(p.store.rows) {
		if p.store.rows[id].state.Final() {
			continue
		}
		if p.allDone(id, true) && !jobRuns[id] {
			note(id + " is done, not shown as completed, and")
		}
		for n := range p.jobs[id].Steps {
			s := &p.jobs[id].Steps[n]
			if !p.itsTurn(id, n, true) || !p.hasRoomTwice(id, n) {
				continue
			}
			for _, k := range p.tasksOf(id, n) {
				t := p.task(k)
				switch {
				case running[k], t.readable():
				case s.LongRunning && p.now.Sub(t.lastEnded) >= playRestartTime:
					note(k.String() + " (long-running)")
				case !s.LongRunning && !jobRuns[id] && halfEmpty:
					note(fmt.Sprint(id, " step ", n))
				}
			}
		}
	}
	p.waits = waits
}

// hasRoomTwice reports whether the backend servers have room for a task of the step, or the whole gang, twice over.
func (p *lostPlay) hasRoomTwice(job string, step int) bool {
	s := &p.jobs[job].Steps[step]
	want, room := 2, 0
	if s.Gang {
		want = 2 * s.Count
	}
	for _, h := range p.hosts {
		b := backend{Backend: h.life.Backend}
		if !h.life.up || !b.hasLabel(s.Label) {
			continue
		}
		fits := 0
		for left := h.life.free().Sub(s.Demand()); left.Covers(basilwork.Resources{}) && fits < want; left = left.Sub(s.Demand()) {
			fits++
		}
		if s.AntiAffinity > 0 {
			left := s.AntiAffinity
			for _, r := range h.life.runs {
				if r.task.Job == job && r.task.Step == step {
					left--
				}
			}
			fits = min(fits, left)
		}
		room += max(0, fits)
	}
	return room >= want
}
