package basilwave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
)

// rebootDeadline is how long a host may be in maintenance before it counts as lost.
const rebootDeadline = 2 * time.Hour

// Planner plans the next safe steps; its zero value works.
type Planner struct {
	spendAll bool // keeps no reserve for the loss of a rack
}

// Plan returns the steps that may be taken now, in order; it has no side effects.
//
// Each step is judged again when it is carried out, so a plan made from an old
// state wastes work but breaks nothing.
func (l Planner) Plan(s State, now time.Time) []Step {
	p := newPlan(s, now)
	if l.spendAll {
		p.dropReserves()
	}
	p.pauseFailing()
	p.relieve()
	p.advance()
	p.takeOut()
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.Kind, b.Kind) })
	return p.steps
}

// plan is the working state of one call of Plan.
type plan struct {
	state    State
	now      time.Time
	waves    map[string]basilmodel.Wave
	pools    map[string]*poolLoad
	failures map[string]int  // lost hosts by wave, since it was last resumed
	halted   map[string]bool // waves that this plan pauses
	returned map[string]bool // hosts that this plan takes back
	adopted  map[string]bool // hand-drained hosts that this plan gives to a wave
	steps    []Step
}

func newPlan(s State, now time.Time) *plan {
	p := &plan{
		state: s, now: now,
		waves:    make(map[string]basilmodel.Wave, len(s.Waves)),
		failures: make(map[string]int),
		halted:   make(map[string]bool),
		returned: make(map[string]bool),
		adopted:  make(map[string]bool),
	}
	for _, w := range s.Waves {
		p.waves[w.Name()] = w
	}
	p.pools = loads(s)
	for _, h := range s.Hosts {
		if p.lost(h) {
			p.failures[h.Wave()]++
		}
	}
	return p
}

// lost tells whether the host failed while its wave held it.
func (p *plan) lost(h basilmodel.Host) bool {
	if h.State() != basilmodel.HostStateFailed || h.Wave() == "" {
		return false
	}
	return h.Sequence() > p.waves[h.Wave()].Resumed()
}

func (p *plan) running(wave string) bool {
	return p.waves[wave].State() == basilmodel.WaveStateRunning && p.waves[wave].Name() != "" && !p.halted[wave]
}

func (p *plan) add(k StepKind, h basilmodel.Host, reason string) {
	p.steps = append(p.steps, Step{Kind: k, Host: h.ID(), Epoch: h.Epoch(), Wave: h.Wave(), Reason: reason})
}

func (p *plan) addWave(k StepKind, w basilmodel.Wave, reason string) {
	p.steps = append(p.steps, Step{Kind: k, Wave: w.Name(), Version: w.Version(), Reason: reason})
}

// pauseFailing pauses the waves that have lost more hosts than they may.
func (p *plan) pauseFailing() {
	for _, w := range p.state.Waves {
		n := p.failures[w.Name()]
		if !p.running(w.Name()) || n <= w.FailuresAllowed() {
			continue
		}
		p.halted[w.Name()] = true
		p.addWave(StepKindPause, w, fmt.Sprintf("%d hosts failed in the wave, %d allowed", n, w.FailuresAllowed()))
	}
}

// relieve takes hosts back where failures or a new configuration have broken a
// budget: those of waves and moves that still can, the least advanced first.
func (p *plan) relieve() {
	for _, state := range []basilmodel.HostState{basilmodel.HostStateLeaving, basilmodel.HostStateDrained} {
		for _, h := range p.state.Hosts {
			if h.State() != state || h.Wave() == "" && h.Target() == "" {
				continue
			}
			l := p.pools[h.Pool()]
			if l.spare() >= 0 {
				continue
			}
			p.takeBack(h, "availability budget of pool "+h.Pool()+" is broken")
		}
	}
}

func (p *plan) takeBack(h basilmodel.Host, reason string) {
	p.returned[h.ID()] = true
	p.pools[h.Pool()].enter()
	p.add(StepKindReturn, h, reason)
}

// advance brings hosts that are out one step on.
func (p *plan) advance() {
	for _, h := range p.state.Hosts {
		if p.returned[h.ID()] {
			continue
		}
		switch h.State() {
		case basilmodel.HostStateLeaving:
			p.advanceLeaving(h)
		case basilmodel.HostStateDrained:
			p.advanceDrained(h)
		case basilmodel.HostStateMaintenance:
			p.advanceMaintenance(h)
		}
	}
}

func (p *plan) advanceLeaving(h basilmodel.Host) {
	if h.Wave() != "" && !p.running(h.Wave()) {
		p.takeBack(h, "wave "+h.Wave()+" does not run")
		return
	}
	if f := p.state.Facts[h.ID()]; f.Quiet && f.Drained {
		p.add(StepKindDrained, h, "holds no more work")
	}
}

func (p *plan) advanceDrained(h basilmodel.Host) {
	switch {
	case h.Target() != "":
		p.advanceMove(h)
	case h.Wave() == "":
		// an operator drained it by hand; a wave that selects it adopts it, see takeRack
	case p.running(h.Wave()):
		p.add(StepKindMaintain, h, "drained for wave "+h.Wave())
	default:
		p.takeBack(h, "wave "+h.Wave()+" does not run")
	}
}

func (p *plan) advanceMove(h basilmodel.Host) {
	if _, ok := p.state.Configuration.Pool(h.Target()); !ok {
		p.takeBack(h, "pool "+h.Target()+" is no longer declared")
		return
	}
	p.add(StepKindFinish, h, "moved to pool "+h.Target())
}

func (p *plan) advanceMaintenance(h basilmodel.Host) {
	f := p.state.Facts[h.ID()]
	switch {
	case f.Rebooted:
		p.add(StepKindFinish, h, "rebooted")
	case p.now.Sub(h.Since()) > rebootDeadline:
		p.add(StepKindFail, h, "reboot overdue")
	case !f.Asked:
		p.add(StepKindReboot, h, "in maintenance")
	}
}
