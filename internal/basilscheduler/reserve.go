package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	reservedFraction = 3               // one backend server in this many may be reserved for short tasks
	maxHoldBack      = 2 * time.Second // how long a task may be held back from reserved or slow servers while the pool has room, out of the 3 s that a task with room may wait
)

// mayReserve reports whether one more backend server may be reserved for a short task.
func (p *Pool) mayReserve() bool { return p.placement.reserved < len(p.list)/reservedFraction }

// reserve keeps smaller tasks off the backend server that lacks the least room for the task, so that they cannot
// starve a large task. The limit on reservations doesn't apply to long-running tasks. Nothing is reserved where
// the room won't come free, and what ends before it does may still run there (see mayUse).
func (p *Pool) reserve(c *candidate, t *task, now time.Time) {
	serving := c.rank == rankServing
	if !serving && (c.rank != rankOnTime || !p.mayReserve()) || p.maxFree(c.labelIndex) == noRoom {
		return
	}
	var best *backend
	for _, b := range p.placement.backends {
		if b.reserved || !b.hasLabel(c.step.spec.Label) || !b.Resources.Covers(c.demand) || !c.step.antiAffinityAllows(b) || p.avoids(t, b, now) {
			continue
		}
		if b.free().Covers(c.demand) {
			return // the task does not wait for room
		}
		if (best == nil || b.missingShare(c.demand) < best.missingShare(c.demand)) && b.roomComes(c.demand) {
			best = b
		}
	}
	if best == nil {
		return
	}
	best.reserved = true
	best.reservedFrom = p.roomAt(best, c.demand, now)
	p.placement.reserved++
	p.placement.reservedTime = max(p.placement.reservedTime, best.reservedFrom.Sub(now))
	p.setAside(best)
	p.resetMaxFree()
}

// setAside notes that the backend server is reserved or slow.
func (p *Pool) setAside(b *backend) {
	if len(p.placement.aside) == 0 {
		p.placement.halfEmpty = p.halfEmpty()
	}
	p.placement.aside = append(p.placement.aside, b)
	p.placement.asideRoom = p.placement.asideRoom.Max(b.free())
}

// lasts reports whether the run keeps its room until its job is cancelled.
func (r *run) lasts() bool { return r.task.step.spec.LongRunning && r.phase != phaseStopping }

// roomComes reports whether the backend server has room for the demand once all runs that don't last have ended.
func (b *backend) roomComes(demand basilwork.Resources) bool {
	if b.longRuns == 0 {
		return b.Resources.Covers(demand)
	}
	room := b.Resources
	for _, r := range b.runs {
		if r.lasts() {
			room = room.Sub(r.task.step.demand)
		}
	}
	return room.Covers(demand)
}

// roomAt returns when the backend server is expected to have room for the demand.
func (p *Pool) roomAt(b *backend, demand basilwork.Resources, now time.Time) time.Time {
	var ending []*run
	for _, r := range b.runs {
		if !r.lasts() {
			ending = append(ending, r)
		}
	}
	slices.SortFunc(ending, func(x, y *run) int { return p.endOf(x, now).Compare(p.endOf(y, now)) })
	free := b.free()
	for _, r := range ending {
		free = free.Add(r.task.step.demand)
		if free.Covers(demand) {
			return p.endOf(r, now)
		}
	}
	return now
}

// endOf returns when a run that doesn't last is expected to have ended.
func (p *Pool) endOf(r *run, now time.Time) time.Time {
	if r.phase == phaseStopping {
		return now.Add(p.options.StopTimeout)
	}
	return r.expectedEnd
}

// halfEmpty reports whether less than half of the room of each kind is in use.
func (p *Pool) halfEmpty() bool {
	var used, all basilwork.Resources
	for _, b := range p.list {
		used, all = used.Add(b.used), all.Add(b.Resources)
	}
	return 2*used.CPU < all.CPU && 2*used.Memory < all.Memory && 2*used.GPU <= all.GPU
}

// mayUse reports whether the task may run on the backend server, as far as that is reserved for another task or slow, which is no place for
// short ones. A short task may run on a reserved one if it is expected to end before the other's room comes free. A task that has been held
// back for long may run on either while the pool has room; a long-running one also while it is full.
func (p *Pool) mayUse(t *task, b *backend, length time.Duration, now time.Time) bool {
	long := t.step.spec.LongRunning
	if !b.reserved && (long || !b.isSlow) {
		return true
	}
	if now.Sub(t.readyAt) >= maxHoldBack && (long || p.placement.halfEmpty) {
		return true
	}
	return !long && !b.isSlow && !now.Add(length).After(b.reservedFrom)
}

// fitsAside reports whether the next short task of the step may run on a backend server that is reserved for another one or slow.
func (p *Pool) fitsAside(c *candidate, now time.Time) bool {
	if !p.placement.asideRoom.Covers(c.demand) || c.step.firstIdle >= len(c.step.tasks) {
		return false
	}
	t, length := c.step.tasks[c.step.firstIdle], p.expectedRunTime(c.step)
	if !p.placement.halfEmpty && length > p.placement.reservedTime {
		return false
	}
	return slices.ContainsFunc(p.placement.aside, func(b *backend) bool {
		return b.free().Covers(c.demand) && p.mayUse(t, b, length, now)
	})
}

// missingShare returns the largest missing share of any kind of room that the demand needs, relative to the total room.
func (b *backend) missingShare(demand basilwork.Resources) float64 {
	missing := demand.Sub(b.free())
	share := func(lacking, all int) float64 { return float64(max(lacking, 0)) / float64(max(all, 1)) }
	return max(share(missing.CPU, b.Resources.CPU), share(missing.Memory, b.Resources.Memory), share(missing.GPU, b.Resources.GPU))
}
