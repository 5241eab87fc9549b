package basilentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/internal/basilwave"
)

// fleetOperator is the operator that the trail names for changes that follow the platform's host list.
const fleetOperator = "host-list"

// A host counts as lost when this many lists in a row lack it, over at least this time.
const (
	missedLists = 3
	missedTime  = 3 * time.Second
)

// missing is since when, and from how many lists in a row, a host is missing.
type missing struct {
	since time.Time
	lists int
}

// fleetService follows the platform's host list and carries out moves and waves.
//
// Every entry host has one; a lease lets one work at a time, to save the others the trouble.
type fleetService struct {
	log      *logrus.Logger
	control  *basilview.Control
	pools    *basilpool.Pools
	followed int64 // the listing that was followed last
	executor *basilwave.Executor
	lease    *lease
	demand   *demandService
	sketch   *basilpool.DemandSketch // learnt while the lease is held
	missed   map[string]missing
}

func newFleetService(e *Entry) *fleetService {
	f := &fleetService{
		log: e.log, control: e.control, pools: e.pools,
		executor: basilwave.NewExecutor(e.pools, e.waves, e.ports.Control, acks{control: e.control}),
		lease:    newLease(e.ports.Table, "fleet", e.registry.Incarnation().String()),
		demand:   e.demand,
		sketch:   &basilpool.DemandSketch{},
		missed:   make(map[string]missing),
	}
	f.executor.SetDemand(f.sketch)
	return f
}

// acks asks the newest view what the entry members have applied.
type acks struct{ control *basilview.Control }

// Applied tells whether every entry member of the host's data centre has applied the host's epoch.
func (a acks) Applied(h basilmodel.Host) bool { return a.control.View().Applied(h) }

func (f *fleetService) run(ctx context.Context) {
	every(ctx, fleetPeriod, func(ctx context.Context) {
		if f.control.Check(time.Now()) != nil || !f.lease.Hold(ctx) {
			*f.sketch = basilpool.DemandSketch{} // another entry host learns now
			return
		}
		f.sketch.Observe(f.demand.total(f.control.View(), time.Now()), time.Now())
		if l := f.control.Listing(); l != nil && l.Number != f.followed {
			f.followed = l.Number
			f.followList(ctx, l.Hosts)
		}
		if _, err := f.executor.Step(ctx); err != nil {
			f.log.WithError(err).Debug("pass of moves and waves failed")
		}
	})
}

// followList takes in new hosts and those that came back, and notes those that are lost or leaving.
func (f *fleetService) followList(ctx context.Context, listed []basilplatform.ListedHost) {
	v := f.control.View()
	seen := make(map[string]bool, len(listed))
	for _, l := range listed {
		seen[l.ID] = true
		f.follow(ctx, v, l)
	}
	for _, h := range v.Hosts() {
		f.miss(ctx, h, seen[h.ID()])
	}
}

func (f *fleetService) follow(ctx context.Context, v *basilview.View, l basilplatform.ListedHost) {
	h, known := v.Host(l.ID)
	var err error
	switch {
	case !known && !l.Leaving:
		_, err = f.pools.Register(ctx, l, f.actor("listed"))
	case known && l.Leaving && h.State() == basilmodel.HostStateActive:
		_, err = f.pools.Fail(ctx, l.ID, f.actor("the platform lists it as leaving"))
	case known && h.State() == basilmodel.HostStateFailed && !l.Leaving:
		_, err = f.pools.Return(ctx, l.ID, f.actor("listed again"))
	}
	f.note(l.ID, err)
}

func (f *fleetService) miss(ctx context.Context, h basilmodel.Host, seen bool) {
	if seen || h.State() == basilmodel.HostStateFailed || h.State() == basilmodel.HostStateMaintenance {
		delete(f.missed, h.ID())
		return
	}
	m := f.missed[h.ID()]
	if m.lists == 0 {
		m.since = time.Now()
	}
	m.lists++
	f.missed[h.ID()] = m
	if m.lists < missedLists || time.Since(m.since) < missedTime {
		return
	}
	_, err := f.pools.Fail(ctx, h.ID(), f.actor("no longer listed"))
	f.note(h.ID(), err)
}

func (f *fleetService) actor(reason string) basilaudit.Actor {
	return basilaudit.Actor{Operator: fleetOperator, Reason: reason}
}

func (f *fleetService) note(host string, err error) {
	if err != nil {
		f.log.WithField("host", host).WithError(err).Debug("host list not followed")
	}
}
