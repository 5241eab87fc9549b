package basilscheduler

import (
	"cmp"
	queue "container/heap"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// makeRoomAfter is how long a long-running task is away before runs are stopped for it: out of the 9 s that the platform allows, less the 2 s that a
// stop, its report and a start take and 2 s for an answer that is lost.
const makeRoomAfter = 5 * time.Second

// planInterval is the time between two choices of the servers where the tasks of a step wait for room, so that choices over hundreds of servers take
// a small share of the time.
const planInterval = 100 * time.Millisecond

// roomPlan holds the backend servers on which the tasks of a long-running step wait for room.
type roomPlan struct {
	at       time.Time
	backends []*backend // one for each task that has room reserved
}

// roomOption is a backend server on which a long-running task will have room.
type roomOption struct {
	*backend
	at     time.Time // when, as far as is known of its runs
	places int       // how many more tasks of the step the server may get
}

// endsAt returns when the run is expected to end. One that is overdue is assumed to last as long again as it is.
func (p *Pool) endsAt(r *run, now time.Time) time.Time {
	end := r.expectedEnd
	if !r.stoppingSince.IsZero() {
		end = r.stoppingSince.Add(p.options.StopTimeout)
	}
	return later(end, now.Add(now.Sub(end)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runsByEnd returns the runs that don't last, by expected end.
func (p *Pool) runsByEnd(b *backend, now time.Time) []*run {
	if b.orderedAt.Equal(now) {
		return b.byEnd
	}
	b.orderedAt, b.byEnd = now, b.byEnd[:0]
	for _, r := range b.runs {
		if !r.lasts() {
			b.byEnd = append(b.byEnd, r)
		}
	}
	slices.SortFunc(b.byEnd, func(x, y *run) int { return p.endsAt(x, now).Compare(p.endsAt(y, now)) })
	return b.byEnd
}

// roomAt returns when the backend server is expected to have room for the demand; ok is false if runs that last leave none.
func (p *Pool) roomAt(b *backend, demand basilwork.Resources, now time.Time) (at time.Time, ok bool) {
	at = later(now, b.blockedUntil)
	free := b.free()
	var last *run
	for _, r := range p.runsByEnd(b, now) {
		if free.Covers(demand) {
			break
		}
		free, last = free.Add(r.task.step.demand), r
	}
	if last != nil {
		at = later(at, p.endsAt(last, now))
	}
	return at, free.Covers(demand)
}

// reserveForServing keeps short tasks off the backend servers that have room first for the waiting tasks of a long-running step: for one of them, and
// for each other that has waited for maxHoldBack. Where that room comes too late, runs are stopped.
func (p *Pool) reserveForServing(c *candidate, now time.Time) {
	s := c.step
	if now.Sub(s.plan.at) < planInterval {
		for _, b := range s.plan.backends[:min(len(s.plan.backends), s.idle)] {
			p.reserveBackend(b, c.demand)
		}
		return
	}
	s.plan = roomPlan{at: now, backends: s.plan.backends[:0]}
	var waiting []*task
	for _, t := range s.tasks[s.firstIdle:] {
		if t.idle() && !now.Before(t.notBefore) && !p.holdsBack(t, now) && (len(waiting) == 0 || now.Sub(t.readyAt) >= maxHoldBack) {
			waiting = append(waiting, t)
		}
	}
	if len(waiting) == 0 {
		return
	}
	options := roomOptions{demand: c.demand}
	for _, b := range p.list {
		if !b.available(now) || b.suspended(now) || b.closed() || !b.hasLabel(s.spec.Label) || !s.antiAffinityAllows(b) || !b.Resources.Covers(c.demand) {
			continue
		}
		if b.free().Covers(c.demand.Add(b.reservedRoom)) && !p.avoids(waiting[0], b, now) {
			return // the step does not wait for room
		}
		if o := (&roomOption{backend: b, places: s.placesOn(b)}); p.updateOption(o, c.demand, now) {
			options.list = append(options.list, o)
		}
	}
	queue.Init(&options)
	for _, t := range waiting {
		best := options.take(func(b *backend) bool { return !p.avoids(t, b, now) })
		if best == nil {
			continue
		}
		p.reserveBackend(best.backend, c.demand)
		s.plan.backends = append(s.plan.backends, best.backend)
		if now.Sub(t.awaySince()) >= makeRoomAfter && best.at.Sub(now) > p.options.StopTimeout+endReportDelay {
			p.makeRoom(best.backend, best.reservedRoom, now)
		}
		if best.places--; best.places > 0 && p.updateOption(best, c.demand, now) {
			queue.Push(&options, best)
		}
	}
}

// updateOption computes when the server has room for the demand besides what is reserved there, and returns false if it never has.
func (p *Pool) updateOption(o *roomOption, demand basilwork.Resources, now time.Time) bool {
	var ok bool
	o.at, ok = p.roomAt(o.backend, demand.Add(o.reservedRoom), now)
	return ok
}

// roomOptions is a heap of backend servers for one step: the one that has room first or, at the same time, lacks the least.
type roomOptions struct {
	list   []*roomOption
	demand basilwork.Resources
}

// Len implements heap.Interface.
func (h *roomOptions) Len() int { return len(h.list) }

// Less implements heap.Interface.
func (h *roomOptions) Less(i, j int) bool {
	x, y := h.list[i], h.list[j]
	if d := x.at.Compare(y.at); d != 0 {
		return d < 0
	}
	return cmp.Or(cmp.Compare(x.missingShare(h.demand), y.missingShare(h.demand)), cmp.Compare(x.ID, y.ID)) < 0
}

// Swap implements heap.Interface.
func (h *roomOptions) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface.
func (h *roomOptions) Push(o any) { h.list = append(h.list, o.(*roomOption)) }

// Pop implements heap.Interface.
func (h *roomOptions) Pop() any {
	last := len(h.list) - 1
	o := h.list[last]
	h.list = h.list[:last]
	return o
}

// take removes the first allowed backend server and returns it, or nil if none is left. Few are not allowed, as tasks avoid servers one by one.
func (h *roomOptions) take(allowed func(*backend) bool) *roomOption {
	var found *roomOption
	var passed []*roomOption
	for found == nil && h.Len() > 0 {
		if o := queue.Pop(h).(*roomOption); allowed(o.backend) {
			found = o
		} else {
			passed = append(passed, o)
		}
	}
	for _, o := range passed {
		queue.Push(h, o)
	}
	return found
}

// placesOn returns how many more tasks of the step its anti-affinity allows on the backend server.
func (s *step) placesOn(b *backend) int {
	if s.spec.AntiAffinity == 0 {
		return len(s.tasks)
	}
	return s.spec.AntiAffinity - s.runsOn[b]
}

// awaySince returns since when the task has not been at work, as far as that is known.
func (t *task) awaySince() time.Time {
	if at := t.presence.at; !at.IsZero() && at.Before(t.readyAt) {
		return at
	}
	return t.readyAt
}

// makeRoom stops short runs on the backend server until it has room for the demand: checkpointed and filling ones first, then those that lose the
// least work.
func (p *Pool) makeRoom(b *backend, demand basilwork.Resources, now time.Time) {
	free := b.free()
	var runs []*run
	for _, r := range b.runs {
		switch {
		case p.endsAt(r, now).Sub(now) <= p.options.StopTimeout+endReportDelay:
			free = free.Add(r.task.step.demand)
		case r.phase == phaseRunning && r.stopReason == "" && !r.isLong() && !r.task.step.spec.Gang:
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(x, y *run) int { return cmp.Compare(x.lossOfStop(now), y.lossOfStop(now)) })
	stopped := 0
	for _, r := range runs {
		if free.Covers(demand) {
			break
		}
		if freed := r.task.step.demand; overlaps(demand.Sub(free), freed) {
			free = free.Add(freed)
			runs[stopped] = r
			stopped++
		}
	}
	if !free.Covers(demand) {
		return
	}
	for _, r := range runs[:stopped] {
		p.stop(r, "room for a long-running task", now)
	}
}

// overlaps reports whether any kind of room that is missing is freed.
func overlaps(missing, freed basilwork.Resources) bool {
	return missing.CPU > 0 && freed.CPU > 0 || missing.Memory > 0 && freed.Memory > 0 || missing.GPU > 0 && freed.GPU > 0
}

// lossOfStop returns the work that a stop of the run now would lose, in core-seconds.
func (r *run) lossOfStop(now time.Time) float64 {
	spec := r.task.step.spec
	if spec.Checkpointing || spec.Filler {
		return 0
	}
	return float64(spec.Resources.CPU) / 1000 * now.Sub(r.orderedAt).Seconds()
}
