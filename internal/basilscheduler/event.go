package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// fullReport is how many ends a backend server lists at most at a time.
const fullReport = 500

func (p *Pool) find(id basilwork.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil {
		if id.Occurrence >= j.record.Job.Occurrences() {
			return nil
		}
		if q := j.record.Progress[id.Occurrence]; q != nil && q.Done {
			return nil
		}
		o = p.open(j, id.Occurrence)
	}
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

func (p *Pool) findRun(r Ref) *run {
	t := p.find(r.Task)
	if t == nil {
		return nil
	}
	return t.runOn(r.Backend, r.Attempt)
}

// Started takes in the answer to a start; answered false means that none came.
func (p *Pool) Started(ref Ref, refusal basilwork.Refusal, answered bool, now time.Time) {
	r := p.findRun(ref)
	if r == nil || r.phase != phaseStarting {
		return
	}
	r.backend.touched = true
	switch {
	case !answered:
		r.phase = phaseUnsure
		r.unsure = now
		r.task.shun(ref.Backend, now.Add(avoidTime))
		p.stopUnsure(r, now)
	case refusal == basilwork.RefusalNone:
		r.phase = phaseRunning
		r.answered = now
		r.moved = now
		p.begin(r.task.step.occurrence.job)
	default:
		p.refused(r, refusal, now)
	}
}

func (p *Pool) refused(r *run, refusal basilwork.Refusal, now time.Time) {
	b := r.backend
	p.drop(r)
	switch refusal {
	case basilwork.RefusalFence:
		p.fenced = true
	case basilwork.RefusalOld:
		r.task.attempt += epochAttempts
	case basilwork.RefusalRoom:
		b.blocked = now.Add(roomPause)
	case basilwork.RefusalBusy:
		b.blocked = now.Add(busyPause)
	case basilwork.RefusalTicket:
		p.forgetTicket(r.task.id.StepName(), b.ID)
	case basilwork.RefusalWrong:
		r.task.notBefore = now.Add(time.Second)
	}
	if j := r.task.step.occurrence.job; j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
	}
}

// begin notes that a task of the job has started.
func (p *Pool) begin(j *job) {
	j.began = true
	if j.record.State == basilwork.JobStatePending {
		j.record.State = basilwork.JobStateActive
		p.soil(j)
	}
}

// Stopped takes in the answer to a stop; answered false means that none came.
func (p *Pool) Stopped(ref Ref, answered bool, now time.Time) {
	r := p.findRun(ref)
	if r == nil {
		return
	}
	if answered {
		r.phase = phaseStopping
		r.stopped = now
	}
}

// stop asks for a run to be stopped, once per stopRepeat until an answer comes.
func (p *Pool) stop(r *run, reason string, now time.Time) {
	if !r.stopped.IsZero() {
		return
	}
	if !r.stopSent.IsZero() && now.Sub(r.stopSent) < stopRepeat {
		r.backend.tendLater(r.stopSent.Add(stopRepeat))
		return
	}
	if r.phase == phaseStarting {
		r.reason = reason
		return // Decide asks again when the start is answered
	}
	if r.phase == phaseRunning {
		r.phase = phaseStopping
	}
	r.reason = reason
	r.stopSent = now
	r.backend.tendLater(now.Add(stopRepeat))
	p.actions.Stops = append(p.actions.Stops, Stop{Ref: r.ref(), Reason: reason})
}

// stopUnsure stops a run whose start got no answer. Where that may end a task that is at work while as many others of its step
// are away as may be, the next reports tell first whether it runs.
func (p *Pool) stopUnsure(r *run, now time.Time) {
	waits := r.stopSent.IsZero() && now.Sub(r.unsure) < unsureTime
	if waits && r.task.step.spec.LongRunning && !p.mayLeave(r, now) {
		r.backend.tendLater(now.Add(tendEvery))
		return
	}
	p.stop(r, "start unanswered", now)
}

// drop removes a run that certainly does not exist.
func (p *Pool) drop(r *run) {
	t, s := r.task, r.task.step
	n := slices.Index(t.runs, r)
	if n < 0 {
		return
	}
	r.backend.remove(r)
	t.runs = slices.Delete(t.runs, n, n+1)
	s.occurrence.live--
	if s.on != nil {
		s.on[r.backend]--
	}
	if s.spec.LongRunning {
		p.layout++
	}
	if t.idle() {
		p.addIdle(s, 1)
		s.first = min(s.first, t.id.Index)
		p.refresh(s)
	}
	p.noteDone(s.occurrence)
}

