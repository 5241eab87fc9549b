package basilscheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	idleWake     = time.Second // between decisions when nothing happens
	lateFactor   = 3           // times the objective after which a job earns nothing
	reservedPart = 3           // at most one in so many backend servers is kept for a task that waits for room
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=rank -trimprefix=rank -transform=snake -output=rank_enumer.go

// rank is the class of waiting work; lower ones are placed first.
type rank int

const (
	rankServing  rank = iota // long-running tasks, which earn all the time that they work
	rankOnTime               // can still make the objective
	rankLate                 // earns little
	rankHopeless             // earns nothing; accepted all the same
)

// candidate is a step with tasks that wait to be placed.
type candidate struct {
	step  *step
	tasks []*task
	rank  rank
	key   time.Duration // slack to the objective when on time, work left when late
}

// Decide returns what is to be done now.
func (p *Pool) Decide(now time.Time) Actions {
	p.wake = now.Add(idleWake)
	p.cramped = false
	p.settle(now)
	p.compareSpeeds(now)
	candidates := p.collect(now)
	p.tend(now)
	p.place(candidates, now)
	actions := p.actions
	p.actions = Actions{}
	return actions
}

// Wake returns when Decide wants to be called again at the latest.
func (p *Pool) Wake() time.Time { return p.wake }

func (p *Pool) wakeAt(at time.Time) {
	if at.Before(p.wake) {
		p.wake = at
	}
}

// settle forgets predecessors' backend servers whose leases have run out.
func (p *Pool) settle(now time.Time) {
	for id, until := range p.unsettled {
		if now.Before(until) {
			p.wakeAt(until)
			continue
		}
		delete(p.unsettled, id)
	}
}

// collect opens the occurrences that are due and returns what waits, in the order of placement.
func (p *Pool) collect(now time.Time) []candidate {
	var found []candidate
	for _, j := range p.jobs {
		if j.record.State.Final() {
			continue
		}
		p.openDue(j, now)
		for number, o := range j.occurrences {
			if o.left == 0 && o.quiet() {
				delete(j.occurrences, number)
				continue
			}
			found = p.collectFrom(found, o, now)
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(p.options.Order.compare(&a, &b),
			cmp.Compare(a.step.occurrence.job.id(), b.step.occurrence.job.id()),
			cmp.Compare(a.step.occurrence.number, b.step.occurrence.number), cmp.Compare(a.step.number, b.step.number))
	})
	return found
}

// quiet tells whether the occurrence has no runs.
func (o *occurrence) quiet() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if len(t.runs) > 0 {
				return false
			}
		}
	}
	return true
}

func (p *Pool) openDue(j *job, now time.Time) {
	for n := range j.record.Job.Occurrences() {
		due := j.record.Job.Due(n)
		if now.Before(due) {
			p.wakeAt(due)
			return
		}
		if q := j.record.Progress[n]; j.occurrences[n] == nil && (q == nil || !q.Done) {
			j.occurrences[n] = j.open(n)
		}
	}
}

func (p *Pool) collectFrom(found []candidate, o *occurrence, now time.Time) []candidate {
	if now.Before(o.due) || o.job.adopted && len(p.unsettled) > 0 {
		return found
	}
	for _, s := range o.steps {
		if s.left == 0 || !s.ready() {
			continue
		}
		tasks := p.waiting(s, now)
		if len(tasks) == 0 {
			continue
		}
		c := candidate{step: s, tasks: tasks}
		c.rank, c.key = p.rankOf(o, s, now)
		found = append(found, c)
	}
	return found
}

// waiting returns the tasks of the step that may be started now; a gang waits until all of it can.
func (p *Pool) waiting(s *step, now time.Time) []*task {
	var tasks []*task
	for _, t := range s.tasks {
		if !t.idle() {
			if s.spec.Gang {
				return nil
			}
			continue
		}
		if now.Before(t.notBefore) {
			p.wakeAt(t.notBefore)
			if s.spec.Gang {
				return nil
			}
			continue
		}
		if t.readyAt.IsZero() {
			t.readyAt = now
		}
		tasks = append(tasks, t)
	}
	return tasks
}

