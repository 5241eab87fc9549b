package basilnode_test

import (
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

// harm causes a failure beside which tasks of cancelled jobs may go on.
func (p *cancelPlay) harm(s cancelStep, h *entryHost) {
	owner := p.hosts[p.owner("stretch")]
	switch s.kind {
	case "answers lost":
		p.storeFault(s.last, basilfake.StoreFaults{LoseAnswers: true})
	case "some answers lost":
		p.storeFault(s.last, basilfake.StoreFaults{LoseAnswers: true, LoseShare: 0.4})
	case "writes late":
		p.storeFault(s.last, basilfake.StoreFaults{LateBy: min(s.last, maxLateBy)})
	case "store silent":
		p.storeFault(s.last, basilfake.StoreFaults{Silent: true})
	case "store busy":
		p.storeFault(s.last, basilfake.StoreFaults{Busy: true})
	case "store slow":
		p.storeFault(s.last, basilfake.StoreFaults{Delay: 300 * time.Millisecond})
	case "store crowded":
		p.site.Store.SetLimits(basilfake.StoreLimits{PartWrites: 10, Takes: 30 * time.Millisecond})
		time.AfterFunc(s.last, func() { p.site.Store.SetLimits(basilfake.StoreLimits{}) })
	case "watch silent":
		p.storeFault(s.last, basilfake.StoreFaults{SilentJobs: true})
	case "history dropped":
		p.site.Store.DropHistory()
	case "cut":
		h.cutFor(s.last)
	case "owner cut":
		owner.cutFor(s.last)
	case "turned away":
		h.turnAwayFor(s.last)
	case "owner turned away":
		owner.turnAwayFor(s.last)
	case "owner busy":
		if owner != nil {
			owner.node.Occupy("stretch", s.last)
		}
	case "calls late":
		h.link.Hold(s.last)
	case "owner's calls late":
		if owner != nil {
			owner.link.Hold(s.last)
		}
	default:
		p.harmBackends(s)
	}
}

// cutFor cuts an entry host off for a while.
func (h *entryHost) cutFor(d time.Duration) {
	if h == nil {
		return
	}
	h.link.SetCut(true)
	time.AfterFunc(d, func() {
		select {
		case <-h.done: // stays cut
		default:
			h.link.SetCut(false)
		}
	})
}

// turnAwayFor has the store refuse the calls of an entry host for a while.
func (h *entryHost) turnAwayFor(d time.Duration) {
	if h != nil {
		h.link.Refuse(basilfake.StoreAddress)
		time.AfterFunc(d, func() { h.link.Refuse("") })
	}
}

// harmBackends causes a failure of one backend server or, with an even number of a host, of all.
func (p *cancelPlay) harmBackends(s cancelStep) {
	list := append(p.site.Backends("stretch"), p.site.Backends("press")...)
	if len(list) == 0 {
		return
	}
	if s.host%2 == 1 {
		list = list[s.host%len(list):][:1]
	}
	for _, b := range list {
		var f basilfake.BackendFaults
		switch s.kind {
		case "backend crash":
			p.site.Crash(b, s.last)
			continue
		case "backend reborn":
			p.site.Reborn(b)
			continue
		case "starts slow":
			f = basilfake.BackendFaults{SlowBy: 600 * time.Millisecond}
		case "starts late":
			f = basilfake.BackendFaults{LateBy: 2 * time.Second}
		case "some starts late":
			f = basilfake.BackendFaults{LateBy: 2500 * time.Millisecond, Every: 3}
		case "late after rebirth":
			f = basilfake.BackendFaults{LateBy: 2 * time.Second, Every: 2, Reborn: true}
		case "stops lost":
			f = basilfake.BackendFaults{Stops: 3}
		}
		p.site.SetFaults(b, f)
		time.AfterFunc(s.last, func() { p.site.SetFaults(b, basilfake.BackendFaults{}) })
	}
}
