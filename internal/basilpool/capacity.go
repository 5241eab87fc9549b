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
	maintenanceReserve = 1               // hosts kept above the budget, so that maintenance can proceed
	releaseSurplus     = 2               // surplus at which a pool releases a host
	replaceAfter       = 2 * time.Minute // how long a failed host counts as present, since it may come back
	maxConcurrentMoves = 4               // limit of concurrent moves
)

// CapacityState is the input of a capacity decision.
type CapacityState struct {
	Hosts         []basilmodel.Host
	Configuration basilmodel.Configuration
	Demand        *DemandSketch // nil if unknown
}

// Proposal is a proposed move of a host to a pool that needs capacity.
type Proposal struct {
	Host   string
	Epoch  int64
	Target string
	Reason string
}

// poolNeed compares the hosts that a pool has with those that it needs.
type poolNeed struct {
	pool         basilmodel.Pool
	minAvailable int // hosts in service required by the budgets of its services
	need         int // hosts needed
	present      int // hosts in the pool, moving to it, or failed for less than replaceAfter
	available    int
	active       []basilmodel.Host
}

func (n *poolNeed) surplus() int { return n.present - n.need }

// ProposeMoves returns the moves to start now; it has no side effects.
//
// A peak is over before a move completes, so peaks are served by a buffer in the spare pool that all services share,
// and moves follow sustained demand only: each pool keeps the hosts that its budgets and sustained demand require, and
// all others go to the spare pool. Each move costs a drain, so a pool releases hosts only above a minimum surplus, and
// few hosts move at once.
func ProposeMoves(s CapacityState, now time.Time) []Proposal {
	needs, spare := poolNeeds(s, now)
	if spare == nil {
		return nil
	}
	budget := maxConcurrentMoves - countMoves(s.Hosts)
	var proposals []Proposal
	for _, n := range needs {
		for n != spare && n.surplus() < 0 && budget > 0 && spare.surplus() > 0 {
			p, ok := proposeMove(spare, n, fmt.Sprintf("pool %s has %d hosts, needs %d", n.pool.Name, n.present, n.need))
			if !ok {
				break
			}
			proposals = append(proposals, p)
			budget--
		}
	}
	if !s.Demand.HasHistory(now) { // an entry host that has just taken over has no demand history
		return proposals
	}
	buffer := Buffer(s)
	for _, n := range needs {
		for n != spare && budget > 0 && n.surplus() >= releaseThreshold(spare, buffer) {
			p, ok := proposeMove(n, spare, fmt.Sprintf("pool %s has %d hosts, needs %d", n.pool.Name, n.present, n.need))
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

// releaseThreshold returns the surplus at which a pool releases a host; any surplus is enough while the buffer in the spare
// pool is short.
func releaseThreshold(spare *poolNeed, buffer int) int {
	if spare.surplus() < buffer {
		return 1
	}
	return releaseSurplus
}

// poolNeeds returns the needs of all declared pools in their declared order, and that of the spare pool, nil if there is
// none.
func poolNeeds(s CapacityState, now time.Time) (needs []*poolNeed, spare *poolNeed) {
	byName := make(map[string]*poolNeed)
	for _, p := range s.Configuration.Pools() {
		n := &poolNeed{pool: p, need: p.MinHosts}
		for _, v := range s.Configuration.ServicesIn(p.Name) {
			n.minAvailable = max(n.minAvailable, v.MinAvailable)
		}
		n.need = max(n.need, n.minAvailable+maintenanceReserve)
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
		countHost(byName, h, now)
	}
	return needs, spare
}

func countHost(needs map[string]*poolNeed, h basilmodel.Host, now time.Time) {
	at := h.Pool()
	if h.Target() != "" {
		at = h.Target()
	}
	n := needs[at]
	if n == nil || h.State() == basilmodel.HostStateFailed && now.Sub(h.Since()) > replaceAfter {
		return
	}
	n.present++
	if h.InService() {
		n.available++
		n.active = append(n.active, h)
	}
}

func countMoves(hosts []basilmodel.Host) int {
	moving := 0
	for _, h := range hosts {
		if h.Target() != "" {
			moving++
		}
	}
	return moving
}

// proposeMove picks a host to move; ok is false if a move would violate a budget or the pool's minimum size.
func proposeMove(from, to *poolNeed, reason string) (Proposal, bool) {
	if len(from.active) == 0 || from.available-1 < from.minAvailable || from.present-1 < from.pool.MinHosts {
		return Proposal{}, false
	}
	n := pickHost(from.active)
	h := from.active[n]
	from.active = slices.Delete(slices.Clone(from.active), n, n+1)
	from.available--
	from.present--
	to.present++
	return Proposal{Host: h.ID(), Epoch: h.Epoch(), Target: to.pool.Name, Reason: reason}, true
}

// pickHost returns the index of a host in the rack, then data centre, with the most hosts of the pool, so that the remaining
// hosts stay spread over failure domains.
func pickHost(hosts []basilmodel.Host) int {
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