func (p *Pool) rankOf(o *occurrence, s *step, now time.Time) (rank, time.Duration) {
	if s.spec.LongRunning {
		return rankServing, 0
	}
	j := o.job
	from := j.accepted
	if o.due.After(from) {
		from = o.due
	}
	chain := j.record.Job.Chain(func(n int) time.Duration { return p.length(o.steps[n]) })
	objective := 2 * chain
	if j.queue != nil {
		objective = j.queue.Objective(chain)
	}
	left := o.remaining(now, p.length)
	slack := from.Add(objective).Sub(now) - left
	switch {
	case slack >= 0:
		return rankOnTime, slack
	case from.Add(lateFactor * objective).After(now.Add(left)):
		return rankLate, left
	}
	return rankHopeless, left
}

// place gives waiting tasks to backend servers.
func (p *Pool) place(candidates []candidate, now time.Time) {
	reserved := make(map[*backend]bool)
	for n := range candidates {
		c := &candidates[n]
		tickets, ok := p.ticketsFor(c.step, now)
		if !ok {
			continue
		}
		if c.step.spec.Gang {
			p.placeGang(c, tickets, reserved, now)
			continue
		}
		for _, t := range c.tasks {
			b := p.choose(t, tickets, reserved, "", now)
			if b == nil {
				p.cramped = p.cramped || c.rank == rankServing
				p.reserve(c, t, reserved, now)
				break
			}
			p.start(c, t, b, p.nextAttempt(t), tickets, now)
		}
	}
}

// reserve keeps the backend server that will soonest have room from lesser work, so that a
// large task isn't passed by small ones for ever.
func (p *Pool) reserve(c *candidate, t *task, reserved map[*backend]bool, now time.Time) {
	if c.rank != rankOnTime || len(reserved) >= len(p.backends)/reservedPart {
		return
	}
	var best *backend
	for _, b := range p.backends {
		if !b.usable(now) || reserved[b] || !b.hasLabel(t.step.spec.Label) || !b.Room.Holds(t.step.spec.Demand()) {
			continue
		}
		if b.free().Holds(t.step.spec.Demand()) {
			return // it isn't room that the task waits for
		}
		if best == nil || b.free().CPU > best.free().CPU || b.free().CPU == best.free().CPU && b.ID < best.ID {
			best = b
		}
	}
	if best != nil {
		reserved[best] = true
	}
}

func (p *Pool) nextAttempt(t *task) int {
	if t.step.occurrence.job.adopted {
		t.attempt = max(t.attempt, int(p.options.Epoch-1)*epochAttempts)
	}
	return t.attempt + 1
}

func (p *Pool) start(c *candidate, t *task, b *backend, attempt int, tickets map[string]string, now time.Time) {
	r := &run{task: t, backend: b, attempt: attempt, phase: phaseStarting, since: now, pace: fullPace, resumed: t.saved != ""}
	t.attempt = attempt
	t.runs = append(t.runs, r)
	b.add(r, p.ends(t.step, now))
	p.actions.Starts = append(p.actions.Starts, Start{
		Ref: r.ref(), Payload: t.step.occurrence.job.record.Job.Payload, Checkpoint: t.saved, Ticket: tickets[b.ID],
		Rank: c.rank.String(), Slack: c.key, Waited: now.Sub(t.readyAt),
	})
}

// placeGang starts all members of a step or none.
func (p *Pool) placeGang(c *candidate, tickets map[string]string, reserved map[*backend]bool, now time.Time) {
	if len(c.tasks) != len(c.step.tasks) {
		return
	}
	for _, rack := range p.racksFor(c.step) {
		if p.tryGang(c, rack, tickets, reserved, now) {
			return
		}
	}
}

// racksFor returns the racks to try for a gang; the empty text is any.
func (p *Pool) racksFor(s *step) []string {
	var racks []string
	if s.spec.Affinity != "" {
		racks = append(racks, s.spec.Affinity)
	}
	if s.spec.SameRack {
		seen := make(map[string]bool)
		for _, b := range p.backends {
			if b.Rack != "" && !seen[b.Rack] {
				seen[b.Rack] = true
				racks = append(racks, b.Rack)
			}
		}
		slices.Sort(racks)
	}
	return append(racks, "")
}

