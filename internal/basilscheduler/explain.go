package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	minExplainedWait  = 2 * time.Second // a task with room may wait for 3 s
	minUnlistedTime   = 4 * time.Second // reports that list a run arrive every second; one that is late is no finding
	maxExplainedSteps = 64              // each is compared with all backend servers
	maxScannedTasks   = 1000            // tasks of one step that are looked at
	maxBlockerDepth   = 16              // earlier steps that are followed to the one that is not at work
)

// longWait is a task that has not been at work for long, before the reason is known.
type longWait struct {
	step     *step
	task     *task
	run      *run // reason for the wait, if any
	since    time.Time
	expected bool // probably
	tasks    int
	reason   WaitReason // if known already
	id       basilwork.TaskID
}

// long reports whether the task is a long-running one, which should never wait long while there is room.
func (w *longWait) long() bool { return w.step != nil && w.step.spec.LongRunning }

// compare orders waits by how important it is to explain them.
func (w *longWait) compare(o *longWait) int {
	switch {
	case w.expected != o.expected && o.expected, w.expected == o.expected && w.long() && !o.long():
		return -1
	case w.expected != o.expected, w.long() != o.long():
		return 1
	}
	if d := w.since.Compare(o.since); d != 0 {
		return d
	}
	return cmp.Or(cmp.Compare(w.id.Job, o.id.Job), cmp.Compare(w.id.Occurrence, o.id.Occurrence), cmp.Compare(w.id.Step, o.id.Step), cmp.Compare(w.id.Index, o.id.Index))
}

// explainer collects the longest waits of a pool.
type explainer struct {
	*Pool
	now     time.Time
	waits   []longWait                     // at most maxExplainedSteps, sorted
	more    int                            // waits that are not in the list
	rooms   map[string]basilwork.Resources // maximum free room of each kind by label
	unready []*step                        // scratch space of collectSteps
}

// ExplainWaits returns why tasks have not been at work for long. It changes nothing. At most maxExplainedSteps steps are examined: those for
// which a backend server seems to have room come first, and of these the ones with long-running tasks.
func (p *Pool) ExplainWaits(now time.Time) Waits {
	e := explainer{Pool: p, now: now, rooms: make(map[string]basilwork.Resources)}
	e.collectRuns()
	e.collectUnopened()
	for _, j := range p.jobs {
		if j.record.State.Final() || now.Sub(j.accepted) < minExplainedWait {
			continue
		}
		for _, o := range j.occurrences {
			e.collectSteps(o)
		}
	}
	return e.explainAll()
}

// add adds a wait to the list, unless it is too short or the list is full of more important ones. Of each step one is kept.
func (e *explainer) add(w longWait) {
	if e.now.Sub(w.since) < minExplainedWait {
		return
	}
	if w.task != nil {
		w.id = w.task.id
	}
	if len(e.waits) == maxExplainedSteps && w.compare(&e.waits[len(e.waits)-1]) > 0 {
		e.more++
		return
	}
	if n := slices.IndexFunc(e.waits, func(o longWait) bool { return o.step == w.step && w.step != nil && (o.run == nil) == (w.run == nil) }); n >= 0 {
		if w.compare(&e.waits[n]) > 0 {
			e.waits[n].tasks += w.tasks
			return
		}
		w.tasks += e.waits[n].tasks
		e.waits = slices.Delete(e.waits, n, n+1)
	}
	n, _ := slices.BinarySearchFunc(e.waits, &w, func(o longWait, w *longWait) int { return o.compare(w) })
	e.waits = slices.Insert(e.waits, n, w)
	if len(e.waits) > maxExplainedSteps {
		e.waits = e.waits[:maxExplainedSteps]
		e.more++
	}
}

// collectRuns adds the tasks whose only runs are not known to be at work.
func (e *explainer) collectRuns() {
	for _, b := range e.list {
		for _, r := range b.runs {
			since, reason := e.stateOf(r)
			t := r.task
			if reason == WaitReasonNone || t.done || t.step.occurrence.job.record.State.Final() || e.now.Sub(since) < minExplainedWait || e.atWork(t) {
				continue
			}
			e.add(longWait{step: t.step, task: t, run: r, since: since, tasks: 1, reason: reason})
		}
	}
}

