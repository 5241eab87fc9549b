package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	lateFactor  = 3   // multiple of the objective after which a job is worth nothing
	slackMargin = 0.5 // share of the remaining run time; with less slack, a longer run or the wait of a later step makes a job late
	// rerankTimePerStep is the minimum time between two full rankings, per waiting step. Ranking a step takes about 0.5 µs,
	// so full rankings use less than 1% of the time for any number of waiting steps.
	rerankTimePerStep = 100 * time.Microsecond
	bulkFraction      = 8 // above one new step per so many waiting ones, a full ranking is cheaper than insertions
)

// waiting holds the steps with tasks to place, in the order of placement.
//
// All steps are ranked as of the same point in time, so that their order does not depend on when they were added.
type waiting struct {
	list         []candidate
	pending      []*step // steps that may have become startable since the last decision
	rankedAt     time.Time
	minDemand    basilwork.Resources // minimum of the demands of all steps, for each kind of room
	ticketSteps  int                 // upper bound for the number of steps that need tickets
	labels       []string            // labels that the steps need, including the empty one
	labelIndexes map[string]int      // indexes in labels
	unopened     []unopenedJob
	nextOpenAt   time.Time // when the first of the unopened occurrences is due
}

// unopenedJob is a job with occurrences that are not opened yet.
type unopenedJob struct {
	job    *job
	nextAt time.Time
}

// candidate is a step with tasks to place.
type candidate struct {
	step         *step
	demand       basilwork.Resources
	labelIndex   int // index in waiting.labels
	rank         rank
	needsTickets bool
	sortKey      time.Duration // slack to the objective if rankOnTime, otherwise the remaining work
	work         float64       // estimated work of the occurrence that is not done, in core-seconds
}

// slack returns the sort key, adjusted to the time since the ranking.
func (c *candidate) slack(since time.Duration) time.Duration {
	if c.rank == rankOnTime {
		return c.sortKey - since
	}
	return c.sortKey
}

// openOccurrence creates the state of an occurrence and adds its steps.
func (p *Pool) openOccurrence(j *job, number int) *occurrence {
	o := j.openOccurrence(number)
	j.occurrences[number] = o
	p.addReadySteps(o)
	p.collectIfDone(o)
	return o
}

// addReadySteps adds newly ready steps of the occurrence to the backlog and has the next decision consider all its steps.
func (p *Pool) addReadySteps(o *occurrence) {
	for _, s := range o.steps {
		if !s.inBacklog && s.ready() && !o.job.record.State.Final() {
			s.inBacklog = true
			p.backlog.count(s, 1)
		}
	}
	p.requeue(o.steps...)
}

// finalize sets the final state of the job and removes its steps from the backlog.
func (p *Pool) finalize(j *job, state basilwork.JobState) {
	j.record.State = state
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.inBacklog {
				s.inBacklog = false
				p.backlog.count(s, -1)
			}
		}
	}
}

// addIdle changes the number of idle tasks of the step by count.
func (p *Pool) addIdle(s *step, count int) {
	s.idle += count
	if s.inBacklog {
		p.backlog.addWaiting(s, count)
	}
}

// requeue has the next decision consider the steps for placement.
func (p *Pool) requeue(steps ...*step) {
	for _, s := range steps {
		if !s.pending && !s.queued && s.idle > 0 {
			s.pending = true
			p.waiting.pending = append(p.waiting.pending, s)
		}
	}
}

// openDueOccurrences opens all occurrences that are due.
func (p *Pool) openDueOccurrences(now time.Time) {
	w := &p.waiting
	if len(w.unopened) > 0 && !now.Before(w.nextOpenAt) {
		left := w.unopened[:0]
		for _, o := range w.unopened {
			if !now.Before(o.nextAt) {
				o.nextAt = p.openJob(o.job, now)
			}
			if o.nextAt.IsZero() || o.job.record.State.Final() {
				continue
			}
			if len(left) == 0 || o.nextAt.Before(w.nextOpenAt) {
				w.nextOpenAt = o.nextAt
			}
			left = append(left, o)
		}
		clear(w.unopened[len(left):])
		w.unopened = left
	}
	if len(w.unopened) > 0 {
		p.wakeAt(w.nextOpenAt)
	}
}

