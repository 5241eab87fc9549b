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

// executorOperator is the operator name in the audit entries of executor steps.
const executorOperator = "executor"

// maxStepsPerPass limits how many steps one pass executes.
const maxStepsPerPass = 64

// replanInterval is the longest time for which an empty plan is reused. Overdue
// reboots need it: they alone become due without a change of the gathered state.
const replanInterval = time.Minute

// capacityInterval is the time between two capacity decisions.
const capacityInterval = 10 * time.Second

// defaultGrace is how long other data centres may still send work to a host that
// has started to leave.
const defaultGrace = 3 * time.Second

// Acks reports which host changes the entry hosts have acknowledged.
type Acks interface {
	// Applied reports whether every entry host in the host's data centre has
	// applied the host's epoch or was declared gone by the platform.
	Applied(h basilmodel.Host) bool
}

// Summary counts the steps of one pass by their result.
type Summary struct {
	Planned  int // steps in the plan
	Done     int // steps executed
	Outdated int // steps skipped because the host or wave had changed since the plan
	Refused  int // steps refused by a budget, the pool rules or the platform
}

// Executor executes the steps of waves and moves.
//
// Several executors may run concurrently, and each may be stopped between two
// steps: a step is one transaction conditional on the epoch of its host, and the
// next pass of any executor plans from the state in the table.
//
// An Executor is not safe for concurrent use.
type Executor struct {
	pools        *basilpool.Pools
	waves        *Waves
	control      basilplatform.HostControl
	acks         Acks
	replica      *basilpool.Replica
	planner      Planner
	grace        time.Duration
	tracked      map[string]trackedHost
	lastEmpty    emptyPlan
	demand       *basilpool.DemandSketch // nil disables capacity moves
	lastDecision time.Time               // time of the last capacity decision
}

// emptyPlan is the input of the last plan, kept if that plan was empty.
type emptyPlan struct {
	at       time.Time // zero when the last plan had steps
	sequence int64
	facts    map[string]Facts
}

// stillEmpty reports whether a new plan would be empty as well.
func (e emptyPlan) stillEmpty(sequence int64, facts map[string]Facts, now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) < replanInterval && sequence == e.sequence && maps.Equal(facts, e.facts)
}

// trackedHost is what this executor remembers of a leaving host or one in maintenance, for one epoch.
type trackedHost struct {
	epoch           int64
	since           time.Time // when this executor first saw the epoch
	rebootRequested bool      // this executor has requested the reboot
}

// NewExecutor returns an executor that changes hosts through p, waves through w
// and requests reboots from c.
func NewExecutor(p *basilpool.Pools, w *Waves, c basilplatform.HostControl, a Acks) *Executor {
	return &Executor{
		pools: p, waves: w, control: c, acks: a,
		replica: basilpool.NewReplica(p.Trail()),
		grace:   defaultGrace,
		tracked: make(map[string]trackedHost),
	}
}

// SetGrace sets for how long a leaving host may still receive work from other data
// centres. It must be at least the age at which their entry hosts stop using a view.
func (x *Executor) SetGrace(d time.Duration) { x.grace = d }

// SetDemand makes the executor plan moves between pools from the demand in s; nil
// disables this. Only the goroutine that calls Step may update s.
//
// Only one executor at a time should plan such moves: two with different samples
// would undo each other's moves, though they never exceed a budget.
func (x *Executor) SetDemand(s *basilpool.DemandSketch) { x.demand = s }

// Step runs one pass: it gathers the state, makes a plan and executes its steps in order.
//
// It returns at the first step that fails with an error of the table; the hosts
// keep the state that they have reached.
func (x *Executor) Step(ctx context.Context) (Summary, error) {
	state, err := x.gather(ctx)
	if err != nil {
		return Summary{}, err
	}
	steps := x.plan(state, time.Now())
	summary := Summary{Planned: len(steps)}
	for _, s := range steps[:min(len(steps), maxStepsPerPass)] {
		err := x.execute(ctx, s)
		switch {
		case err == nil:
			summary.Done++
		case isOutdated(err):
			summary.Outdated++
		case isRefused(err):
			summary.Refused++
		default:
			return summary, err
		}
	}
	return summary, nil
}

// plan returns the steps of waves and moves, followed by new moves for capacity.
//
// It makes no new plan while the last one was empty and nothing has changed since.
func (x *Executor) plan(s State, now time.Time) []Step {
	capacity := x.capacityMoves(s, now)
	if x.lastEmpty.stillEmpty(x.replica.Sequence(), s.Facts, now) {
		return capacity
	}
	steps := x.planner.Plan(s, now)
	x.lastEmpty = emptyPlan{}
	if len(steps) == 0 {
		x.lastEmpty = emptyPlan{at: now, sequence: x.replica.Sequence(), facts: s.Facts}
	}
	return append(steps, capacity...)
}

func (x *Executor) capacityMoves(s State, now time.Time) []Step {
	if x.demand == nil || now.Sub(x.lastDecision) < capacityInterval {
		return nil
	}
	x.lastDecision = now
	var steps []Step
	c := basilpool.CapacityState{Hosts: s.Hosts, Configuration: s.Configuration, Demand: x.demand}
	for _, m := range basilpool.ProposeMoves(c, now) {
		steps = append(steps, Step{Kind: StepKindMove, Host: m.Host, Epoch: m.Epoch, Target: m.Target, Reason: m.Reason})
	}
	return steps
}

func isOutdated(err error) bool {
	return basilpool.IsErrHostStale(err) || basilpool.IsErrHostConflict(err) || basilpool.IsErrHostNotExist(err) ||
		IsErrWaveStale(err) || IsErrWaveConflict(err) || IsErrWaveNotExist(err)
}

func isRefused(err error) bool {
	return basilpool.IsErrBudgetExceeded(err) || basilpool.IsErrPoolNotExist(err) || basilpool.IsErrPoolTooSmall(err) || basilplatform.IsErrRefused(err)
}

func (x *Executor) execute(ctx context.Context, s Step) error {
	a := basilaudit.Actor{Operator: executorOperator, Reason: s.Reason}
	switch s.Kind {
	case StepKindPause:
		return x.waves.pausePlanned(ctx, s, a)
	case StepKindComplete:
		return x.waves.completePlanned(ctx, s, a)
	case StepKindReboot:
		return x.reboot(ctx, s)
	}
	o := basilpool.Order{Host: s.Host, Epoch: s.Epoch, Wave: s.Wave}
	switch s.Kind {
	case StepKindDrain:
		o.Action = basilpool.ActionDrain
		o.Guard = requireRunning(s.Wave)
	case StepKindMaintain:
		o.Action = basilpool.ActionMaintain
		o.Guard = requireRunning(s.Wave)
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

// reboot requests the reboot from the platform, once per epoch. A second request
// by another executor has no effect.
//
// It first reads the host again, so that a pass that was suspended for a long time
// doesn't reboot a host that has changed since.
func (x *Executor) reboot(ctx context.Context, s Step) error {
	h, err := x.pools.Host(ctx, s.Host)
	if err != nil {
		return err
	}
	if h.Epoch() != s.Epoch {
		return basilpool.ErrHostStale{Host: s.Host, Epoch: s.Epoch, Current: h.Epoch()}
	}
	if err := x.control.Reboot(ctx, s.Host, s.Epoch); err != nil {
		return basilplatform.ErrRefused{Operation: "reboot", Reason: err.Error()} // the next pass retries
	}
	t := x.tracked[s.Host]
	t.rebootRequested = true
	x.tracked[s.Host] = t
	return nil
}
