package basilpool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
)

// Limits of the capacity policy.
const (
	maintenanceSlack = 1               // hosts above the budget, so that maintenance can go on
	returnBand       = 2               // surplus hosts that a pool must have before it gives one up
	replaceAfter     = 2 * time.Minute // how long a failed host may take to come back
	maxMovesAtOnce   = 4               // hosts on their way between pools
)

// CapacityState is what capacity decisions are made from.
type CapacityState struct {
	Hosts         []basilmodel.Host
	Configuration basilmodel.Configuration
	Demand        *DemandSketch // nil when nothing is known of it
}

// Proposal is a move that would put capacity where it is needed.
type Proposal struct {
	Host   string
	Epoch  int64
	Target string
	Reason string
}

// poolNeed weighs what a pool has against what it needs.
type poolNeed struct {
	pool      basilmodel.Pool
	floor     int // hosts in service that its budgets ask for
	need      int // hosts
	have      int // hosts that are there, come back soon or are on their way in
	available int
	active    []basilmodel.Host
}

func (n *poolNeed) surplus() int { return n.have - n.need }

// Decide returns the moves to start now; it has no side effects.
//
// A peak is over before a move can end, so peaks are met by one buffer that all
// services share in the spare pool, and moves only follow what lasts: each pool
// keeps what its budgets and its sustained demand ask for, and all other hosts
// gather in the spare pool. A pool gives hosts up only when it has a band of them
// too many, and hardly any move at once, since each costs a drain.
func Decide(s CapacityState, now time.Time) []Proposal {
	needs, spare := weigh(s, now)
	if spare == nil {
		return nil
	}
	budget := maxMovesAtOnce - moving(s.Hosts)
	var proposals []Proposal
	for _, n := range needs {
		for n != spare && n.surplus() < 0 && budget > 0 && spare.surplus() > 0 {
			p, ok := propose(spare, n, fmt.Sprintf("pool %s has %d hosts, needs %d", n.pool.Name, n.have, n.need))
			if !ok {
				break
			}
			proposals = append(proposals, p)
			budget--
		}
	}
	if !s.Demand.Learnt(now) { // an entry host that has just taken over knows no demand
		return proposals
	}
	buffer := Buffer(s)
	for _, n := range needs {
		for n != spare && budget > 0 && n.surplus() >= band(spare, buffer) {
			p, ok := propose(n, spare, fmt.Sprintf("pool %s has %d hosts, needs %d", n.pool.Name, n.have, n.need))
			if !ok {
				break
			}
			proposals = append(proposals, p)
			budget--
		}
	}
	return proposals
}

// Buffer returns how many hosts the spare pool should hold beyond its own need.
func Buffer(s CapacityState) int {
	if s.Demand == nil {
		return 0
	}
	return s.Demand.Overflow()
}

// band returns the surplus from which a pool gives up a host: any while the buffer is short.
func band(spare *poolNeed, buffer int) int {
	if spare.surplus() < buffer {
		return 1
	}
	return returnBand
}

// weigh returns the needs of all declared pools in their order, and the spare one's.
func weigh(s CapacityState, now time.Time) (needs []*poolNeed, spare *poolNeed) {
	byName := make(map[string]*poolNeed)
	for _, p := range s.Configuration.Pools() {
		n := &poolNeed{pool: p, need: p.MinHosts}
		for _, v := range s.Configuration.ServicesIn(p.Name) {
			n.floor = max(n.floor, v.MinAvailable)
		}
		n.need = max(n.need, n.floor+maintenanceSlack)
		if s.Demand != nil {
			n.need = max(n.need, s.Demand.Sustained(p.Name))
		}
		if p.Spare {
			spare = n
		}
		byName[p.Name] = n
		needs = append(needs, n)
	}
	for _, h := range s.Hosts {
		count(byName, h, now)
	}
	return needs, spare
}

func count(needs map[string]*poolNeed, h basilmodel.Host, now time.Time) {
	at := h.Pool()
	if h.Target() != "" {
		at = h.Target()
	}
	n := needs[at]
	if n == nil || h.State() == basilmodel.HostStateFailed && now.Sub(h.Since()) > replaceAfter {
		return
	}
	n.have++
	if h.InService() {
		n.available++
		n.active = append(n.active, h)
	}
}

func moving(hosts []basilmodel.Host) int {
	moving := 0
	for _, h := range hosts {
		if h.Target() != "" {
			moving++
		}
	}
	return moving
}

// propose picks the host to move; there is none when a budget would break.
func propose(from, to *poolNeed, reason string) (Proposal, bool) {
	if len(from.active) == 0 || from.available-1 < from.floor || from.have-1 < from.pool.MinHosts {
		return Proposal{}, false
	}
	n := pick(from.active)
	h := from.active[n]
	from.active = slices.Delete(slices.Clone(from.active), n, n+1)
	from.available--
	from.have--
	to.have++
	return Proposal{Host: h.ID(), Epoch: h.Epoch(), Target: to.pool.Name, Reason: reason}, true
}

// pick chooses from the rack and data centre that hold most of the pool, so that
// what stays is spread over failure domains.
func pick(hosts []basilmodel.Host) int {
	type place struct{ dataCentre, rack string }
	centres := make(map[string]int)
	racks := make(map[place]int)
	for _, h := range hosts {
		centres[h.DataCentre()]++
		racks[place{h.DataCentre(), h.Rack()}]++
	}
	best := 0
	for n, h := range hosts {
		b := hosts[best]
		order := cmp.Or(
			cmp.Compare(racks[place{h.DataCentre(), h.Rack()}], racks[place{b.DataCentre(), b.Rack()}]),
			cmp.Compare(centres[h.DataCentre()], centres[b.DataCentre()]))
		if order > 0 {
			best = n
		}
	}
	return best
}
