package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// noRoom is too small for any demand, even an empty one.
var noRoom = basilwork.Resources{CPU: -1, Memory: -1, GPU: -1}

// placement is the state of placing tasks during one decision.
type placement struct {
	backends        []*backend          // available backend servers with room for the smallest waiting demand, by ID
	reserved        int                 // number of backend servers that are reserved for tasks that wait for room
	aside           []*backend          // those that are reserved, slow or suspended, which short tasks may use in some cases only (see mayUse)
	asideRoom       basilwork.Resources // maximum free room of each kind over these
	halfEmpty       bool                // less than half of the pool's room of each kind is in use; valid if halfEmptyKnown
	halfEmptyKnown  bool
	limited         bool    // tasks were left when the limit of starts was reached
	lookaheadLeft   int     // number of steps without room that may still be considered for requesting tickets
	adviceSteps     []*step // the first steps that wait for advice
	leastAsked      *step   // of all that wait for advice, the one that has waited the longest for a request, since leastAskedSince
	leastAskedSince time.Time
	maxFree         []labelMaxFree // by label index of the waiting steps
}

// labelMaxFree caches the maximum free room of each kind, over the backend servers with a label, for short tasks.
type labelMaxFree struct {
	basilwork.Resources
	known bool
}

// preparePlacement collects the backend servers on which tasks may be placed.
func (p *Pool) preparePlacement(now time.Time) {
	p.placement.backends = p.placement.backends[:0]
	p.placement.reserved, p.placement.limited = 0, false
	p.placement.aside, p.placement.asideRoom, p.placement.halfEmptyKnown = p.placement.aside[:0], noRoom, false
	p.placement.lookaheadLeft = min(ticketLookahead, p.waiting.ticketSteps)
	p.placement.adviceSteps, p.placement.leastAsked = p.placement.adviceSteps[:0], nil
	lost := make(map[string]bool, len(p.silences))
	for n := range p.silences {
		lost[p.silences[n].address] = true
	}
	for _, b := range p.list {
		b.reserved, b.reservedRoom = false, basilwork.Resources{}
		if b.free().Covers(p.waiting.minDemand) && b.available(now) {
			b.isSlow, b.isSuspended, b.lostLately = p.slow(b, now), b.suspended(now), lost[b.Address]
			p.placement.backends = append(p.placement.backends, b)
			if b.isSlow || b.isSuspended {
				p.setAside(b)
			}
		}
	}
	p.resetMaxFree()
}

// resetMaxFree invalidates the cached free room.
func (p *Pool) resetMaxFree() {
	p.placement.maxFree = slices.Grow(p.placement.maxFree[:0], len(p.waiting.labels))[:len(p.waiting.labels)]
	clear(p.placement.maxFree)
}

// maxFree returns the maximum free room of each kind for short tasks that need the label.
func (p *Pool) maxFree(label int) basilwork.Resources {
	r := &p.placement.maxFree[label]
	if r.known {
		return r.Resources
	}
	r.Resources, r.known = noRoom, true
	for _, b := range p.placement.backends {
		if b.reserved || b.isSlow || b.isSuspended || b.closed() || !b.hasLabel(p.waiting.labels[label]) {
			continue
		}
		r.Resources = r.Resources.Max(b.free())
	}
	return r.Resources
}

// full reports whether no waiting short task has room.
func (p *Pool) full() bool {
	if p.placement.asideRoom.Covers(p.waiting.minDemand) && p.wasHalfEmpty() {
		return false
	}
	for label := range p.waiting.labels {
		if p.maxFree(label).Covers(p.waiting.minDemand) {
			return false
		}
	}
	return true
}

// place assigns waiting tasks to backend servers until no room is left for any of them.
func (p *Pool) place(now time.Time) {
	p.preparePlacement(now)
	defer func() { p.startPressure.record(p.placement.limited, p.startLimit, now) }()
	for n := range p.waiting.list {
		c := &p.waiting.list[n]
		switch {
		case len(p.actions.Starts) >= p.startLimit:
			p.placement.limited = p.placement.limited || c.step.hasWaiting() && p.maxFree(c.labelIndex).Covers(c.demand)
			return
		case c.rank == rankServing, p.maxFree(c.labelIndex).Covers(c.demand), p.fitsAside(c, now):
			p.placeStep(c, now)
		case c.needsTickets && p.placement.lookaheadLeft > 0:
			p.placement.lookaheadLeft--
			p.placeStep(c, now)
		case p.placement.lookaheadLeft == 0 && p.full():
			return
		case c.rank == rankOnTime && !c.needsTickets && p.mayReserve():
			p.placeStep(c, now)
		}
	}
}

// placeStep places as many tasks of the step as have room; a gang is placed as a whole or not at all.
func (p *Pool) placeStep(c *candidate, now time.Time) {
	s := c.step
	if !s.hasWaiting() || p.heldBack(s) || s.spec.Gang && !p.gangReady(s, now) {
		return
	}
	var tickets *stepTickets
	haveTickets, reserved := false, false
	for n := s.firstIdle; n < len(s.tasks); n++ {
		t := s.tasks[n]
		if len(p.actions.Starts) >= p.startLimit {
			p.placement.limited = s.hasWaiting()
			return
		}
		if !t.idle() {
			if n == s.firstIdle {
				s.firstIdle++
			}
			continue
		}
		if p.holdsBack(t, now) {
			if until := p.heldBackUntil(t); now.Before(until) {
				p.wakeAt(until)
			}
			continue
		}
		if now.Before(t.notBefore) {
			p.wakeAt(t.notBefore)
			continue
		}
		if !haveTickets {
			var ok bool
			if tickets, ok = p.ticketsFor(s, now); !ok {
				return
			}
			haveTickets = true
		}
		if s.spec.Gang {
			if !p.placeGang(c, tickets, now) && tickets != nil {
				p.wantAdvice(s, tickets, now)
			}
			return
		}
		b := p.chooseBackend(c, t, tickets, "", now)
		if b == nil {
			p.needsBackend = p.needsBackend || c.rank == rankServing
			if p.maxFree(c.labelIndex).Covers(c.demand) {
				p.resetMaxFree()
			}
			if !reserved {
				reserved = true
				p.reserve(c, t, now)
				if tickets != nil {
					p.wantAdvice(s, tickets, now)
				}
			}
			if !t.avoidsAny(now) {
				return
			}
			continue // another task of the step may run where this one has failed
		}
		p.start(c, t, b, p.nextAttempt(t), tickets, now)
	}
}

// gangReady reports whether all tasks of the gang may start now.
func (p *Pool) gangReady(s *step, now time.Time) bool {
	if s.idle < len(s.tasks) {
		return false
	}
	for _, t := range s.tasks {
		if now.Before(t.notBefore) {
			p.wakeAt(t.notBefore)
			return false
		}
		if p.holdsBack(t, now) {
			return false
		}
	}
	return true
}
