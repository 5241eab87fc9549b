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

// recentOrders are the hosts for which an order may have been sent recently. Orders of different holders for one host must be
// a minimum time apart, so another node sends none for these hosts within that time. It need not wait for any other host.
//
// They are stored before the first order for them is sent, in a row that only the fleet's owner writes, so that a successor
// reads every host that its predecessor can have given orders for.
type recentOrders struct {
	hosts    map[string]recentOrder
	pending  []basilcapacity.Order // orders to be sent once their hosts are stored
	inFlight bool
}

// recentOrder is the newest order for a host, kept while other nodes have to wait because of it.
type recentOrder struct {
	node      string
	expiresAt time.Time // when other nodes may send orders for the host again
}

// loadRecentOrders applies the hosts that a predecessor may have given orders for: orders for them are held back for holderChangeDelay.
// Rows of an earlier format name the node only, and then orders for all hosts are held back.
func (f *fleet) loadRecentOrders(body []byte) error {
	until := f.startedAt.Add(f.holderChangeDelay())
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
		f.recent.set(host, recentOrder{node: node, expiresAt: until})
		if node != f.node.options.Self.Node {
			f.state.Hold(host, until)
			held++
		}
	}
	f.log.WithFields(logrus.Fields{"recent": len(nodes), "held": held}).Info("recent host orders of predecessor loaded")
	return nil
}

func (r *recentOrders) set(host string, o recentOrder) {
	if r.hosts == nil {
		r.hosts = make(map[string]recentOrder)
	}
	r.hosts[host] = o
}

// holderChangeDelay is how long after an order for a host another node must send none for it.
//
// Earlier ownership of the shard doesn't shorten it: the node may have owned the shard only briefly, without sending an order.
func (f *fleet) holderChangeDelay() time.Duration {
	return f.node.options.HolderChangeDelay + orderDuration
}

// queueOrders stores the hosts of the orders, and then sends the orders. Those that come during such a write wait for the next.
func (f *fleet) queueOrders(added []basilcapacity.Order) {
	f.recent.pending = append(f.recent.pending, added...)
	if f.recent.inFlight || len(f.recent.pending) == 0 {
		return
	}
	list, now := f.recent.pending, time.Now()
	f.recent.pending = nil
	body, err := json.Marshal(f.recent.add(list, f.node.options.Self.Node, now, now.Add(f.holderChangeDelay())))
	if err != nil {
		f.log.WithError(err).Error("cannot encode hosts of pending orders")
		return
	}
	f.recent.inFlight = true
	row := f.rowOf(fleetKey(fleetShard, recentOrdersSort))
	go func() {
		err := row.Write(f.ctx, body)
		f.send(func(now time.Time) { f.orderHostsStored(list, err, now) })
	}()
}

// add records orders of a node, removes expired ones, and returns the ordering node by host.
func (r *recentOrders) add(orders []basilcapacity.Order, node string, now, until time.Time) map[string]string {
	for _, o := range orders {
		r.set(o.Machine, recentOrder{node: node, expiresAt: until})
	}
	nodes := make(map[string]string, len(r.hosts))
	for host, o := range r.hosts {
		if now.After(o.expiresAt) {
			delete(r.hosts, host)
			continue
		}
		nodes[host] = o.node
	}
	return nodes
}

// orderHostsStored sends the orders whose hosts were stored, or reports them as failed.
func (f *fleet) orderHostsStored(list []basilcapacity.Order, err error, now time.Time) {
	f.recent.inFlight = false
	if err != nil {
		f.log.WithError(err).WithField("orders", len(list)).Warn("cannot store hosts of pending orders")
	}
	for _, o := range list {
		if err != nil {
			f.state.SetOrderOutcome(o, err, now)
			continue
		}
		f.sendOrder(o)
	}
	f.queueOrders(nil)
}

func (f *fleet) sendOrder(o basilcapacity.Order) {
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
			entry.WithError(err).Warn("order for host failed")
		} else {
			entry.Info("order for host accepted")
		}
		f.send(func(now time.Time) {
			f.state.SetOrderOutcome(o, err, now)
			if err == nil && o.Wave != "" {
				f.writeRow(fleetShard, waveRecordsSort, f.state.Records())
			}
		})
	}()
}

// writeWaveState stores the state of a wave in the background, and retries until it or another writer's completion is stored.
func (f *fleet) writeWaveState(w basilcapacity.WaveUpdate) {
	go func() {
		version := w.Version
		for f.ctx.Err() == nil {
			err := f.node.options.Directory.SetWaveState(f.ctx, w.ID, w.Completed, version)
			if err == nil {
				f.log.WithFields(logrus.Fields{basillog.FieldWave: w.ID, "completed": w.Completed}).Info("wave state stored")
				return
			}
			f.log.WithError(err).WithField(basillog.FieldWave, w.ID).Warn("cannot store wave state")
			_ = basiltimer.Wait(f.ctx, storeRetryDelay) // the loop checks the context
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
