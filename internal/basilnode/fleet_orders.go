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
// reads every host that its predecessor can have given orders for, and when on the store's clock. It waits only for the rest
// of the minimum time.
type recentOrders struct {
	hosts    map[string]recentOrder
	pending  []basilcapacity.Order // orders to be sent once their hosts are stored
	inFlight bool
	unstored bool // an order has ended since the row was last written
}

// recentOrder is the newest order for a host, kept while other nodes have to wait because of it.
type recentOrder struct {
	node       string
	unanswered int       // orders whose outcome is not known yet
	at         time.Time // when the order was carried out at the latest
}

// storedOrder is the stored form of a recentOrder.
type storedOrder struct {
	Node string `json:"node"`
	At   int64  `json:"store_ms,omitempty"` // when the order was carried out at the latest, on the store's clock; 0 if unknown
}

// UnmarshalJSON also decodes the name of a node alone, as rows of an earlier format have it.
func (s *storedOrder) UnmarshalJSON(body []byte) error {
	if json.Unmarshal(body, &s.Node) == nil {
		return nil
	}
	type plain storedOrder
	return json.Unmarshal(body, (*plain)(s))
}

// loadRecentOrders applies the hosts that a predecessor may have given orders for: orders for them are held back for the
// rest of holderChangeDelay. Rows of an earlier format name the node only, and then orders for all hosts are held back.
func (f *fleet) loadRecentOrders(body []byte) error {
	var orders map[string]storedOrder
	if err := json.Unmarshal(body, &orders); err != nil {
		var node string
		if err := json.Unmarshal(body, &node); err != nil {
			return err
		}
		if node != f.node.options.Self.Node {
			f.state.HoldAll(f.startedAt.Add(f.holderChangeDelay()))
			f.log.WithFields(logrus.Fields{"of": node, "ends_in_ms": f.holderChangeDelay().Milliseconds()}).Info("orders for all hosts held back")
		}
		return nil
	}
	now, held, longest := time.Now(), 0, time.Duration(0)
	earliest, _, known := f.node.options.StoreClock.Bounds()
	for host, o := range orders {
		at := now
		if stored := time.Duration(o.At) * time.Millisecond; known && stored > 0 && stored < earliest {
			at = now.Add(stored - earliest)
		}
		f.recent.set(host, recentOrder{node: o.Node, at: at})
		if until := at.Add(f.holderChangeDelay()); o.Node != f.node.options.Self.Node && until.After(now) {
			f.state.Hold(host, until)
			held++
			longest = max(longest, until.Sub(now))
		}
	}
	f.log.WithFields(logrus.Fields{"recent": len(orders), "held": held, "ends_in_ms": longest.Milliseconds()}).Info("recent host orders of predecessor loaded")
	return nil
}

func (r *recentOrders) set(host string, o recentOrder) {
	if r.hosts == nil {
		r.hosts = make(map[string]recentOrder)
	}
	r.hosts[host] = o
}

// ended records the outcome of an order. One whose outcome is unknown may be carried out later.
func (r *recentOrders) ended(host string, err error, now time.Time) {
	o, ok := r.hosts[host]
	if !ok {
		return
	}
	o.unanswered, o.at = max(0, o.unanswered-1), now
	if err != nil && !basilwork.IsErrMachineRefused(err) {
		o.at = now.Add(lateOrderTime)
	}
	r.hosts[host] = o
	r.unstored = true
}

// due reports whether the row has to be written: before orders are sent, and once all have ended.
func (r *recentOrders) due() bool {
	switch {
	case r.inFlight:
		return false
	case len(r.pending) > 0:
		return true
	case !r.unstored:
		return false
	}
	for _, o := range r.hosts {
		if o.unanswered > 0 {
			return false
		}
	}
	return true
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
	if !f.recent.due() {
		return
	}
	list, now := f.recent.pending, time.Now()
	f.recent.add(list, f.node.options.Self.Node, now)
	body, err := json.Marshal(f.recent.stored(f.node.options.StoreClock, now, f.holderChangeDelay()))
	f.recent.pending, f.recent.unstored = nil, false
	if err != nil {
		f.log.WithError(err).Error("cannot encode hosts of pending orders")
		return
	}
	f.recent.inFlight = true
	row := f.rowOf(fleetKey(fleetShard, recentOrdersSort))
	go func() {
		err := row.Write(f.ctx, body)
		if took := time.Since(now); err == nil && took > maxStoreTime {
			err = basilwork.ErrMachineRefused{Reason: "storing the host took " + took.String()}
		}
		f.send(func(now time.Time) { f.orderHostsStored(list, err, now) })
	}()
}

// add records orders of a node that are about to be sent.
func (r *recentOrders) add(orders []basilcapacity.Order, node string, now time.Time) {
	for _, o := range orders {
		r.set(o.Machine, recentOrder{node: node, unanswered: r.hosts[o.Machine].unanswered + 1, at: now.Add(lateOrderTime)})
	}
}

// stored removes the orders that are longer ago than the delay, and returns the stored form of the others.
func (r *recentOrders) stored(clock *basilwork.StoreClock, now time.Time, delay time.Duration) map[string]storedOrder {
	_, latest, known := clock.Bounds()
	stored := make(map[string]storedOrder, len(r.hosts))
	for host, o := range r.hosts {
		if o.unanswered == 0 && now.Sub(o.at) > delay {
			delete(r.hosts, host)
			continue
		}
		s := storedOrder{Node: o.node}
		if known {
			s.At = (latest + o.at.Sub(now)).Milliseconds() + 1 // rounded up
		}
		stored[host] = s
	}
	return stored
}

// orderHostsStored sends the orders whose hosts were stored, or reports them as failed.
func (f *fleet) orderHostsStored(list []basilcapacity.Order, err error, now time.Time) {
	f.recent.inFlight = false
	if err != nil {
		f.log.WithError(err).WithField("orders", len(list)).Warn("cannot store hosts of pending orders")
	}
	for _, o := range list {
		if err != nil {
			f.recent.ended(o.Machine, basilwork.ErrMachineRefused{}, now)
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
			f.recent.ended(o.Machine, err, now)
			f.queueOrders(nil)
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
