package basilscheduler

import (
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
	r := &run{
		task: t, backend: b, attempt: s.Attempt, phase: phaseRunning, since: now, answered: now, moved: now, pace: fullPace, resumed: true,
		settles: now.Add(p.options.Stop + stopSlack),
	}
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