// addRun counts a run that may be there; until is when it is expected to end.
func (p *Pool) addRun(r *run, until time.Time) {
	t, s := r.task, r.task.step
	if t.idle() {
		p.addIdle(s, -1)
	}
	r.backend.add(r, until)
	t.runs = append(t.runs, r)
	s.occurrence.live++
	if s.spec.AntiAffinity > 0 {
		if s.on == nil {
			s.on = make(map[*backend]int)
		}
		s.on[r.backend]++
	}
	if s.spec.LongRunning {
		p.layout++
	}
}

// Report takes in what a backend server runs and what has ended there, as asked at sent.
//
// An end that was listed by a backend server whose leases had run out does not count
// for a task that was started again since.
func (p *Pool) Report(id string, report basilwork.Report, sent, now time.Time) {
	b := p.backends[id]
	if b == nil {
		return
	}
	b.touched = true
	for _, e := range report.Ended {
		if e.Number <= b.processed {
			continue
		}
		p.takeEnd(b, e, now)
		b.processed = e.Number
	}
	seen := make(map[*run]bool, len(report.Running))
	for _, s := range report.Running {
		if r := p.takeRunning(b, s, now); r != nil {
			seen[r] = true
		}
	}
	if len(report.Ended) >= fullReport {
		return
	}
	for _, r := range b.sortedRuns() {
		if !seen[r] && r.settled(sent) {
			p.endRun(r, basilwork.RunEndLost, now)
		}
	}
}

// settled tells whether a report asked for at sent must list the run if it is there.
func (r *run) settled(sent time.Time) bool {
	switch r.phase {
	case phaseRunning:
		return sent.After(r.answered)
	case phaseUnsure, phaseStopping:
		return !r.stopped.IsZero() && sent.After(r.stopped)
	}
	return false
}

func (p *Pool) takeRunning(b *backend, s basilwork.RunStatus, now time.Time) *run {
	id, err := basilwork.ParseTaskID(s.Task)
	if err != nil {
		return nil // not started by this product; nothing to adopt
	}
	t := p.find(id)
	if t == nil {
		p.actions.Stops = append(p.actions.Stops, Stop{Ref: Ref{Backend: b.ID, Task: id, Attempt: s.Attempt}, Reason: "unknown task"})
		return nil
	}
	r := t.runOn(b.ID, s.Attempt)
	if r == nil {
		r = p.adopt(b, t, s, now)
	}
	if r.phase == phaseStarting || r.phase == phaseUnsure && r.stopSent.IsZero() {
		r.phase = phaseRunning
		r.answered = now
		p.begin(t.step.occurrence.job)
	}
	if s.Percent != r.percent || r.moved.IsZero() {
		r.percent = s.Percent
		r.moved = now
	}
	if s.Saved != "" {
		r.saved = s.Saved
	}
	r.usage = s.Usage
	r.listed = now
	p.observe(r, r.projected(), now)
	return r
}

// adopt takes over a run that an earlier owner started.
func (p *Pool) adopt(b *backend, t *task, s basilwork.RunStatus, now time.Time) *run {
	r := &run{task: t, backend: b, attempt: s.Attempt, phase: phaseRunning, since: now, answered: now, moved: now, pace: fullPace, resumed: true}
	t.attempt = max(t.attempt, s.Attempt)
	p.addRun(r, p.ends(t.step, now))
	p.begin(t.step.occurrence.job)
	if t.done || t.step.occurrence.job.record.State.Final() {
		p.stop(r, "task already done", now)
	}
	return r
}

func (p *Pool) takeEnd(b *backend, e basilwork.EndStatus, now time.Time) {
	id, err := basilwork.ParseTaskID(e.Task)
	if err != nil {
		return
	}
	t := p.find(id)
	if t == nil {
		return
	}
	defer func() { t.attempt = max(t.attempt, e.Attempt) }()
	if e.Saved != "" {
		p.save(t, e.Saved)
	}
	r := t.runOn(b.ID, e.Attempt)
	if r == nil && e.End == basilwork.RunEndDone && e.Attempt < t.attempt && !t.step.spec.Speculative {
		return
	}
	if r == nil {
		r = &run{task: t, backend: b, attempt: e.Attempt, since: now, resumed: true}
	}
	p.endRun(r, e.End, now)
}

