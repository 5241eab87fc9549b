package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// maxReportEnds is the maximum number of ended runs in one report of a backend server.
const maxReportEnds = 500

func (p *Pool) findTask(id basilwork.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if o == nil {
		if id.Occurrence >= j.record.Job.Occurrences() || j.record.IsDone(id.Occurrence) {
			return nil
		}
		o = p.openOccurrence(j, id.Occurrence)
	}
	if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

func (p *Pool) findRun(r Ref) *run {
	t := p.findTask(r.Task)
	if t == nil {
		return nil
	}
	return t.runOn(r.Backend, r.Attempt)
}

// Report processes a backend server's report of its running and ended runs, which was requested at the time sent.
//
// A successful end finishes its task also if the task has been started again since: the work is done, and what comes after it may start.
func (p *Pool) Report(id string, report basilwork.Report, sent, now time.Time) {
	b := p.backends[id]
	if b == nil {
		return
	}
	b.needsCheck = true
	b.heard(now)
	b.forgetGivenUp()
	for _, e := range report.Ended {
		if e.Number <= b.lastEndNumber {
			continue
		}
		p.processEnd(b, e, now)
		b.lastEndNumber = e.Number
	}
	seen := make(map[*run]bool, len(report.Running))
	orphans := b.orphans
	b.orphans = nil
	for _, s := range report.Running {
		if r := p.processRunning(b, s, orphans, sent, now); r != nil {
			seen[r] = true
		}
	}
	if len(report.Ended) >= maxReportEnds {
		return
	}
	for _, r := range b.sortedRuns() {
		if !seen[r] && r.mustBeListed(sent) {
			p.endRun(r, basilwork.RunEndLost, now)
		}
	}
}

// mustBeListed reports whether a report requested at the time sent must list the run if it exists.
func (r *run) mustBeListed(sent time.Time) bool {
	switch r.phase {
	case phaseRunning:
		return sent.After(r.answeredAt)
	case phaseUnanswered, phaseStopping:
		return !r.stopAnsweredAt.IsZero() && sent.After(r.stopAnsweredAt)
	}
	return false
}

func (p *Pool) processRunning(b *backend, s basilwork.RunStatus, orphans map[Ref]*orphan, sent, now time.Time) *run {
	id, err := basilwork.ParseTaskID(s.Task)
	if err != nil {
		return nil // not started by this scheduler, so there is nothing to adopt
	}
	t := p.findTask(id)
	if t == nil {
		p.stopOrphan(b, Ref{Backend: b.ID, Task: id, Attempt: s.Attempt}, orphans, sent, now)
		return nil
	}
	r := t.runOn(b.ID, s.Attempt)
	if r == nil {
		r = p.adopt(b, t, s, now)
	}
	if r.phase == phaseStarting || r.phase == phaseUnanswered && r.stopRequestedAt.IsZero() {
		r.phase = phaseRunning
		r.answeredAt = now
		p.activate(t.step.occurrence.job)
	}
	if p.outlivedStop(r, sent) {
		r.stopAnsweredAt = time.Time{} // the stop is repeated: an earlier incarnation may have answered it
		r.ignoredStop = true
	}
	if s.ProgressPercent != r.percent || r.progressedAt.IsZero() {
		r.percent = s.ProgressPercent
		r.progressedAt = now
	}
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	r.usage = s.Usage
	r.listedAt = now
	p.seeAtWork(r, now)
	p.clearIfAtWork(r)
	p.observe(r, r.projectedRunTime(), now)
	return r
}

// adopt adds a run that a previous owner started.
func (p *Pool) adopt(b *backend, t *task, s basilwork.RunStatus, now time.Time) *run {
	r := &run{
		task: t, backend: b, attempt: s.Attempt, phase: phaseRunning, orderedAt: now, answeredAt: now, progressedAt: now, pace: fullPace, resumed: true, adopted: true,
		predecessorStopEnd: now.Add(p.options.StopTimeout + endReportDelay),
	}
	t.attempt = max(t.attempt, s.Attempt)
	t.account()
	p.addRun(r, p.expectedEnd(t.step, now))
	p.activate(t.step.occurrence.job)
	if t.done || t.step.occurrence.job.record.State.Final() {
		p.stop(r, "task already done", now)
	}
	return r
}

func (p *Pool) processEnd(b *backend, e basilwork.EndedRun, now time.Time) {
	id, err := basilwork.ParseTaskID(e.Task)
	if err != nil {
		return
	}
	t := p.findTask(id)
	if t == nil {
		return
	}
	defer func() { t.attempt = max(t.attempt, e.Attempt) }()
	if e.Checkpoint != "" {
		p.saveCheckpoint(t, e.Checkpoint)
	}
	r := t.runOn(b.ID, e.Attempt)
	if r == nil && e.End == basilwork.RunEndDone && e.Attempt < t.attempt {
		p.tellEarlierEnd(b, t, e)
	}
	if r == nil {
		r = &run{task: t, backend: b, attempt: e.Attempt, resumed: true} // when it began is not known
	}
	p.endRun(r, e.End, now)
}

// tellEarlierEnd tells the owner that an earlier attempt has finished its task, unless that is known.
func (p *Pool) tellEarlierEnd(b *backend, t *task, e basilwork.EndedRun) {
	if t.done || t.step.spec.LongRunning || t.step.occurrence.job.record.State.Final() {
		return
	}
	i := EarlierEnd{Ref: Ref{Backend: b.ID, Task: t.id, Attempt: e.Attempt}, Newest: t.attempt}
	if len(t.runs) > 0 {
		i.Live = t.runs[0].backend.ID
	}
	p.actions.EarlierEnds = append(p.actions.EarlierEnds, i)
}

func (p *Pool) saveCheckpoint(t *task, checkpoint string) {
	t.checkpoint = checkpoint
	t.step.progress.SetCheckpoint(t.id.Index, checkpoint)
	if t.step.spec.Gang {
		for _, o := range t.step.tasks {
			o.checkpoint = checkpoint
		}
	}
	p.markDirty(t.step.occurrence.job)
}

// endRun processes the end of a run.
func (p *Pool) endRun(r *run, end basilwork.RunEnd, now time.Time) {
	t, b := r.task, r.backend
	p.removeRun(r)
	j := t.step.occurrence.job
	if j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
		return
	}
	if r.checkpoint != "" && t.checkpoint == "" && t.step.spec.Checkpointing {
		p.saveCheckpoint(t, r.checkpoint)
	}
	switch end {
	case basilwork.RunEndDone:
		b.recordSuccess()
		if !r.orderedAt.IsZero() {
			p.learnRunTime(t.step, now.Sub(r.orderedAt))
		}
		if !r.resumed {
			p.observe(r, now.Sub(r.orderedAt), now)
		}
		p.finishTask(t, r.attempt, now)
	case basilwork.RunEndFailed:
		b.recordFailure(j.id(), now)
		p.recordFailedAttempt(t, r.attempt, now)
		t.avoidBackend(b.ID, now.Add(avoidTime))
	case basilwork.RunEndLost, basilwork.RunEndLapsed:
		t.avoidBackend(b.ID, now.Add(avoidTime))
	}
	if t.step.spec.Gang && end != basilwork.RunEndDone {
		p.stopGang(t, r.attempt, now)
	}
	t.readyAt = now
}

