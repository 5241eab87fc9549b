package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// reservedPart says that at most one in so many backend servers is kept for a task that waits for room.
const reservedPart = 3

// noRoom holds nothing, not even what demands nothing.
var noRoom = basilwork.Room{CPU: -1, Memory: -1, GPU: -1}

// room is where a decision may place tasks.
type room struct {
	open  []*backend  // usable and with room for the least task that waits, by id
	kept  int         // from lesser work
	ahead int         // steps that may still be looked at for their tickets, without room for them
	asks  int         // steps that may still wait for tickets
	most  []labelRoom // by label, as numbered by the waiting steps
}

// labelRoom is the most room for short tasks that need a label: no open backend server for them has more free of anything.
type labelRoom struct {
	basilwork.Room
	known bool
}

// findRoom looks where tasks may be placed.
func (p *Pool) findRoom(now time.Time) {
	p.room.open = p.room.open[:0]
	p.room.kept = 0
	p.room.ahead, p.room.asks = min(adviceAhead, p.waiting.advised), adviceAsks
	for _, b := range p.list {
		if b.free().Holds(p.waiting.least) && b.usable(now) {
			b.kept, b.avoided = false, p.slow(b, now)
			p.room.open = append(p.room.open, b)
		}
	}
	p.measure()
}

// measure has the room that is left worked out anew.
func (p *Pool) measure() {
	p.room.most = append(p.room.most[:0], make([]labelRoom, len(p.waiting.labels))...)
}

// most returns the most room that is left for short tasks that need the label.
func (p *Pool) most(label int) basilwork.Room {
	r := &p.room.most[label]
	if r.known {
		return r.Room
	}
	r.Room, r.known = noRoom, true
	for _, b := range p.room.open {
		if b.kept || b.avoided || !b.hasLabel(p.waiting.labels[label]) {
			continue
		}
		f := b.free()
		r.Room = basilwork.Room{CPU: max(r.CPU, f.CPU), Memory: max(r.Memory, f.Memory), GPU: max(r.GPU, f.GPU)}
	}
	return r.Room
}

// full tells whether there is no room for any short task that waits.
func (p *Pool) full() bool {
	for label := range p.waiting.labels {
		if p.most(label).Holds(p.waiting.least) {
			return false
		}
	}
	return true
}

// place gives waiting tasks to backend servers, until there is no room for any that waits.
func (p *Pool) place(now time.Time) {
	p.findRoom(now)
	for n := range p.waiting.list {
		c := &p.waiting.list[n]
		switch {
		case len(p.actions.Starts) >= p.allowed:
			return
		case c.rank == rankServing, p.most(c.label).Holds(c.demand):
			p.placeStep(c, now)
		case c.advised && p.room.ahead > 0:
			p.room.ahead--
			p.placeStep(c, now)
		case p.room.ahead == 0 && p.full():
			return
		case c.rank == rankOnTime && !c.advised && p.mayKeep():
			p.placeStep(c, now)
		}
	}
}

// placeStep places the step's tasks as far as there is room; a gang waits until all of it can start.
func (p *Pool) placeStep(c *candidate, now time.Time) {
	s := c.step
	if !s.waits() || s.occurrence.job.adopted && len(p.unsettled) > 0 || s.spec.Gang && !p.gangWaits(s, now) {
		return
	}
	var tickets map[string]string
	asked := false
	for n := s.first; n < len(s.tasks); n++ {
		t := s.tasks[n]
		if len(p.actions.Starts) >= p.allowed {
			return
		}
		if !t.idle() {
			if n == s.first {
				s.first++
			}
			continue
		}
		if now.Before(t.notBefore) {
			p.wakeAt(t.notBefore)
			continue
		}
		if !asked {
			var ok bool
			if tickets, ok = p.ticketsFor(s, now); !ok {
				return
			}
			asked = true
		}
		if s.spec.Gang {
			p.placeGang(c, tickets, now)
			return
		}
		b := p.choose(c, t, tickets, "", now)
		if b == nil {
			p.cramped = p.cramped || c.rank == rankServing
			if p.most(c.label).Holds(c.demand) {
				p.measure()
			}
			p.reserve(c, t, now)
			return
		}
		p.start(c, t, b, p.nextAttempt(t), tickets, now)
	}
}

// gangWaits tells whether all of the gang may be started now.
func (p *Pool) gangWaits(s *step, now time.Time) bool {
	if s.idle < len(s.tasks) {
		return false
	}
	for _, t := range s.tasks {
		if now.Before(t.notBefore) {
			p.wakeAt(t.notBefore)
			return false
		}
	}
	return true
}

func (p *Pool) mayKeep() bool { return p.room.kept < len(p.list)/reservedPart }

// reserve keeps the backend server that will soonest have room from lesser work, so that a
// large task isn't passed by small ones for ever. For one that is to be at work always, a server is kept however many are.
func (p *Pool) reserve(c *candidate, t *task, now time.Time) {
	serving := c.rank == rankServing
	if !serving && (c.rank != rankOnTime || !p.mayKeep()) || p.most(c.label) == noRoom {
		return
	}
	var best *backend
	for _, b := range p.room.open {
		if b.kept || !b.hasLabel(c.step.spec.Label) || !b.Room.Holds(c.demand) || !c.step.mayJoin(b) || p.avoids(t, b, now) {
			continue
		}
		if b.free().Holds(c.demand) {
			return // it isn't room that the task waits for
		}
		if best == nil || b.lacks(c.demand) < best.lacks(c.demand) {
			best = b
		}
	}
	if best != nil {
		best.kept = true
		p.room.kept++
		p.measure()
	}
}

// lacks returns the largest share of the backend server's room of one kind that is to become free for the demand.
func (b *backend) lacks(demand basilwork.Room) float64 {
	missing := demand.Sub(b.free())
	share := func(lacking, all int) float64 { return float64(max(lacking, 0)) / float64(max(all, 1)) }
	return max(share(missing.CPU, b.Room.CPU), share(missing.Memory, b.Room.Memory), share(missing.GPU, b.Room.GPU))
}
