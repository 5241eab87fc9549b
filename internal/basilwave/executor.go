package basilwave

import (
	"context"
	"maps"
	"time"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
)

// executorOperator is the operator that the trail names for steps of the executor.
const executorOperator = "executor"

// maxStepsPerPass bounds how many steps one pass carries out.
const maxStepsPerPass = 64

// replanInterval is the longest time without a new plan; only overdue reboots need it.
const replanInterval = time.Minute

// decideInterval is the time between decisions on capacity.
const decideInterval = 10 * time.Second

// defaultGrace is how long after a host's leaving other data centres may still send it work.
const defaultGrace = 3 * time.Second

// Acks tells what the entry members have applied.
type Acks interface {
	// Applied tells whether every entry member of the host's data centre has
	// applied the host's epoch, or was declared gone by the platform.
	Applied(h basilmodel.Host) bool
}

// Summary counts what one pass did.
type Summary struct {
	Planned int // steps in the plan
	Done    int // steps carried out
	Raced   int // steps that another change had overtaken
	Refused int // steps that a budget or the platform refused
}

// Executor carries out the steps of waves and moves.
//
// Any number may run at once and any may be stopped between two steps: each step
// is one transaction, bound to the epoch of its host, and the next pass of any
// executor plans on from what the table holds. An Executor is for one goroutine.
type Executor struct {
	pools   *basilpool.Pools
	waves   *Waves
	control basilplatform.HostControl
	acks    Acks
	replica *basilpool.Replica
	planner Planner
	grace   time.Duration
	watched map[string]watch
	idle    idleness
	demand  *basilpool.DemandSketch // nil leaves capacity alone
	decided time.Time               // when capacity was last decided on
}

// idleness is what the last plan was made from, when it had no steps.
type idleness struct {
	at       time.Time // zero when the last plan had steps
	sequence int64
	facts    map[string]Facts
}

// holds tells whether a new plan would have no steps either.
func (i idleness) holds(sequence int64, facts map[string]Facts, now time.Time) bool {
	return !i.at.IsZero() && now.Sub(i.at) < replanInterval && sequence == i.sequence && maps.Equal(facts, i.facts)
}

// watch is what this executor remembers of a host that is out, for one epoch.
type watch struct {
	epoch int64
	since time.Time // when this executor first saw the epoch
	asked bool      // this executor has asked for the reboot
}

// NewExecutor returns an executor that changes hosts and waves through the given ports.
func NewExecutor(p *basilpool.Pools, w *Waves, c basilplatform.HostControl, a Acks) *Executor {
	return &Executor{
		pools: p, waves: w, control: c, acks: a,
		replica: basilpool.NewReplica(p.Trail()),
		grace:   defaultGrace,
		watched: make(map[string]watch),
	}
}

// SetGrace sets for how long a leaving host may still get work from other data
// centres; it must be at least the age at which their entry hosts stop using a view.
func (x *Executor) SetGrace(d time.Duration) { x.grace = d }

// SetDemand makes the executor decide on moves between pools from the sketch,
// which must be fed by the executor's own goroutine; nil ends that.
//
// Only one executor at a time should have one: two with different samples would
// undo each other's moves, though never break a budget.
func (x *Executor) SetDemand(s *basilpool.DemandSketch) { x.demand = s }

// Step makes one pass: gathers, plans, and carries out the plan step by step.
//
// It stops with the error of the table at the first step that the table fails;
// hosts then stay at the step that they have reached.
func (x *Executor) Step(ctx context.Context) (Summary, error) {
	s, err := x.gather(ctx)
	if err != nil {
		return Summary{}, err
	}
	steps := x.plan(s, time.Now())
	m := Summary{Planned: len(steps)}
	for _, p := range steps[:min(len(steps), maxStepsPerPass)] {
		err := x.carryOut(ctx, p)
		switch {
		case err == nil:
			m.Done++
		case overtaken(err):
			m.Raced++
		case refused(err):
			m.Refused++
		default:
			return m, err
		}
	}
	return m, nil
}

// plan returns the steps of waves and moves, and the moves that capacity asks for.
func (x *Executor) plan(s State, now time.Time) []Step {
	capacity := x.decide(s, now)
	if x.idle.holds(x.replica.Sequence(), s.Facts, now) {
		return capacity
	}
	steps := x.planner.Plan(s, now)
	x.idle = idleness{}
	if len(steps) == 0 {
		x.idle = idleness{at: now, sequence: x.replica.Sequence(), facts: s.Facts}
	}
	return append(steps, capacity...)
}

func (x *Executor) decide(s State, now time.Time) []Step {
	if x.demand == nil || now.Sub(x.decided) < decideInterval {
		return nil
	}
	x.decided = now
	var steps []Step
	c := basilpool.CapacityState{Hosts: s.Hosts, Configuration: s.Configuration, Demand: x.demand}
	for _, p := range basilpool.ProposeMoves(c, now) {
		steps = append(steps, Step{Kind: StepKindMove, Host: p.Host, Epoch: p.Epoch, Target: p.Target, Reason: p.Reason})
	}
	return steps
}

func overtaken(err error) bool {
	return basilpool.IsErrHostStale(err) || basilpool.IsErrHostConflict(err) || basilpool.IsErrHostNotExist(err) ||
		IsErrWaveStale(err) || IsErrWaveConflict(err) || IsErrWaveNotExist(err)
}

func refused(err error) bool {
	return basilpool.IsErrBudgetExceeded(err) || basilpool.IsErrPoolNotExist(err) || basilpool.IsErrPoolTooSmall(err) || basilplatform.IsErrRefused(err)
}

func (x *Executor) carryOut(ctx context.Context, s Step) error {
	a := basilaudit.Actor{Operator: executorOperator, Reason: s.Reason}
	switch s.Kind {
	case StepKindPause:
		return x.waves.stop(ctx, s, a)
	case StepKindComplete:
		return x.waves.complete(ctx, s, a)
	case StepKindReboot:
		return x.reboot(ctx, s)
	}
	o := basilpool.Order{Host: s.Host, Epoch: s.Epoch, Wave: s.Wave}
	switch s.Kind {
	case StepKindDrain:
		o.Action = basilpool.ActionDrain
		o.Guard = runs(s.Wave)
	case StepKindMaintain:
		o.Action = basilpool.ActionMaintain
		o.Guard = runs(s.Wave)
	case StepKindMove:
		o.Action = basilpool.ActionMove
		o.Target = s.Target
	case StepKindDrained:
		o.Action = basilpool.ActionDrained
	case StepKindFinish:
		o.Action = basilpool.ActionFinish
	case StepKindReturn:
		o.Action = basilpool.ActionReturn
	case StepKindFail:
		o.Action = basilpool.ActionFail
	}
	_, err := x.pools.Do(ctx, o, a)
	return err
}

// reboot asks the platform once per epoch; another executor may ask as well, which changes nothing.
//
// It reads the host anew first, so that a pass that was frozen reboots no host
// that has meanwhile gone on.
func (x *Executor) reboot(ctx context.Context, s Step) error {
	h, err := x.pools.Host(ctx, s.Host)
	if err != nil {
		return err
	}
	if h.Epoch() != s.Epoch {
		return basilpool.ErrHostStale{Host: s.Host, Epoch: s.Epoch, Current: h.Epoch()}
	}
	if err := x.control.Reboot(ctx, s.Host, s.Epoch); err != nil {
		return basilplatform.ErrRefused{Operation: "reboot", Reason: err.Error()} // the next pass asks again
	}
	w := x.watched[s.Host]
	w.asked = true
	x.watched[s.Host] = w
	return nil
}
