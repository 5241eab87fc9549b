package basilpool

import (
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// succeed returns the host that follows the order, with its new epoch and author; the zero host when it is removed.
func succeed(h basilmodel.Host, o Order, a basilaudit.Actor, sequence int64) (basilmodel.Host, error) {
	r, err := successor(h, o, sequence)
	if err != nil || r.ID == "" {
		return basilmodel.Host{}, err
	}
	r.Epoch++
	r.Sequence = sequence
	r.Operator = a.Operator
	r.Action = o.Action.String()
	r.Since = time.Now().UTC()
	return basilmodel.NewHost(r), nil
}

func successor(h basilmodel.Host, o Order, sequence int64) (basilmodel.HostRecord, error) {
	if o.Action == ActionRegister {
		return register(h, o, sequence)
	}
	if h.ID() == "" {
		return basilmodel.HostRecord{}, errors.WithStack(ErrHostNotExist{ID: o.Host})
	}
	if o.fenced() && o.Epoch != h.Epoch() {
		return basilmodel.HostRecord{}, errors.WithStack(ErrHostStale{Host: o.Host, Epoch: o.Epoch, Current: h.Epoch()})
	}
	return transition(h, o, sequence)
}

// register takes a listed host in, or notes where a known one now is.
//
// The first epoch is the entry's sequence. A host has at most one change an entry,
// so one that is removed and listed anew goes on above all its earlier epochs.
func register(h basilmodel.Host, o Order, sequence int64) (basilmodel.HostRecord, error) {
	r := h.Record()
	if r.ID == "" {
		r = basilmodel.HostRecord{
			ID: o.listed.ID, Pool: o.listed.Pool, State: basilmodel.HostStateActive,
			Epoch: sequence - 1, Registered: sequence,
		}
	}
	r.DataCentre = o.listed.DataCentre
	r.Rack = o.listed.Rack
	r.Address = o.listed.Address
	if r == h.Record() {
		return r, errUnchanged{host: h}
	}
	return r, nil
}

// checkPool refuses to put a host into a pool that is not declared.
func checkPool(c basilmodel.Configuration, before, after basilmodel.Host) error {
	for _, name := range []string{after.Pool(), after.Target()} {
		if name == "" || name == before.Pool() {
			continue
		}
		if _, ok := c.Pool(name); !ok {
			return errors.WithStack(ErrPoolNotExist{Name: name})
		}
	}
	return nil
}

// checkBudgets refuses a planned change that takes a host out of service and leaves too few.
//
// A budget that failures or a new configuration have broken already refuses all
// such changes until it is whole again.
func checkBudgets(c basilmodel.Configuration, o Order, pool string, before, after tallyRecord) error {
	if o.Action == ActionFail || after.available() >= before.available() {
		return nil
	}
	for _, s := range c.ServicesIn(pool) {
		if after.available() < s.MinAvailable {
			return errors.WithStack(ErrBudgetExceeded{Service: s.Name, Available: before.available(), MinAvailable: s.MinAvailable})
		}
	}
	p, _ := c.Pool(pool)
	if o.Action == ActionMove && after.staying() < p.MinHosts {
		return errors.WithStack(ErrPoolTooSmall{Pool: pool, Hosts: before.staying(), MinHosts: p.MinHosts})
	}
	return nil
}
