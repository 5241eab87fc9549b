package basilwave

import (
	"basilstage.example/basilstage/internal/basilmodel"
)

// poolLoad counts a pool's hosts for one plan.
type poolLoad struct {
	hosts        int
	available    int
	planned      int // out on purpose
	minAvailable int // the largest of the pool's services
	reserve      int // hosts of the pool in the rack that holds most of them
	waves        map[string]int
}

func (l *poolLoad) spare() int { return l.available - l.minAvailable }

func (l *poolLoad) enter() {
	l.available++
	l.planned--
}

func (l *poolLoad) leave(wave string) {
	l.available--
	l.planned++
	if l.waves == nil {
		l.waves = make(map[string]int)
	}
	l.waves[wave]++
}

// allows tells whether the wave may take one more host out of the pool.
//
// Besides the budget it keeps a reserve for the loss of one rack, unless that
// would keep the wave from taking any host at all.
func (l *poolLoad) allows(w basilmodel.Wave) bool {
	after := l.spare() - 1
	if after < 0 || after < l.reserve && l.planned > 0 {
		return false
	}
	if w.MaxShare() == 0 || l.waves[w.Name()] == 0 {
		return true
	}
	return float64(l.waves[w.Name()]+1) <= w.MaxShare()*float64(l.hosts)
}

func (p *plan) dropReserves() {
	for _, l := range p.pools {
		l.reserve = 0
	}
}

// loads counts the hosts of all pools.
func loads(s State) map[string]*poolLoad {
	type place struct{ pool, dataCentre, rack string }
	pools := make(map[string]*poolLoad)
	racks := make(map[place]int, len(s.Hosts))
	for n := range s.Hosts {
		h := &s.Hosts[n]
		l := pools[h.Pool()]
		if l == nil {
			l = &poolLoad{}
			pools[h.Pool()] = l
		}
		l.count(h)
		at := place{pool: h.Pool(), dataCentre: h.DataCentre(), rack: h.Rack()}
		count := racks[at] + 1
		racks[at] = count
		l.reserve = max(l.reserve, count)
	}
	for _, v := range s.Configuration.Services() {
		if l := pools[v.Pool]; l != nil {
			l.minAvailable = max(l.minAvailable, v.MinAvailable)
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
			if l.waves == nil {
				l.waves = make(map[string]int)
			}
			l.waves[h.Wave()]++
		}
	}
}
