package basilnode

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

// recentOrders are the hosts for which an order may have gone out lately. Another node gives none for such a host within
// the time between orders of different holders; for all others it need not wait.
//
// They are stored before the first order of them goes out, in a row that only the fleet's owner writes, so that a successor
// reads all that its predecessor can have ordered.
type recentOrders struct {
	hosts    map[string]recentOrder
	waiting  []basilcapacity.Order // until they are stored
	inFlight bool
}

// recentOrder is a host's newest order, as far as that may concern another node.
type recentOrder struct {
	node  string
	until time.Time // from when on it concerns nobody
}

// takeRecent takes in what a predecessor may have ordered: each of those hosts gets no order of another node for a while.
// An earlier layout names the node only; then it may be any host.
func (f *fleet) takeRecent(body []byte) error {
	until := f.since.Add(f.orderGap())
	var nodes map[string]string
	if err := json.Unmarshal(body, &nodes); err != nil {
		var node string
		if err := json.Unmarshal(body, &node); err != nil {
			return err
		}
		if node != f.node.options.Self.Node {
			f.state.HoldAll(until)
		}
		return nil
	}
	held := 0
	for host, node := range nodes {
		f.recent.note(host, recentOrder{node: node, until: until})
		if node != f.node.options.Self.Node {
			f.state.Hold(host, until)
			held++
		}
	}
	f.log.WithFields(logrus.Fields{"recent": len(nodes), "held": held}).Info("hosts taken over")
	return nil
}

func (r *recentOrders) note(host string, o recentOrder) {
	if r.hosts == nil {
		r.hosts = make(map[string]recentOrder)
	}
	r.hosts[host] = o
}

// orderGap is how long after an order for a host another node gives it none.
//
// That the node owned the shard before says nothing: it may have owned it for a moment, without an order.
func (f *fleet) orderGap() time.Duration { return f.node.options.Order + orderTime }

// announce stores which hosts are to be ordered, and sends the orders then.
func (f *fleet) announce(orders []basilcapacity.Order) {
	f.recent.waiting = append(f.recent.waiting, orders...)
	if f.recent.inFlight || len(f.recent.waiting) == 0 {
		return
	}
	list, now := f.recent.waiting, time.Now()
	f.recent.waiting = nil
	body, err := json.Marshal(f.recent.add(list, f.node.options.Self.Node, now, now.Add(f.orderGap())))
	if err != nil {
		f.log.WithError(err).Error("hosts to be ordered not encoded")
		return
	}
	f.recent.inFlight = true
	row := f.rowOf(fleetKey(fleetShard, holderSort))
	go func() {
		err := row.Write(f.ctx, body)
		f.send(func(now time.Time) { f.announced(list, err, now) })
	}()
}

// add notes orders of a node, forgets those that concern nobody any more, and returns the node by host.
func (r *recentOrders) add(orders []basilcapacity.Order, node string, now, until time.Time) map[string]string {
	for _, o := range orders {
		r.note(o.Machine, recentOrder{node: node, until: until})
	}
	nodes := make(map[string]string, len(r.hosts))
	for host, o := range r.hosts {
		if now.After(o.until) {
			delete(r.hosts, host)
			continue
		}
		nodes[host] = o.node
	}
	return nodes
}

// announced sends the orders that were stored.
func (f *fleet) announced(list []basilcapacity.Order, err error, now time.Time) {
	f.recent.inFlight = false
	if err != nil {
		f.log.WithError(err).WithField("orders", len(list)).Warn("hosts to be ordered not stored")
	}
	for _, o := range list {
		if err != nil {
			f.state.Ordered(o, err, now)
			continue
		}
		f.order(o)
	}
	f.announce(nil)
}

func (f *fleet) order(o basilcapacity.Order) {
	order := basilwork.MachineOrder{Holder: f.node.options.Self.Node, Fence: f.row.Epoch}
	go func() {
		var err error
		switch {
		case !f.node.keeper.MayStart():
			err = basilwork.ErrMachineRefused{Reason: "lease lapsed"}
		case o.Wave != "":
			err = f.node.options.Machines.Upkeep(f.ctx, o.Machine, o.Wave, order)
		default:
			err = f.node.options.Machines.Move(f.ctx, o.Machine, o.Pool, order)
		}
		entry := f.log.WithFields(logrus.Fields{
			"machine": o.Machine, basillog.FieldHost: o.Backend, basillog.FieldWave: o.Wave, "to": o.Pool,
		})
		if err != nil {
			entry.WithError(err).Warn("host order failed")
		} else {
			entry.Info("host ordered")
		}
		f.send(func(now time.Time) {
			f.state.Ordered(o, err, now)
			if err == nil && o.Wave != "" {
				f.write(fleetShard, recordSort, f.state.Records())
			}
		})
	}()
}

func (f *fleet) writeWave(w basilcapacity.WaveUpdate) {
	go func() {
		version := w.Version
		for f.ctx.Err() == nil {
			err := f.node.options.Directory.SetWaveState(f.ctx, w.ID, w.Completed, version)
			if err == nil {
				f.log.WithFields(logrus.Fields{basillog.FieldWave: w.ID, "completed": w.Completed}).Info("state of wave written")
				return
			}
			f.log.WithError(err).WithField(basillog.FieldWave, w.ID).Warn("state of wave not written")
			_ = basiltimer.Wait(f.ctx, storeRetry) // an ended context ends the loop
			states, err := f.node.options.Directory.WaveStates(f.ctx)
			if err != nil {
				continue
			}
			if states[w.ID].Completed {
				return
			}
			version = states[w.ID].Version
		}
	}()
}
