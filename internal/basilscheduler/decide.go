package basilscheduler

import (
	"cmp"
	"slices"
	"time"
)

const maxWakeInterval = time.Second // maximum time between two decisions if nothing happens

//go:generate go tool -modfile=../../tools/go.mod enumer -type=rank -trimprefix=rank -transform=snake -output=rank_enumer.go

// rank is the class of a waiting step; steps with a lower rank are placed first.
type rank int

const (
	rankServing  rank = iota // long-running tasks, which are useful for as long as they run
	rankOnTime               // can still meet the objective
	rankAtRisk               // meets the objective only if no task takes longer than expected
	rankLate                 // misses the objective, but is still worth something
	rankHopeless             // too late to be worth anything, but accepted and therefore still run
)

// Decide returns the actions to take now.
func (p *Pool) Decide(now time.Time) Actions {
	p.decisions++
	p.wakeTime = now.Add(maxWakeInterval)
	p.needsBackend = p.needsBackend && p.startLimit == 0 // keeps the last result, as nothing is placed then
	p.expirePredecessors(now)
	p.explainSilences(now)
	p.expireOpenStarts(now)
	p.giveUpEndedRuns(now)
	p.recordPredecessorCrash(now)
	p.updateMedianOdds(now)
	p.openDueOccurrences(now)
	p.removeDone()
	p.queueReady(now)
	p.stopLateStarts(now)
	p.checkRuns(now)
	p.place(now)
	p.requestAdvice(now)
	actions := p.actions
	p.actions = Actions{}
	return actions
}

// Wake returns the time at which Decide has to be called again at the latest.
func (p *Pool) Wake() time.Time { return p.wakeTime }

func (p *Pool) wakeAt(at time.Time) {
	if at.Before(p.wakeTime) {
		p.wakeTime = at
	}
}

func (p *Pool) nextAttempt(t *task) int {
	if t.step.occurrence.job.adopted {
		t.attempt = max(t.attempt, int(p.options.Epoch-1)*attemptsPerEpoch)
	}
	return t.attempt + 1
}

func (p *Pool) start(c *candidate, t *task, b *backend, attempt int, tickets *stepTickets, now time.Time) {
	r := &run{task: t, backend: b, attempt: attempt, phase: phaseStarting, orderedAt: now, pace: fullPace, resumed: t.checkpoint != "", startCheckpoint: t.checkpoint, ticket: tickets.ticketFor(b, now)}
	t.attempt = attempt
	t.account()
	if t.suspicion > 0 {
		b.quarantinedFor = r
	}
	p.addRun(r, p.expectedEnd(t.step, now))
	p.actions.Starts = append(p.actions.Starts, Start{
		Ref: r.ref(), Payload: t.step.occurrence.job.record.Job.Payload, Checkpoint: t.checkpoint, Ticket: r.ticket, Gang: t.step.spec.Gang, Listed: t.step.listed(),
		Rank: c.rank.String(), Slack: c.slack(now.Sub(p.waiting.rankedAt)), Waited: now.Sub(t.readyAt),
	})
}

// placeGang starts either all tasks of a gang or none, and reports whether it did.
func (p *Pool) placeGang(c *candidate, tickets *stepTickets, now time.Time) bool {
	for _, rack := range p.gangRacks(c.step) {
		if p.placeGangInRack(c, rack, tickets, now) {
			return true
		}
	}
	return false
}

