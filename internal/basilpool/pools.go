package basilpool

import (
	"context"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Guard reads what an order depends on inside the commit and fails when the order must not be carried out.
type Guard func(ctx context.Context, t basilplatform.Table) error

// Order is one change of one host.
type Order struct {
	Action Action
	Host   string
	Epoch  int64  // the host's epoch that the order was made for; 0 for any where an operator may start
	Target string // the pool that a move ends in
	Wave   string // the wave that drains the host; "" when an operator does
	Guard  Guard  // may be nil
	listed basilplatform.ListedHost
}

// fenced tells whether the order holds only for the epoch that it names.
func (o Order) fenced() bool {
	switch o.Action {
	case ActionDrained, ActionMaintain, ActionFinish:
		return true
	}
	return o.Epoch != 0
}

// Pools changes and reads hosts in the platform's table; all changes pass through the audit trail.
type Pools struct{ trail *basilaudit.Trail }

// NewPools returns the pools whose changes go on the trail.
func NewPools(t *basilaudit.Trail) *Pools { return &Pools{trail: t} }

// Trail returns the trail that the changes go on.
func (p *Pools) Trail() *basilaudit.Trail { return p.trail }

// Do carries the order out in one transaction and returns the host as it is then.
//
// A command id that was used before returns the host as that command left it. It
// fails with the errors of this package, with that of the guard, with
// basilconfig.ErrCommandReused, and as basilaudit.Trail.Commit does.
func (p *Pools) Do(ctx context.Context, o Order, a basilaudit.Actor) (basilmodel.Host, error) {
	e, err := p.trail.Commit(ctx, func(ctx context.Context, t basilplatform.Table) (basilaudit.Change, error) {
		return p.decide(ctx, t, o, a)
	})
	var same errUnchanged
	if errors.As(err, &same) {
		return same.host, nil
	}
	if err != nil {
		return basilmodel.Host{}, err
	}
	r := e.Record()
	if r.Action != o.Action.String() || r.Subject != o.Host {
		return basilmodel.Host{}, errors.WithStack(basilconfig.ErrCommandReused{Command: a.Command})
	}
	if len(r.Hosts) == 0 { // removed
		return r.Before[0], nil
	}
	return r.Hosts[0], nil
}

// decide judges the order on one consistent state of the table.
//
// Success is bound to that state by the head's version. A refusal writes nothing,
// so it counts only if the head has not moved since; else the commit tries again.
func (p *Pools) decide(ctx context.Context, t basilplatform.Table, o Order, a basilaudit.Actor) (basilaudit.Change, error) {
	before, err := p.trail.Head(ctx)
	if err != nil {
		return basilaudit.Change{}, err
	}
	c, refusal := p.judge(ctx, t, o, a, before+1)
	if refusal == nil || basilplatform.IsErrUnavailable(refusal) {
		return c, refusal
	}
	after, err := p.trail.Head(ctx)
	if err != nil {
		return c, err
	}
	if after != before {
		return c, basilplatform.ErrConditionFailed{Key: basilaudit.HeadKey}
	}
	_, repeated, err := p.trail.Command(ctx, a.Command)
	if err != nil {
		return c, err
	}
	if repeated { // the trail answers with the earlier entry
		return basilaudit.Change{Entry: basilaudit.EntryRecord{Command: a.Command}}, nil
	}
	return c, refusal
}

// judge returns the change that the order makes, or why it is refused.
func (p *Pools) judge(ctx context.Context, t basilplatform.Table, o Order, a basilaudit.Actor, sequence int64) (basilaudit.Change, error) {
	if o.Guard != nil {
		if err := o.Guard(ctx, t); err != nil {
			return basilaudit.Change{}, err
		}
	}
	configuration, _, err := basilconfig.Current(ctx, t)
	if err != nil {
		return basilaudit.Change{}, err
	}
	var host basilmodel.Host
	version, err := load(ctx, t, hostKey(o.Host), &host)
	if err != nil {
		return basilaudit.Change{}, err
	}
	next, err := succeed(host, o, a, sequence)
	if err != nil {
		return basilaudit.Change{}, err
	}
	if err := checkPool(configuration, host, next); err != nil {
		return basilaudit.Change{}, err
	}
	c := basilaudit.Change{Entry: entry(o, a, host, next)}
	w, err := hostWrite(o, version, next)
	if err != nil {
		return c, err
	}
	c.Writes = append(c.Writes, w)
	tallies, err := tallyWrites(ctx, t, configuration, o, host, next)
	c.Writes = append(c.Writes, tallies...)
	return c, err
}

func entry(o Order, a basilaudit.Actor, before, after basilmodel.Host) basilaudit.EntryRecord {
	r := basilaudit.EntryRecord{Operator: a.Operator, Command: a.Command, Reason: a.Reason, Action: o.Action.String(), Subject: o.Host}
	if before.ID() != "" {
		r.Before = []basilmodel.Host{before}
	}
	if after.ID() != "" {
		r.Hosts = []basilmodel.Host{after}
	}
	return r
}

func hostWrite(o Order, version int64, next basilmodel.Host) (basilplatform.Write, error) {
	if next.ID() == "" {
		return at(basilplatform.Write{Kind: basilplatform.WriteKindDelete, Key: hostKey(o.Host)}, version), nil
	}
	return put(hostKey(o.Host), version, next)
}

// tallyWrites brings the tallies of the pools concerned up to date; it fails when a planned change breaks a budget.
func tallyWrites(ctx context.Context, t basilplatform.Table, c basilmodel.Configuration, o Order, before, after basilmodel.Host) ([]basilplatform.Write, error) {
	pools := []string{before.Pool()}
	if after.Pool() != before.Pool() {
		pools = append(pools, after.Pool())
	}
	var writes []basilplatform.Write
	for _, name := range pools {
		if name == "" {
			continue
		}
		var tally tallyRecord
		version, err := load(ctx, t, poolKey(name), &tally)
		if err != nil {
			return nil, err
		}
		next := tally.replace(name, before, after)
		if err := checkBudgets(c, o, name, tally, next); err != nil {
			return nil, err
		}
		if next.equal(tally) {
			continue
		}
		w, err := put(poolKey(name), version, next)
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	return writes, nil
}
