package basilscheduler

import (
	"cmp"
	"slices"
	"time"
)

const idleWake = time.Second // between decisions when nothing happens

//go:generate go tool -modfile=../../tools/go.mod enumer -type=rank -trimprefix=rank -transform=snake -output=rank_enumer.go

// rank is the class of waiting work; lower ones are placed first.
type rank int

const (
	rankServing  rank = iota // long-running tasks, which earn all the time that they work
	rankOnTime               // can still make the objective
	rankAtRisk               // makes it only if no task takes longer than expected
	rankLate                 // earns little
	rankHopeless             // earns nothing; accepted all the same
)

// Decide returns what is to be done now.
func (p *Pool) Decide(now time.Time) Actions {
	p.wake = now.Add(idleWake)
	p.cramped = p.cramped && p.allowed == 0 // nothing is looked for then
	p.settle(now)
	p.compareSpeeds(now)
	p.openDue(now)
	p.forgetDone()
	p.queueReady(now)
	p.tend(now)
	p.place(now)
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

func (p *Pool) nextAttempt(t *task) int {
	if t.step.occurrence.job.adopted {
		t.attempt = max(t.attempt, int(p.options.Epoch-1)*epochAttempts)
	}
	return t.attempt + 1
}

func (p *Pool) start(c *candidate, t *task, b *backend, attempt int, tickets map[string]string, now time.Time) {
	r := &run{task: t, backend: b, attempt: attempt, phase: phaseStarting, since: now, pace: fullPace, resumed: t.saved != ""}
	t.attempt = attempt
	p.addRun(r, p.ends(t.step, now))
	p.actions.Starts = append(p.actions.Starts, Start{
		Ref: r.ref(), Payload: t.step.occurrence.job.record.Job.Payload, Checkpoint: t.saved, Ticket: tickets[b.ID], Gang: t.step.spec.Gang,
		Rank: c.rank.String(), Slack: c.slack(now.Sub(p.waiting.ranked)), Waited: now.Sub(t.readyAt),
	})
}

// placeGang starts all members of a step or none.
func (p *Pool) placeGang(c *candidate, tickets map[string]string, now time.Time) {
	for _, rack := range p.racksFor(c.step) {
		if p.tryGang(c, rack, tickets, now) {
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

func (p *Pool) tryGang(c *candidate, rack string, tickets map[string]string, now time.Time) bool {
	var chosen []*backend
	attempt := 0
	for _, t := range c.step.tasks {
		attempt = max(attempt, p.nextAttempt(t))
		b := p.choose(c, t, tickets, rack, now)
		if b == nil {
			break
		}
		b.used = b.used.Add(c.demand)
		chosen = append(chosen, b)
	}
	for _, b := range chosen {
		b.used = b.used.Sub(c.demand)
	}
	if len(chosen) < len(c.step.tasks) || !withinAffinity(c.step, chosen) {
		return false
	}
	for n, t := range c.step.tasks {
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
func (p *Pool) choose(c *candidate, t *task, tickets map[string]string, rack string, now time.Time) *backend {
	var best *backend
	var bestScore score
	if c.rank != rankServing && !p.most(c.label).Holds(c.demand) {
		return nil
	}
	length := p.length(t.step)
	for _, b := range p.room.open {
		if rack != "" && b.Rack != rack || b.kept || !p.fits(t, b, tickets, now) {
			continue
		}
		if s := scoreOf(t.step, b, length, now); best == nil || s.less(bestScore) {
			best, bestScore = b, s
		}
	}
	return best
}

func (p *Pool) fits(t *task, b *backend, tickets map[string]string, now time.Time) bool {
	s := t.step
	if !b.free().Holds(s.demand) || !b.usable(now) || !b.hasLabel(s.spec.Label) {
		return false
	}
	if tickets != nil && tickets[b.ID] == "" {
		return false
	}
	if !s.spec.LongRunning && p.slow(b, now) {
		return false
	}
	return !p.avoids(t, b, now) && s.mayJoin(b)
}

// avoids tells whether the task is to keep off the backend server for a while.
func (p *Pool) avoids(t *task, b *backend, now time.Time) bool {
	until, ok := t.avoid[b.ID]
	return ok && now.Before(until) && len(p.backends) > 1
}

// mayJoin tells whether one more task of the step may run on the backend server.
func (s *step) mayJoin(b *backend) bool {
	return s.spec.AntiAffinity == 0 || s.on[b] < s.spec.AntiAffinity
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

// holdTime is how long a short task runs that keeps a host from being emptied in the time that a wave allows for it.
const holdTime = 5 * time.Second

// holds tells whether a task of the length keeps its host for long, and cannot be moved.
func (s *step) holds(length time.Duration) bool {
	return s.spec.LongRunning || length > holdTime && (!s.spec.Checkpointing || s.spec.Gang)
}

// scoreOf packs tasks, so that some backend servers become empty soon and may leave: a short task goes
// where others are expected to run as long, its length. Those that fill are kept away from those that serve.
func scoreOf(s *step, b *backend, length time.Duration, now time.Time) score {
	away := 0
	if s.spec.Affinity != "" && b.Rack != s.spec.Affinity {
		away = 1
	}
	if b.due && s.holds(length) {
		away += 2 // worse than far from the data: it would soon be moved again, or have the host wait for it
	}
	switch {
	case s.spec.Fills:
		return score{away, b.serving, b.filling - b.free().CPU}
	case s.spec.LongRunning && b.serving >= servingTogether:
		return score{away, 1 + b.filling, b.serving}
	case s.spec.LongRunning:
		return score{away, b.filling, -b.serving}
	}
	longer := max(0, length-b.until.Sub(now)) / stayUnit
	return score{away, int(longer), b.free().CPU}
}

// ends returns when a run of the step that starts now is expected to end.
func (p *Pool) ends(s *step, now time.Time) time.Time {
	if s.spec.LongRunning {
		return now.Add(longStay)
	}
	return now.Add(p.length(s))
}
