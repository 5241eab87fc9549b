package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	reservedFraction = 3               // one backend server in this many may be reserved for short tasks
	maxHoldBack      = 2 * time.Second // how long a task may be held back from reserved, slow or suspended servers, or ones on which it failed, while the pool has room, out of the 3 s that a task with room may wait
)

// mayReserve reports whether one more backend server may be reserved for a short task.
func (p *Pool) mayReserve() bool { return p.placement.reserved < len(p.list)/reservedFraction }

// reserve keeps smaller tasks off the backend server that lacks the least room for the task, so that they cannot
// starve a large task. Nothing is reserved where the room won't come free.
func (p *Pool) reserve(c *candidate, t *task, now time.Time) {
	if c.rank == rankServing {
		p.reserveForServing(c, now)
		return
	}
	if c.rank != rankOnTime || !p.mayReserve() || p.maxFree(c.labelIndex) == noRoom {
		return
	}
	var best *backend
	for _, b := range p.placement.backends {
		if b.reserved || b.isSuspended || !b.hasLabel(c.step.spec.Label) || !b.Resources.Covers(c.demand) || !c.step.antiAffinityAllows(b) || p.avoids(t, b, now) {
			continue
		}
		if b.free().Covers(c.demand) {
			return // the task does not wait for room
		}
		if (best == nil || b.missingShare(c.demand) < best.missingShare(c.demand)) && b.roomComes(c.demand) {
			best = b
		}
	}
	if best != nil {
		p.reserveBackend(best, c.demand)
	}
}

// reserveBackend reserves room on the backend server for the rest of the decision.
func (p *Pool) reserveBackend(b *backend, room basilwork.Resources) {
	b.reservedRoom = b.reservedRoom.Add(room)
	if b.reserved {
		return
	}
	b.reserved = true
	p.placement.reserved++
	p.setAside(b)
	p.resetMaxFree()
}

// setAside notes that the backend server is reserved, slow or suspended.
func (p *Pool) setAside(b *backend) {
	p.placement.aside = append(p.placement.aside, b)
	p.placement.asideRoom = p.placement.asideRoom.Max(b.free())
}

// lasts reports whether the run keeps its room until its job is cancelled.
func (r *run) lasts() bool { return r.task.step.spec.LongRunning && r.phase != phaseStopping }

// roomComes reports whether the backend server has room for the demand once all runs that don't last have ended.
func (b *backend) roomComes(demand basilwork.Resources) bool {
	return b.roomBesideLasting().Covers(demand)
}

// roomBesideLasting returns the room of the backend server once all runs that don't last have ended.
func (b *backend) roomBesideLasting() basilwork.Resources {
	room := b.Resources
	if b.longRuns == 0 {
		return room
	}
	for _, r := range b.runs {
		if r.lasts() {
			room = room.Sub(r.task.step.demand)
		}
	}
	return room
}

// isHalfEmpty reports whether less than half of the room of each kind is in use now.
func (p *Pool) isHalfEmpty() bool {
	var used, all basilwork.Resources
	for _, b := range p.list {
		used, all = used.Add(b.used), all.Add(b.Resources)
	}
	return 2*used.CPU < all.CPU && 2*used.Memory < all.Memory && 2*used.GPU <= all.GPU
}

// wasHalfEmpty reports whether the pool was half empty when the decision first asked.
func (p *Pool) wasHalfEmpty() bool {
	if !p.placement.halfEmptyKnown {
		p.placement.halfEmpty, p.placement.halfEmptyKnown = p.isHalfEmpty(), true
	}
	return p.placement.halfEmpty
}

// mayUse reports whether the task may run on the backend server, as far as that is reserved for another task, suspended, or slow, which is no
// place for short ones. A task that has been held back for long may run on any of these while the pool has room, as there may be no other
// server for it; a long-running one also while it is full.
func (p *Pool) mayUse(t *task, b *backend, now time.Time) bool {
	long := t.step.spec.LongRunning
	if !b.reserved && !b.isSuspended && (long || !b.isSlow) {
		return true
	}
	return now.Sub(t.readyAt) >= maxHoldBack && (long || p.wasHalfEmpty())
}

// fitsAside reports whether the next short task of the step may run on a backend server that is reserved for another one, slow or suspended.
func (p *Pool) fitsAside(c *candidate, now time.Time) bool {
	if !p.placement.asideRoom.Covers(c.demand) || c.step.firstIdle >= len(c.step.tasks) || !p.wasHalfEmpty() {
		return false
	}
	t := c.step.tasks[c.step.firstIdle]
	return slices.ContainsFunc(p.placement.aside, func(b *backend) bool { return b.free().Covers(c.demand) && p.mayUse(t, b, now) })
}

// missingShare returns the largest missing share of any kind of room that the demand needs, relative to the total room.
func (b *backend) missingShare(demand basilwork.Resources) float64 {
	missing := demand.Sub(b.free())
	share := func(lacking, all int) float64 { return float64(max(lacking, 0)) / float64(max(all, 1)) }
	return max(share(missing.CPU, b.Resources.CPU), share(missing.Memory, b.Resources.Memory), share(missing.GPU, b.Resources.GPU))
}
