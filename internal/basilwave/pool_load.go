package basilwave

import (
	"basilstage.example/basilstage/internal/basilmodel"
)

// poolLoad counts a pool's hosts and, while a plan is made, the planned changes.
type poolLoad struct {
	hosts         int
	available     int
	planned       int // out of service for a wave, a move or an operator
	minAvailable  int // largest minimum of the pool's services
	reserve       int // hosts lost if the rack with most of the pool's hosts fails
	plannedByWave map[string]int
}

func (l *poolLoad) surplus() int { return l.available - l.minAvailable }

func (l *poolLoad) addAvailable() {
	l.available++
	l.planned--
}

func (l *poolLoad) addPlanned(wave string) {
	l.available--
	l.planned++
	if l.plannedByWave == nil {
		l.plannedByWave = make(map[string]int)
	}
	l.plannedByWave[wave]++
}

// allowsDrain reports whether the wave may take one more host of the pool out of service.
//
// In addition to the budget it keeps a reserve for the loss of one rack. While no
// host is out on purpose the reserve doesn't apply, since it could otherwise block
// the wave for good.
func (l *poolLoad) allowsDrain(w basilmodel.Wave) bool {
	after := l.surplus() - 1
	if after < 0 || after < l.reserve && l.planned > 0 {
		return false
	}
	if w.MaxShare() == 0 || l.plannedByWave[w.Name()] == 0 {
		return true
	}
	return float64(l.plannedByWave[w.Name()]+1) <= w.MaxShare()*float64(l.hosts)
}

func (p *plan) dropReserves() {
	for _, l := range p.pools {
		l.reserve = 0
	}
}

// poolLoads returns the counts of all pools that have hosts.
func poolLoads(s State) map[string]*poolLoad {
	type poolRack struct{ pool, dataCentre, rack string }
	pools := make(map[string]*poolLoad)
	racks := make(map[poolRack]int, len(s.Hosts))
	for n := range s.Hosts {
		h := &s.Hosts[n]
		l := pools[h.Pool()]
		if l == nil {
			l = &poolLoad{}
			pools[h.Pool()] = l
		}
		l.count(h)
		rack := poolRack{pool: h.Pool(), dataCentre: h.DataCentre(), rack: h.Rack()}
		count := racks[rack] + 1
		racks[rack] = count
		l.reserve = max(l.reserve, count)
	}
	for _, service := range s.Configuration.Services() {
		if l := pools[service.Pool]; l != nil {
			l.minAvailable = max(l.minAvailable, service.MinAvailable)
		}
	}
	return pools
}

func (l *poolLoad) count(h *basilmodel.Host) {
	l.hosts++
	switch {
	case h.InService():
		l.available++
	case h.Cause() != basilmodel.OutCauseFailure:
		l.planned++
		if h.Wave() != "" {
			if l.plannedByWave == nil {
				l.plannedByWave = make(map[string]int)
			}
			l.plannedByWave[h.Wave()]++
		}
	}
}