// finishTask marks a task as done. If one task of a gang is done, the whole gang is.
func (p *Pool) finishTask(t *task, attempt int, now time.Time) {
	if t.step.spec.LongRunning {
		return
	}
	for _, o := range t.step.tasks {
		if o == t || t.step.spec.Gang {
			p.markTaskDone(o, attempt, now)
		}
	}
}

func (p *Pool) markTaskDone(t *task, attempt int, now time.Time) {
	if t.done {
		return
	}
	s, o := t.step, t.step.occurrence
	if t.idle() {
		p.addIdle(s, -1)
	}
	t.done = true
	s.progress.SetDone(t.id.Index)
	delete(s.progress.Checkpoints, t.id.Index)
	delete(s.progress.Crashes, t.id.Index)
	j := o.job
	p.markDirty(j)
	for _, r := range t.runs {
		if !s.spec.Gang || r.attempt != attempt { // the members of one attempt end together
			p.stop(r, "another copy finished", now)
		}
	}
	s.unfinished--
	if s.unfinished > 0 {
		return
	}
	o.unfinished--
	if o.unfinished > 0 {
		p.addReadySteps(o)
		return
	}
	p.collectIfDone(o)
	j.record.SetDone(o.number)
	j.finished++
	if j.finished < j.record.Job.Occurrences() {
		return
	}
	j.requestRunChecks()
	p.finalize(j, basilwork.JobStateCompleted)
	j.record.Finished = now.UnixMilli()
	j.urgent = true
}

// requestRunChecks has the next decision check the runs of the job.
func (j *job) requestRunChecks() {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					r.backend.needsCheck = true
				}
			}
		}
	}
}

// recordFailedAttempt counts a failed attempt, and fails the job if it was the last one allowed.
func (p *Pool) recordFailedAttempt(t *task, attempt int, now time.Time) {
	s, j := t.step, t.step.occurrence.job
	if s.spec.LongRunning || t.done {
		t.notBefore = now.Add(retryPause)
		return
	}
	if !s.progress.AddFailed(t.id.Index, attempt) {
		return
	}
	p.markDirty(j)
	t.notBefore = now.Add(retryPause)
	if p.failedAttempts(t) >= j.maxAttempts() {
		p.failJob(j, now)
	}
}

func (p *Pool) failJob(j *job, now time.Time) {
	p.markDirty(j)
	p.finalize(j, basilwork.JobStateFailed)
	j.record.Finished = now.UnixMilli()
	j.urgent = true
	p.endJob(j, "job failed", now)
}

// failedAttempts returns the number of failed attempts of the task, or of its whole gang.
func (p *Pool) failedAttempts(t *task) int {
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

// stopGang stops the runs of one attempt of a gang.
func (p *Pool) stopGang(t *task, attempt int, now time.Time) {
	for _, o := range t.step.tasks {
		for _, r := range o.runs {
			if r.attempt == attempt {
				p.stop(r, "a member of the gang ended", now)
			}
		}
	}
}