// stateOf returns since when the run is not known to be at work, and why.
func (e *explainer) stateOf(r *run) (time.Time, WaitReason) {
	switch r.phase {
	case phaseStarting:
		return r.orderedAt, WaitReasonRunStarting
	case phaseUnanswered:
		if r.unansweredSince.IsZero() { // its backend server has restarted since
			return r.stoppingSince, WaitReasonRunUnknown
		}
		return r.unansweredSince, WaitReasonRunUnknown
	case phaseStopping:
		return r.stoppingSince, WaitReasonRunStopping
	}
	heard := r.answeredAt
	if r.listedAt.After(heard) {
		heard = r.listedAt
	}
	if e.now.Sub(heard) >= minUnlistedTime {
		return heard, WaitReasonRunUnlisted
	}
	return r.orderedAt, WaitReasonNone
}

// atWork reports whether any run of the task is known to be at work.
func (e *explainer) atWork(t *task) bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		_, reason := e.stateOf(r)
		return reason == WaitReasonNone
	})
}

// collectUnopened adds the jobs whose next occurrence is not open.
func (e *explainer) collectUnopened() {
	for _, u := range e.waiting.unopened {
		j := u.job
		if j.record.State.Final() {
			continue
		}
		w := longWait{
			since: j.accepted, expected: true, tasks: 1, reason: WaitReasonNotOpened,
			id: basilwork.TaskID{Job: j.id(), Occurrence: j.opened},
		}
		due := j.record.Job.StartTime(j.opened)
		switch {
		case due.After(e.now) && j.opened > 0:
			continue // the next of several times
		case due.After(e.now):
			w.reason = WaitReasonNotDue
		case due.After(w.since):
			w.since = due
		}
		e.add(w)
	}
}

// collectSteps adds the steps of an occurrence with tasks that wait. Steps after others are added only if one of those is not at work as
// it should be.
func (e *explainer) collectSteps(o *occurrence) {
	unready := e.unready[:0]
	blocked, expected := false, true
	for _, s := range o.steps {
		switch {
		case s.unfinished == 0:
			continue
		case !s.ready():
			unready = append(unready, s)
			continue
		case s.idle == 0 && !s.spec.LongRunning && len(o.steps) == 1:
			continue
		}
		idle := e.collectStep(s)
		stuck := len(o.steps) > 1 && e.stuck(s)
		blocked = blocked || idle || stuck
		expected = expected && !stuck && (!idle || !e.hasRoom(s))
	}
	e.unready = unready
	if !blocked {
		return
	}
	for _, s := range unready {
		if s.idle > 0 {
			e.add(longWait{step: s, task: s.tasks[0], since: o.waitsSince(), expected: expected, tasks: s.idle, reason: WaitReasonStepNotReady})
		}
	}
}

// collectStep adds a ready step if tasks of it wait, and returns whether that is so.
func (e *explainer) collectStep(s *step) bool {
	c := countIdle(s)
	if c.oldest == nil {
		if s.idle == 0 {
			return false
		}
		c.oldest = s.tasks[0] // the counts are wrong
	}
	e.add(longWait{step: s, task: c.oldest, since: c.oldest.waitsSince(), expected: !e.hasRoom(s), tasks: c.idle})
	return true
}

// stuck reports whether a task of the step has run before, or has a run that has not been at work for long.
func (e *explainer) stuck(s *step) bool {
	return slices.ContainsFunc(s.scanned(), func(t *task) bool {
		if t.done || len(t.runs) == 0 {
			return false
		}
		since, _ := e.stateOf(t.runs[0])
		return t.attempt%attemptsPerEpoch > 1 || !e.atWork(t) && e.now.Sub(since) >= minExplainedWait
	})
}

// idleCount is the result of counting the idle tasks of a step.
type idleCount struct {
	idle   int
	first  int   // index of the first one
	oldest *task // the one that has waited longest
}