// openJob opens due occurrences of the job, as many as may be, and returns when to look for the next one, or the zero time if there is none.
func (p *Pool) openJob(j *job, now time.Time) time.Time {
	waiting := j.waitingTasks()
	for ; j.opened < j.record.Job.Occurrences(); j.opened++ {
		due := j.record.Job.StartTime(j.opened)
		if now.Before(due) {
			return due
		}
		if o := j.occurrences[j.opened]; o != nil {
			p.requeue(o.steps...)
			continue
		}
		if j.record.IsDone(j.opened) {
			continue
		}
		if !j.mayOpen(waiting) {
			return now.Add(openRetryInterval)
		}
		waiting += p.openOccurrence(j, j.opened).waitingTasks()
	}
	return time.Time{}
}

// collectIfDone marks the occurrence for removal if all its steps are done and it has no runs.
func (p *Pool) collectIfDone(o *occurrence) {
	if o.unfinished == 0 && o.liveRuns == 0 {
		p.doneOccurrences = append(p.doneOccurrences, o)
	}
}

// removeDone removes the occurrences marked by collectIfDone.
func (p *Pool) removeDone() {
	for _, o := range p.doneOccurrences {
		if j := o.job; o.liveRuns == 0 && !j.record.State.Final() && j.occurrences[o.number] == o {
			delete(j.occurrences, o.number)
			p.forgetTickets(o)
		}
	}
	clear(p.doneOccurrences)
	p.doneOccurrences = p.doneOccurrences[:0]
}

// queueReady adds newly startable steps to the waiting list, and ranks the whole list again from time to time.
func (p *Pool) queueReady(now time.Time) {
	w := &p.waiting
	rerank := now.Sub(w.rankedAt) >= time.Duration(len(w.list))*rerankTimePerStep || len(w.pending)*bulkFraction > len(w.list)
	if rerank {
		p.rerankAll(now)
	}
	for _, s := range w.pending {
		s.pending = false
		if s.queued || !s.startable(now) {
			continue
		}
		s.queued = true
		s.setReadyAt(now)
		c := p.newCandidate(s)
		if rerank {
			w.list = append(w.list, c)
		} else {
			n, _ := slices.BinarySearchFunc(w.list, c, p.compareCandidates)
			w.list = slices.Insert(w.list, n, c)
		}
		w.add(&c, len(w.list) == 1)
	}
	clear(w.pending)
	w.pending = w.pending[:0]
	if rerank {
		slices.SortFunc(w.list, p.compareCandidates)
	}
}

// rerankAll ranks all steps that still wait as of now, and drops the others.
func (p *Pool) rerankAll(now time.Time) {
	w := &p.waiting
	w.rankedAt, w.ticketSteps, w.labels = now, 0, w.labels[:0]
	clear(w.labelIndexes)
	left := w.list[:0]
	for n := range w.list {
		s := w.list[n].step
		if !s.hasWaiting() {
			s.queued = false
			p.forgetRefusals(s)
			continue
		}
		left = append(left, p.newCandidate(s))
		w.add(&left[len(left)-1], len(left) == 1)
	}
	clear(w.list[len(left):])
	w.list = left
}

// add updates the summary fields for a step that waits.
func (w *waiting) add(c *candidate, first bool) {
	if c.needsTickets {
		w.ticketSteps++
	}
	if first {
		w.minDemand = c.demand
		return
	}
	w.minDemand = basilwork.Resources{
		CPU: min(w.minDemand.CPU, c.demand.CPU), Memory: min(w.minDemand.Memory, c.demand.Memory), GPU: min(w.minDemand.GPU, c.demand.GPU),
	}
}