func (p *Pool) save(t *task, saved string) {
	t.saved = saved
	t.step.progress.SetSaved(t.id.Index, saved)
	if t.step.spec.Gang {
		for _, o := range t.step.tasks {
			o.saved = saved
		}
	}
	p.soil(t.step.occurrence.job)
}

// endRun takes in that a run has ended.
func (p *Pool) endRun(r *run, end basilwork.RunEnd, now time.Time) {
	t, b := r.task, r.backend
	p.drop(r)
	j := t.step.occurrence.job
	if j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
		return
	}
	if r.saved != "" && t.saved == "" && t.step.spec.Checkpointing {
		p.save(t, r.saved)
	}
	switch end {
	case basilwork.RunEndDone:
		b.noteSuccess()
		p.learn(t.step, now.Sub(r.since))
		if !r.resumed {
			p.observe(r, now.Sub(r.since), now)
		}
		p.finish(t, now)
	case basilwork.RunEndFailed:
		b.noteFailure(j.id(), now)
		p.fail(t, r.attempt, now)
		t.shun(b.ID, now.Add(avoidTime))
	case basilwork.RunEndLost, basilwork.RunEndLapsed:
		t.shun(b.ID, now.Add(avoidTime))
	}
	if t.step.spec.Gang && end != basilwork.RunEndDone {
		p.stopOthers(t, now)
	}
	t.readyAt = now
}

// finish notes that a task is done; one member's end is its gang's.
func (p *Pool) finish(t *task, now time.Time) {
	if t.step.spec.LongRunning {
		return
	}
	for _, o := range t.step.tasks {
		if o == t || t.step.spec.Gang {
			p.finishOne(o, now)
		}
	}
}

func (p *Pool) finishOne(t *task, now time.Time) {
	if t.done {
		return
	}
	s, o := t.step, t.step.occurrence
	if t.idle() {
		p.addIdle(s, -1)
	}
	t.done = true
	s.progress.SetDone(t.id.Index)
	delete(s.progress.Saved, t.id.Index)
	j := o.job
	p.soil(j)
	for _, r := range t.runs {
		if !s.spec.Gang {
			p.stop(r, "another copy finished", now)
		}
	}
	s.left--
	if s.left > 0 {
		return
	}
	o.left--
	if o.left > 0 {
		p.takeUp(o)
		return
	}
	p.noteDone(o)
	j.record.Progress[o.number] = &basilwork.OccurrenceProgress{Done: true}
	j.finished++
	if j.finished < j.record.Job.Occurrences() {
		return
	}
	j.touchRuns()
	p.conclude(j, basilwork.JobStateCompleted)
	j.record.Finished = now.UnixMilli()
	j.urgent = true
}

// touchRuns has the next decision look after the runs of the job.
func (j *job) touchRuns() {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					r.backend.touched = true
				}
			}
		}
	}
}

// fail notes a failed attempt, and fails the job when it was the last one allowed.
func (p *Pool) fail(t *task, attempt int, now time.Time) {
	s, j := t.step, t.step.occurrence.job
	if s.spec.LongRunning || t.done {
		t.notBefore = now.Add(retryPause)
		return
	}
	if !s.progress.AddFailed(t.id.Index, attempt) {
		return
	}
	p.soil(j)
	t.notBefore = now.Add(retryPause)
	if p.failures(t) < j.maxAttempts() {
		return
	}
	p.conclude(j, basilwork.JobStateFailed)
	j.record.Finished = now.UnixMilli()
	j.urgent = true
	p.endJob(j, "job failed", now)
}

// failures returns how many attempts of the task, or of its gang, have failed.
func (p *Pool) failures(t *task) int {
	if !t.step.spec.Gang {
		return len(t.step.progress.Failed[t.id.Index])
	}
	attempts := make(map[int]bool)
	for _, failed := range t.step.progress.Failed {
		for _, a := range failed {
			attempts[a] = true
		}
	}
	return len(attempts)
}

func (p *Pool) stopOthers(t *task, now time.Time) {
	for _, o := range t.step.tasks {
		for _, r := range o.runs {
			p.stop(r, "a member of the gang ended", now)
		}
	}
}
