package basilwave

import (
	"cmp"
	"fmt"
	"slices"

	"basilstage.example/basilstage/internal/basilmodel"
)

// rackPlace names a rack.
type rackPlace struct{ dataCentre, rack string }

// rackWork is what a wave has still to do in one rack.
type rackWork struct {
	place   rackPlace
	busy    int // hosts that are out for the wave
	done    int // hosts that the wave has maintained
	waiting []*basilmodel.Host
}

// waveWork is what a wave has still to do.
type waveWork struct {
	racks   []*rackWork
	done    int
	busy    int
	pending int // hosts not maintained that the wave can still reach
}

// takeOut starts the next hosts of each running wave and completes waves with nothing left to do.
func (p *plan) takeOut() {
	for _, w := range p.state.Waves {
		if !p.running(w.Name()) {
			continue
		}
		work := survey(w, p.state.Hosts)
		if work.pending == 0 {
			p.addWave(StepKindComplete, w, fmt.Sprintf("%d hosts maintained", work.done))
			continue
		}
		p.takeRacks(w, work)
	}
}

// survey sorts the wave's hosts by rack, racks that are begun first.
func survey(w basilmodel.Wave, hosts []basilmodel.Host) waveWork {
	var work waveWork
	racks := make(map[rackPlace]*rackWork)
	for n := range hosts {
		h := &hosts[n]
		if h.State() == basilmodel.HostStateFailed || !w.Selects(*h) {
			continue
		}
		at := rackPlace{dataCentre: h.DataCentre(), rack: h.Rack()}
		r := racks[at]
		if r == nil {
			r = &rackWork{place: at}
			racks[at] = r
			work.racks = append(work.racks, r)
		}
		work.note(w, h, r)
	}
	work.racks = slices.DeleteFunc(work.racks, func(r *rackWork) bool { return r.busy == 0 && len(r.waiting) == 0 })
	slices.SortFunc(work.racks, func(a, b *rackWork) int {
		return cmp.Or(
			cmp.Compare(min(b.busy, 1), min(a.busy, 1)),
			cmp.Compare(b.done, a.done),
			cmp.Compare(a.place.dataCentre, b.place.dataCentre),
			cmp.Compare(a.place.rack, b.place.rack))
	})
	return work
}

func (k *waveWork) note(w basilmodel.Wave, h *basilmodel.Host, r *rackWork) {
	switch {
	case w.Passed(*h):
		k.done++
		r.done++
		return
	case h.Wave() == w.Name():
		k.busy++
		r.busy++
	case h.InService() || handDrained(*h):
		r.waiting = append(r.waiting, h)
	}
	k.pending++
}

// takeRacks takes hosts out rack by rack, in each data centre as many racks at a
// time as the wave allows; until the first host has come back, in one rack alone.
//
// A rack whose hosts no budget lets go is passed over, so it holds up no other.
func (p *plan) takeRacks(w basilmodel.Wave, work waveWork) {
	open := make(map[string]int)
	total := 0
	for _, r := range work.racks {
		if r.busy > 0 {
			open[r.place.dataCentre]++
			total++
		}
	}
	for _, r := range work.racks {
		if r.busy == 0 && (open[r.place.dataCentre] >= w.RackBatch() || work.done == 0 && total > 0) {
			continue
		}
		if p.takeRack(w, r) > 0 && r.busy == 0 {
			open[r.place.dataCentre]++
			total++
		}
	}
}

// takeRack takes the hosts of one rack out that the budgets allow and returns how many.
func (p *plan) takeRack(w basilmodel.Wave, r *rackWork) int {
	taken := 0
	for _, h := range r.waiting {
		l := p.pools[h.Pool()]
		if handDrained(*h) {
			taken += p.adopt(w, h)
			continue
		}
		if p.returned[h.ID()] || !l.allows(w) {
			continue
		}
		l.leave(w.Name())
		taken++
		p.steps = append(p.steps, Step{
			Kind: StepKindDrain, Host: h.ID(), Epoch: h.Epoch(), Wave: w.Name(),
			Reason: fmt.Sprintf("wave %s, data centre %s, rack %s", w.Name(), h.DataCentre(), h.Rack()),
		})
	}
	return taken
}

// handDrained tells whether an operator drained the host by hand and neither moves it nor gave it to a wave.
func handDrained(h basilmodel.Host) bool {
	return h.State() == basilmodel.HostStateDrained && h.Target() == "" && h.Wave() == ""
}

// adopt lets the wave maintain a host that an operator drained, and returns how many it took.
//
// The host is out already, so no budget is asked; two waves that select it share the one maintenance.
func (p *plan) adopt(w basilmodel.Wave, h *basilmodel.Host) int {
	if p.adopted[h.ID()] {
		return 0
	}
	p.adopted[h.ID()] = true
	p.steps = append(p.steps, Step{
		Kind: StepKindMaintain, Host: h.ID(), Epoch: h.Epoch(), Wave: w.Name(), Reason: "drained by " + h.Operator() + ", adopted by wave " + w.Name(),
	})
	return 1
}