// scanned returns the tasks of a step that are looked at: all or, of a wide step, those from the first that may be idle.
func (s *step) scanned() []*task {
	from := max(0, min(s.firstIdle, len(s.tasks)-maxScannedTasks))
	if len(s.tasks) <= maxScannedTasks {
		from = 0
	}
	return s.tasks[from:min(len(s.tasks), from+maxScannedTasks)]
}

func countIdle(s *step) idleCount {
	c := idleCount{first: len(s.tasks)}
	for _, t := range s.scanned() {
		if !t.idle() {
			continue
		}
		c.idle++
		c.first = min(c.first, t.id.Index)
		if c.oldest == nil || t.waitsSince().Before(c.oldest.waitsSince()) {
			c.oldest = t
		}
	}
	return c
}

// waitsSince returns since when the task waits: since its last run or, if it had none, since its occurrence should have begun.
func (t *task) waitsSince() time.Time {
	if !t.readyAt.IsZero() {
		return t.readyAt
	}
	return t.step.occurrence.waitsSince()
}

func (o *occurrence) waitsSince() time.Time {
	if o.due.After(o.job.accepted) {
		return o.due
	}
	return o.job.accepted
}

// hasRoom reports whether backend servers that stay seem to have room for a task of the step.
func (e *explainer) hasRoom(s *step) bool {
	room, ok := e.rooms[s.spec.Label]
	if !ok {
		room = noRoom
		for _, b := range e.list {
			if b.present && !b.leaving() && b.hasLabel(s.spec.Label) {
				room = room.Max(b.free())
			}
		}
		e.rooms[s.spec.Label] = room
	}
	return room.Covers(s.demand)
}

// leaving reports whether the backend server gets no new runs until it is gone.
func (b *backend) leaving() bool { return b.Draining || b.evacuating }

// explainAll finds the reasons of the collected waits.
func (e *explainer) explainAll() Waits {
	w := Waits{Unexamined: e.more, Tasks: make(map[WaitReason]int), Longest: make(map[WaitReason]time.Duration)}
	positions := e.positions()
	for n := range e.waits {
		l := &e.waits[n]
		x := Wait{Task: l.id, Tasks: l.tasks, Reason: l.reason, LongRunning: l.long() && l.reason != WaitReasonStepNotReady}
		switch {
		case l.run != nil:
			e.describeRun(&x, l.run)
		case l.step != nil:
			x.Position = positions[l.step]
			e.explainTask(&x, l.task)
		default:
			if due := e.jobs[l.id.Job].record.Job.StartTime(l.id.Occurrence); due.After(e.now) {
				x.Ends = due.Sub(e.now)
			}
		}
		x.Waited = e.now.Sub(l.since)
		if x.LongRunning && l.task != nil {
			x.Away = l.task.away(e.now)
		}
		x.Expected = x.Reason.expected() || x.Reason == WaitReasonStepNotReady && x.BlockerReason.expected()
		w.Tasks[x.Reason] += x.Tasks
		w.Longest[x.Reason] = max(w.Longest[x.Reason], x.Waited)
		if x.LongRunning && !x.Expected {
			w.LongRunning = max(w.LongRunning, x.Waited)
		}
		w.List = append(w.List, x)
	}
	slices.SortStableFunc(w.List, func(a, b Wait) int {
		switch {
		case a.Expected != b.Expected:
			return firstIf(b.Expected)
		case a.LongRunning != b.LongRunning:
			return firstIf(a.LongRunning)
		}
		return cmp.Compare(b.Waited, a.Waited)
	})
	return w
}

// firstIf returns the result of a comparison whose left side comes first if the condition holds, and last otherwise.
func firstIf(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

// positions returns the positions of the collected steps in the order of placement, starting at 1.
func (e *explainer) positions() map[*step]int {
	positions := make(map[*step]int, len(e.waits))
	for n := range e.waits {
		if s := e.waits[n].step; s != nil {
			positions[s] = 0
		}
	}
	for n := range e.waiting.list {
		if _, ok := positions[e.waiting.list[n].step]; ok {
			positions[e.waiting.list[n].step] = n + 1
		}
	}
	return positions
}
