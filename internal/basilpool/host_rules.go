package basilpool

import (
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// applyOrder returns the host after the order, with its new epoch and author; the zero host if it is removed.
func applyOrder(h basilmodel.Host, o Order, a basilaudit.Actor, sequence int64) (basilmodel.Host, error) {
	r, err := nextRecord(h, o, sequence)
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

func nextRecord(h basilmodel.Host, o Order, sequence int64) (basilmodel.HostRecord, error) {
	if o.Action == ActionRegister {
		return register(h, o, sequence)
	}
	if h.ID() == "" {
		return basilmodel.HostRecord{}, errors.WithStack(ErrHostNotExist{ID: o.Host})
	}
	if o.requiresEpoch() && o.Epoch != h.Epoch() {
		return basilmodel.HostRecord{}, errors.WithStack(ErrHostStale{Host: o.Host, Epoch: o.Epoch, Current: h.Epoch()})
	}
	return transition(h, o, sequence)
}

// register adds a listed host, or updates the location and address of a known one.
//
// The first epoch is the sequence of the trail entry. An entry changes a host at most once, so a host that is removed and
// registered again continues above all its earlier epochs.
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
		return r, errHostUnchanged{host: h}
	}
	return r, nil
}

// checkPool rejects changes that assign a host to an undeclared pool.
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

// checkBudgets rejects planned changes that take a host out of service and leave too few.
//
// While failures or a new configuration leave a service below its budget, all such changes are rejected.
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
	if o.Action == ActionMove && after.countStaying() < p.MinHosts {
		return errors.WithStack(ErrPoolTooSmall{Pool: pool, Hosts: before.countStaying(), MinHosts: p.MinHosts})
	}
	return nil
}