// indexOfLabel returns the index of the label, and adds the label if necessary.
func (w *waiting) indexOfLabel(label string) int {
	n, ok := w.labelIndexes[label]
	if !ok {
		if w.labelIndexes == nil {
			w.labelIndexes = make(map[string]int)
		}
		n = len(w.labels)
		w.labelIndexes[label] = n
		w.labels = append(w.labels, label)
	}
	return n
}

// startable reports whether tasks of the step may be placed now.
func (s *step) startable(now time.Time) bool {
	return s.hasWaiting() && s.ready() && !now.Before(s.occurrence.due)
}

func (s *step) setReadyAt(now time.Time) {
	for _, t := range s.tasks {
		if t.readyAt.IsZero() {
			t.readyAt = now
		}
	}
}

// newCandidate returns the step with its rank at the time of the last full ranking.
func (p *Pool) newCandidate(s *step) candidate {
	c := candidate{step: s, demand: s.demand, labelIndex: p.waiting.indexOfLabel(s.spec.Label), needsTickets: s.needsTickets()}
	o := s.occurrence
	if o.ranking.decision != p.decisions {
		o.ranking = p.rankOccurrence(o, p.waiting.rankedAt)
	}
	c.work = o.ranking.work
	if !s.spec.LongRunning {
		c.rank, c.sortKey = o.ranking.rank, o.ranking.sortKey
	}
	return c
}

// compareCandidates compares two candidates in the order of placement; ties are broken by ID.
func (p *Pool) compareCandidates(a, b candidate) int {
	x, y := a.step, b.step
	return cmp.Or(p.options.Order.compare(&a, &b), cmp.Compare(x.occurrence.job.id(), y.occurrence.job.id()),
		cmp.Compare(x.occurrence.number, y.occurrence.number), cmp.Compare(x.number, y.number))
}

// ranking is the rank of the short tasks of an occurrence, as of one decision. All its steps share it, so that a job of many steps takes
// time in proportion to their number.
type ranking struct {
	decision int64
	rank     rank
	sortKey  time.Duration
	work     float64 // estimated work that is not done, in core-seconds
}

// rankOccurrence ranks the short tasks of an occurrence as of the given time.
func (p *Pool) rankOccurrence(o *occurrence, now time.Time) ranking {
	r := ranking{decision: p.decisions}
	r.rank, r.sortKey = p.rankOf(o, now)
	for _, s := range o.steps {
		r.work += float64(s.unfinished*s.spec.Resources.CPU) / 1000 * s.spec.Estimate.Seconds()
	}
	return r
}

// rankOf returns the rank and the sort key of the short tasks of an occurrence.
func (p *Pool) rankOf(o *occurrence, now time.Time) (rank, time.Duration) {
	j := o.job
	from := j.accepted
	if o.due.After(from) {
		from = o.due
	}
	chain := j.record.Job.CriticalPath(func(n int) time.Duration { return p.expectedRunTime(o.steps[n]) })
	objective := 2 * chain
	if j.queue != nil {
		objective = j.queue.Objective(chain)
	}
	left := o.remaining(now, p.expectedRunTime)
	slack := from.Add(objective).Sub(now) - left
	switch {
	case slack >= p.riskMargin(left):
		return rankOnTime, slack
	case slack >= 0:
		return rankAtRisk, left
	case from.Add(lateFactor * objective).After(now.Add(left)):
		return rankLate, left
	}
	return rankHopeless, left
}

// riskMargin returns the slack below which a job is likely to miss its objective.
//
// Without this margin, an overloaded pool starts every job at the last moment and completes nearly all of them too late.
func (p *Pool) riskMargin(left time.Duration) time.Duration {
	if p.options.Order == OrderLeastSlack {
		return 0
	}
	return time.Duration(slackMargin * float64(left))
}
