package basilwave

import (
	"cmp"
	"fmt"
	"slices"

	"basilstage.example/basilstage/internal/basilmodel"
)

// rackKey identifies a rack.
type rackKey struct{ dataCentre, rack string }

// rackWork counts the hosts of a wave in one rack and lists those still to be maintained.
type rackWork struct {
	key     rackKey
	busy    int // out of service for the wave
	done    int // maintained since the wave was started
	waiting []*basilmodel.Host
}

// waveWork counts the hosts of a wave and lists the racks with work left.
type waveWork struct {
	racks   []*rackWork
	done    int
	busy    int
	pending int // still to be maintained, including busy ones; without failed hosts
}

// planDrains plans the next drains of each running wave, and completes waves without pending hosts.
func (p *plan) planDrains() {
	for _, w := range p.state.Waves {
		if !p.running(w.Name()) {
			continue
		}
		work := newWaveWork(w, p.state.Hosts)
		if work.pending == 0 {
			p.addWaveStep(StepKindComplete, w, fmt.Sprintf("%d hosts maintained", work.done))
			continue
		}
		p.drainRacks(w, work)
	}
}

// newWaveWork groups the wave's hosts by rack. Racks in progress come first, then those
// with the most maintained hosts, so that a started rack is finished before another.
func newWaveWork(w basilmodel.Wave, hosts []basilmodel.Host) waveWork {
	var work waveWork
	racks := make(map[rackKey]*rackWork)
	for n := range hosts {
		h := &hosts[n]
		if h.State() == basilmodel.HostStateFailed || !w.Selects(*h) {
			continue
		}
		key := rackKey{dataCentre: h.DataCentre(), rack: h.Rack()}
		r := racks[key]
		if r == nil {
			r = &rackWork{key: key}
			racks[key] = r
			work.racks = append(work.racks, r)
		}
		work.count(w, h, r)
	}
	work.racks = slices.DeleteFunc(work.racks, func(r *rackWork) bool { return r.busy == 0 && len(r.waiting) == 0 })
	slices.SortFunc(work.racks, func(a, b *rackWork) int {
		return cmp.Or(
			cmp.Compare(min(b.busy, 1), min(a.busy, 1)),
			cmp.Compare(b.done, a.done),
			cmp.Compare(a.key.dataCentre, b.key.dataCentre),
			cmp.Compare(a.key.rack, b.key.rack))
	})
	return work
}

func (work *waveWork) count(w basilmodel.Wave, h *basilmodel.Host, r *rackWork) {
	switch {
	case w.Passed(*h):
		work.done++
		r.done++
		return
	case h.Wave() == w.Name():
		work.busy++
		r.busy++
	case h.InService() || drainedByOperator(*h):
		r.waiting = append(r.waiting, h)
	}
	work.pending++
}

// drainRacks plans the drains of a wave rack by rack, with at most RackBatch racks
// of a data centre in progress at once. Until the first host has been maintained,
// only one rack in total is in progress.
//
// A rack whose hosts can't be taken within the budgets is skipped and doesn't
// block the others.
func (p *plan) drainRacks(w basilmodel.Wave, work waveWork) {
	busyRacks := make(map[string]int)
	totalBusy := 0
	for _, r := range work.racks {
		if r.busy > 0 {
			busyRacks[r.key.dataCentre]++
			totalBusy++
		}
	}
	for _, r := range work.racks {
		if r.busy == 0 && (busyRacks[r.key.dataCentre] >= w.RackBatch() || work.done == 0 && totalBusy > 0) {
			continue
		}
		if p.drainRack(w, r) > 0 && r.busy == 0 {
			busyRacks[r.key.dataCentre]++
			totalBusy++
		}
	}
}

// drainRack plans the drains in one rack that the budgets allow, adopts its hosts
// drained by operators, and returns the number of both.
func (p *plan) drainRack(w basilmodel.Wave, r *rackWork) int {
	planned := 0
	for _, h := range r.waiting {
		l := p.pools[h.Pool()]
		if drainedByOperator(*h) {
			planned += p.adopt(w, h)
			continue
		}
		if p.returning[h.ID()] || !l.allowsDrain(w) {
			continue
		}
		l.addPlanned(w.Name())
		planned++
		p.steps = append(p.steps, Step{
			Kind: StepKindDrain, Host: h.ID(), Epoch: h.Epoch(), Wave: w.Name(),
			Reason: fmt.Sprintf("wave %s, data centre %s, rack %s", w.Name(), h.DataCentre(), h.Rack()),
		})
	}
	return planned
}

// drainedByOperator reports whether an operator drained the host, and it neither moves
// to another pool nor belongs to a wave.
func drainedByOperator(h basilmodel.Host) bool {
	return h.State() == basilmodel.HostStateDrained && h.Target() == "" && h.Wave() == ""
}

// adopt plans the maintenance of a host that an operator drained, and returns the
// number of hosts adopted: 0 if another wave adopts the host in this plan.
//
// No budget is checked, since the host is out of service already. One maintenance
// counts for all waves that select the host.
func (p *plan) adopt(w basilmodel.Wave, h *basilmodel.Host) int {
	if p.adopting[h.ID()] {
		return 0
	}
	p.adopting[h.ID()] = true
	p.steps = append(p.steps, Step{
		Kind: StepKindMaintain, Host: h.ID(), Epoch: h.Epoch(), Wave: w.Name(), Reason: "drained by " + h.Operator() + ", adopted by wave " + w.Name(),
	})
	return 1
}
