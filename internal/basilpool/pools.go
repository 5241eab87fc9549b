package basilpool

import (
	"context"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Guard checks the preconditions of an order inside the commit; an error rejects the order.
type Guard func(ctx context.Context, t basilplatform.Table) error

// Order requests one change to one host.
type Order struct {
	Action Action
	Host   string
	Epoch  int64  // the host's epoch that the order applies to; 0 for any, if the action allows it
	Target string // the pool that a move ends in
	Wave   string // the wave that drains the host; "" for an operator
	Guard  Guard  // may be nil
	listed basilplatform.ListedHost
}

// requiresEpoch reports whether the order applies only to the epoch that it names.
func (o Order) requiresEpoch() bool {
	switch o.Action {
	case ActionDrained, ActionMaintain, ActionFinish:
		return true
	}
	return o.Epoch != 0
}

// Pools reads and changes hosts in the platform's table; all changes are recorded in the audit trail.
type Pools struct{ trail *basilaudit.Trail }

// NewPools returns pools whose changes are recorded in the trail.
func NewPools(t *basilaudit.Trail) *Pools { return &Pools{trail: t} }

// Trail returns the trail in which changes are recorded.
func (p *Pools) Trail() *basilaudit.Trail { return p.trail }

// Do executes the order in one transaction and returns the resulting host.
//
// If the command ID was used before, it returns the host as that command left it. It fails with the errors of this
// package, those of the guard, basilconfig.ErrCommandReused, and as basilaudit.Trail.Commit does.
func (p *Pools) Do(ctx context.Context, o Order, a basilaudit.Actor) (basilmodel.Host, error) {
	e, err := p.trail.Commit(ctx, func(ctx context.Context, t basilplatform.Table) (basilaudit.Change, error) {
		return p.decide(ctx, t, o, a)
	})
	var unchanged errHostUnchanged
	if errors.As(err, &unchanged) {
		return unchanged.host, nil
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

// decide evaluates the order on one consistent state of the table.
//
// The version of the trail's head ties a successful change to that state. A refusal writes nothing, so it is valid only if
// the head has not advanced meanwhile; otherwise the commit is retried.
func (p *Pools) decide(ctx context.Context, t basilplatform.Table, o Order, a basilaudit.Actor) (basilaudit.Change, error) {
	before, err := p.trail.Head(ctx)
	if err != nil {
		return basilaudit.Change{}, err
	}
	c, refusal := p.evaluate(ctx, t, o, a, before+1)
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
	if repeated { // the trail returns the earlier entry
		return basilaudit.Change{Entry: basilaudit.EntryRecord{Command: a.Command}}, nil
	}
	return c, refusal
}

// evaluate returns the change that the order makes, or the error that refuses it.
func (p *Pools) evaluate(ctx context.Context, t basilplatform.Table, o Order, a basilaudit.Actor, sequence int64) (basilaudit.Change, error) {
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
	next, err := applyOrder(host, o, a, sequence)
	if err != nil {
		return basilaudit.Change{}, err
	}
	if err := checkPool(configuration, host, next); err != nil {
		return basilaudit.Change{}, err
	}
	c := basilaudit.Change{Entry: newEntryRecord(o, a, host, next)}
	w, err := hostWrite(o, version, next)
	if err != nil {
		return c, err
	}
	c.Writes = append(c.Writes, w)
	tallies, err := tallyWrites(ctx, t, configuration, o, host, next)
	c.Writes = append(c.Writes, tallies...)
	return c, err
}

func newEntryRecord(o Order, a basilaudit.Actor, before, after basilmodel.Host) basilaudit.EntryRecord {
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
		return withVersion(basilplatform.Write{Kind: basilplatform.WriteKindDelete, Key: hostKey(o.Host)}, version), nil
	}
	return put(hostKey(o.Host), version, next)
}

// tallyWrites returns the writes that update the tallies of the affected pools; it fails if a planned change violates a
// budget.
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
