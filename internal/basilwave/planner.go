package basilwave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
)

// rebootDeadline is how long a host may be in maintenance before it is marked as failed.
const rebootDeadline = 2 * time.Hour

// Planner plans the next safe steps of waves and moves. Its zero value is ready to use.
type Planner struct {
	noReserve bool // keep no reserve for the loss of a rack
}

// Plan returns the steps that are possible now, in order of execution. It has no side effects.
//
// Each step is checked again when it is executed, so a plan made from an outdated
// state wastes work but violates no budget.
func (l Planner) Plan(s State, now time.Time) []Step {
	p := newPlan(s, now)
	if l.noReserve {
		p.dropReserves()
	}
	p.pauseFailingWaves()
	p.restoreBudgets()
	p.advanceHosts()
	p.planDrains()
	slices.SortStableFunc(p.steps, func(a, b Step) int { return cmp.Compare(a.Kind, b.Kind) })
	return p.steps
}

// plan is the working state of one call of Plan.
type plan struct {
	state     State
	now       time.Time
	waves     map[string]basilmodel.Wave
	pools     map[string]*poolLoad
	failures  map[string]int  // by wave: hosts that failed in it since it was last resumed
	pausing   map[string]bool // waves that this plan pauses
	returning map[string]bool // hosts that this plan returns to service
	adopting  map[string]bool // hosts drained by an operator that this plan assigns to a wave
	steps     []Step
}

func newPlan(s State, now time.Time) *plan {
	p := &plan{
		state: s, now: now,
		waves:     make(map[string]basilmodel.Wave, len(s.Waves)),
		failures:  make(map[string]int),
		pausing:   make(map[string]bool),
		returning: make(map[string]bool),
		adopting:  make(map[string]bool),
	}
	for _, w := range s.Waves {
		p.waves[w.Name()] = w
	}
	p.pools = poolLoads(s)
	for _, h := range s.Hosts {
		if p.failedInWave(h) {
			p.failures[h.Wave()]++
		}
	}
	return p
}

// failedInWave reports whether the host failed while it was out for a wave, after the
// wave was last resumed.
func (p *plan) failedInWave(h basilmodel.Host) bool {
	if h.State() != basilmodel.HostStateFailed || h.Wave() == "" {
		return false
	}
	return h.Sequence() > p.waves[h.Wave()].Resumed()
}

func (p *plan) running(wave string) bool {
	return p.waves[wave].State() == basilmodel.WaveStateRunning && p.waves[wave].Name() != "" && !p.pausing[wave]
}

func (p *plan) addHostStep(k StepKind, h basilmodel.Host, reason string) {
	p.steps = append(p.steps, Step{Kind: k, Host: h.ID(), Epoch: h.Epoch(), Wave: h.Wave(), Reason: reason})
}

func (p *plan) addWaveStep(k StepKind, w basilmodel.Wave, reason string) {
	p.steps = append(p.steps, Step{Kind: k, Wave: w.Name(), Version: w.Version(), Reason: reason})
}

// pauseFailingWaves pauses the running waves in which more hosts failed than they allow.
func (p *plan) pauseFailingWaves() {
	for _, w := range p.state.Waves {
		n := p.failures[w.Name()]
		if !p.running(w.Name()) || n <= w.FailuresAllowed() {
			continue
		}
		p.pausing[w.Name()] = true
		p.addWaveStep(StepKindPause, w, fmt.Sprintf("%d hosts failed in the wave, %d allowed", n, w.FailuresAllowed()))
	}
}

// restoreBudgets returns hosts to service in pools whose budget is exceeded by failures
// or by a new configuration. Only hosts that are leaving or drained for a wave or
// a move can return; leaving ones are first, since they have advanced least.
func (p *plan) restoreBudgets() {
	for _, state := range []basilmodel.HostState{basilmodel.HostStateLeaving, basilmodel.HostStateDrained} {
		for _, h := range p.state.Hosts {
			if h.State() != state || h.Wave() == "" && h.Target() == "" {
				continue
			}
			l := p.pools[h.Pool()]
			if l.surplus() >= 0 {
				continue
			}
			p.returnToService(h, "availability budget of pool "+h.Pool()+" is broken")
		}
	}
}

func (p *plan) returnToService(h basilmodel.Host, reason string) {
	p.returning[h.ID()] = true
	p.pools[h.Pool()].addAvailable()
	p.addHostStep(StepKindReturn, h, reason)
}

// advanceHosts plans the next step of each host that is out of service.
func (p *plan) advanceHosts() {
	for _, h := range p.state.Hosts {
		if p.returning[h.ID()] {
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
		p.returnToService(h, "wave "+h.Wave()+" does not run")
		return
	}
	if f := p.state.Facts[h.ID()]; f.NoNewWork && f.Drained {
		p.addHostStep(StepKindDrained, h, "holds no more work")
	}
}

func (p *plan) advanceDrained(h basilmodel.Host) {
	switch {
	case h.Target() != "":
		p.advanceMove(h)
	case h.Wave() == "":
		// drained by an operator; a wave that selects it adopts it, see drainRack
	case p.running(h.Wave()):
		p.addHostStep(StepKindMaintain, h, "drained for wave "+h.Wave())
	default:
		p.returnToService(h, "wave "+h.Wave()+" does not run")
	}
}

func (p *plan) advanceMove(h basilmodel.Host) {
	if _, ok := p.state.Configuration.Pool(h.Target()); !ok {
		p.returnToService(h, "pool "+h.Target()+" is no longer declared")
		return
	}
	p.addHostStep(StepKindFinish, h, "moved to pool "+h.Target())
}

func (p *plan) advanceMaintenance(h basilmodel.Host) {
	f := p.state.Facts[h.ID()]
	switch {
	case f.Rebooted:
		p.addHostStep(StepKindFinish, h, "rebooted")
	case p.now.Sub(h.Since()) > rebootDeadline:
		p.addHostStep(StepKindFail, h, "reboot overdue")
	case !f.RebootRequested:
		p.addHostStep(StepKindReboot, h, "in maintenance")
	}
}