// gangRacks returns the racks to try for a gang in order; the empty string stands for any rack.
func (p *Pool) gangRacks(s *step) []string {
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

func (p *Pool) placeGangInRack(c *candidate, rack string, tickets *stepTickets, now time.Time) bool {
	var chosen []*backend
	attempt := 0
	for _, t := range c.step.tasks {
		attempt = max(attempt, p.nextAttempt(t))
		b := p.chooseBackend(c, t, tickets, rack, now)
		if b == nil {
			break
		}
		b.used = b.used.Add(c.demand)
		c.step.countRunOn(b, 1)
		chosen = append(chosen, b)
	}
	for _, b := range chosen {
		b.used = b.used.Sub(c.demand)
		c.step.countRunOn(b, -1)
	}
	if len(chosen) < len(c.step.tasks) {
		return false
	}
	for n, t := range c.step.tasks {
		p.start(c, t, chosen[n], attempt, tickets, now)
	}
	return true
}

// chooseBackend returns the best backend server for a task, or nil if none has room.
func (p *Pool) chooseBackend(c *candidate, t *task, tickets *stepTickets, rack string, now time.Time) *backend {
	var best *backend
	var bestScore score
	if c.rank != rankServing && !p.maxFree(c.labelIndex).Covers(c.demand) && !p.fitsAside(c, now) {
		return nil
	}
	length := p.expectedRunTime(t.step)
	for _, b := range p.placement.backends {
		if rack != "" && b.Rack != rack || !p.mayUse(t, b, now) || !p.hasRoomFor(t, b, tickets, now) {
			continue
		}
		s := scoreOf(t, b, length, now)
		switch {
		case best == nil, best.isSuspended && !b.isSuspended, best.isSuspended == b.isSuspended && s.less(bestScore):
			best, bestScore = b, s
		}
	}
	return best
}

// fits reports whether the backend server has room for the task and is neither suspended nor too slow for it.
func (p *Pool) fits(t *task, b *backend, tickets *stepTickets, now time.Time) bool {
	return p.hasRoomFor(t, b, tickets, now) && !b.suspended(now) && (t.step.spec.LongRunning || !p.slow(b, now))
}

// hasRoomFor reports whether the backend server has room for the task and may run it.
func (p *Pool) hasRoomFor(t *task, b *backend, tickets *stepTickets, now time.Time) bool {
	s := t.step
	if !b.free().Covers(s.demand) || !b.available(now) || !b.hasLabel(s.spec.Label) || b.closed() {
		return false
	}
	return tickets.allow(b, now) && !p.avoids(t, b, now) && s.antiAffinityAllows(b)
}

// avoids reports whether the task currently avoids the backend server. A short task that has been held back for long goes back to it
// while the pool has room.
func (p *Pool) avoids(t *task, b *backend, now time.Time) bool {
	if !now.Before(t.avoidUntil[b.ID]) && !now.Before(t.avoidUntil[b.Address]) || len(p.backends) <= 1 {
		return false
	}
	return t.step.spec.LongRunning || now.Sub(t.readyAt) < maxHoldBack || !p.wasHalfEmpty()
}

// avoidsAny reports whether the task currently avoids any backend server.
func (t *task) avoidsAny(now time.Time) bool {
	for _, until := range t.avoidUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// antiAffinityAllows reports whether one more task of the step may run on the backend server.
func (s *step) antiAffinityAllows(b *backend) bool {
	return s.spec.AntiAffinity == 0 || s.runsOn[b] < s.spec.AntiAffinity
}

// countRunOn adds count to the number of runs of the step on the backend server, if the step has anti-affinity.
func (s *step) countRunOn(b *backend, count int) {
	if s.spec.AntiAffinity == 0 {
		return
	}
	if s.runsOn == nil {
		s.runsOn = make(map[*backend]int)
	}
	if s.runsOn[b] += count; s.runsOn[b] == 0 {
		delete(s.runsOn, b)
	}
}

// score rates a backend server for a task; lower is better.
type score struct{ first, second, third int }

func (s score) less(o score) bool {
	return cmp.Or(cmp.Compare(s.first, o.first), cmp.Compare(s.second, o.second), cmp.Compare(s.third, o.third)) < 0
}

// maxPackedLongRuns is the number of long-running tasks packed on one backend server before others are used. It is low
// enough that the loss of one backend server leaves most of a service running.
const maxPackedLongRuns = 6

// longRunningStay is the assumed run time of a long-running task, longer than that of any short task.
const longRunningStay = 24 * time.Hour

// stayGranularity is the resolution at which expected end times are compared.
const stayGranularity = 400 * time.Millisecond

// holdThreshold is the run time from which a short task keeps its host from being emptied in the time that a wave allows.
const holdThreshold = 5 * time.Second

// holdsHost reports whether a task with the given run time occupies its host for long and cannot be moved.
func (s *step) holdsHost(length time.Duration) bool {
	return s.spec.LongRunning || length > holdThreshold && (!s.spec.Checkpointing || s.spec.Gang)
}

// scoreOf packs tasks so that some backend servers become empty soon and can be removed: a short task goes where other
// runs are expected to last at least as long. Filler tasks are kept apart from long-running ones. A task that may crash its
// backend server goes where the fewest runs would be lost. A long-running task would be away for the leases of a server that has just gone.
func scoreOf(t *task, b *backend, length time.Duration, now time.Time) score {
	s, penalty := t.step, 0
	if s.spec.Affinity != "" && b.Rack != s.spec.Affinity {
		penalty = 2
	}
	if b.maintenanceDue && s.holdsHost(length) {
		penalty += 4 // worse than a distant rack: the task would soon be moved, or delay the maintenance of the host
	}
	if s.spec.LongRunning && b.quiet(now) {
		penalty++ // better than either: idle servers are asked seldom, so that most of them are quiet
	}
	switch {
	case t.suspicion > 0:
		return score{b.crashRisk(), len(b.runs), penalty}
	case s.spec.Filler:
		return score{penalty, b.longRuns, b.fillerCPU - b.free().CPU}
	case s.spec.LongRunning && b.longRuns >= maxPackedLongRuns:
		return score{penalty, 1 + b.fillerCPU, b.longRuns}
	case s.spec.LongRunning:
		return score{penalty, b.fillerCPU, -b.longRuns}
	}
	excess := max(0, length-b.busyUntil.Sub(now)) / stayGranularity
	return score{penalty, int(excess), b.free().CPU}
}

// expectedEnd returns when a run of the step that starts now is expected to end.
func (p *Pool) expectedEnd(s *step, now time.Time) time.Time {
	if s.spec.LongRunning {
		return now.Add(longRunningStay)
	}
	return now.Add(p.expectedRunTime(s))
}