func (p *Pool) tryGang(c *candidate, rack string, tickets map[string]string, reserved map[*backend]bool, now time.Time) bool {
	var chosen []*backend
	attempt := 0
	for _, t := range c.tasks {
		attempt = max(attempt, p.nextAttempt(t))
		b := p.choose(t, tickets, reserved, rack, now)
		if b == nil {
			break
		}
		b.used = b.used.Add(t.step.spec.Demand())
		chosen = append(chosen, b)
	}
	for n, b := range chosen {
		b.used = b.used.Sub(c.tasks[n].step.spec.Demand())
	}
	if len(chosen) < len(c.tasks) || !withinAffinity(c.step, chosen) {
		return false
	}
	for n, t := range c.tasks {
		p.start(c, t, chosen[n], attempt, tickets, now)
	}
	return true
}

// withinAffinity tells whether no backend server was chosen more often than the step allows.
func withinAffinity(s *step, chosen []*backend) bool {
	if s.spec.AntiAffinity == 0 {
		return true
	}
	count := make(map[*backend]int)
	for _, b := range chosen {
		count[b]++
		if count[b] > s.spec.AntiAffinity {
			return false
		}
	}
	return true
}

// choose returns the backend server to run a task, or nil when none has room.
func (p *Pool) choose(t *task, tickets map[string]string, reserved map[*backend]bool, rack string, now time.Time) *backend {
	var best *backend
	var bestScore score
	for _, b := range p.backends {
		if rack != "" && b.Rack != rack || reserved[b] || !p.fits(t, b, tickets, now) {
			continue
		}
		s := p.scoreOf(t.step, b, now)
		if best == nil || s.less(bestScore) || !bestScore.less(s) && b.ID < best.ID {
			best, bestScore = b, s
		}
	}
	return best
}

func (p *Pool) fits(t *task, b *backend, tickets map[string]string, now time.Time) bool {
	s := t.step
	if !b.usable(now) || !b.free().Holds(s.spec.Demand()) || !b.hasLabel(s.spec.Label) {
		return false
	}
	if tickets != nil && tickets[b.ID] == "" {
		return false
	}
	if !s.spec.LongRunning && p.slow(b, now) {
		return false
	}
	if until, ok := t.avoid[b.ID]; ok && now.Before(until) && len(p.backends) > 1 {
		return false
	}
	return s.spec.AntiAffinity == 0 || s.onBackend(b) < s.spec.AntiAffinity
}

// score orders backend servers for a task; the least is best.
type score struct{ first, second, third int }

func (s score) less(o score) bool {
	return cmp.Or(cmp.Compare(s.first, o.first), cmp.Compare(s.second, o.second), cmp.Compare(s.third, o.third)) < 0
}

// servingTogether is how many long-running tasks are packed on a backend server before others are tried:
// few enough that one lost server leaves most of a service at work.
const servingTogether = 6

// longStay stands for the time that a long-running task stays, longer than any short one.
const longStay = 24 * time.Hour

// stayUnit is how finely expected ends are told apart.
const stayUnit = 400 * time.Millisecond

// scoreOf packs tasks, so that some backend servers become empty soon and may leave: a short task goes
// where others are expected to run as long. Those that fill are kept away from those that serve.
func (p *Pool) scoreOf(s *step, b *backend, now time.Time) score {
	away := 0
	if s.spec.Affinity != "" && b.Rack != s.spec.Affinity {
		away = 1
	}
	if s.spec.LongRunning && b.due {
		away++
	}
	switch {
	case s.spec.Fills:
		return score{away, b.serving, b.filling - b.free().CPU}
	case s.spec.LongRunning && b.serving >= servingTogether:
		return score{away, 1 + b.filling, b.serving}
	case s.spec.LongRunning:
		return score{away, b.filling, -b.serving}
	}
	longer := max(0, p.length(s)-b.until.Sub(now)) / stayUnit
	return score{away, int(longer), b.free().CPU}
}

// ends returns when a run of the step that starts now is expected to end.
func (p *Pool) ends(s *step, now time.Time) time.Time {
	if s.spec.LongRunning {
		return now.Add(longStay)
	}
	return now.Add(p.length(s))
}
