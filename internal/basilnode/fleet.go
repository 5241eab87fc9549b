package basilnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
)

const (
	fleetTable       = "fleet"   // requests of the fleet's owner to pools
	answersTable     = "answers" // answers of pools; a table of its own, so that pools don't watch each other's answers
	requestSort      = "ask"
	answerSort       = "answer"
	waveRecordsSort  = "waves"
	recentOrdersSort = "holder"               // hosts with recent orders, and the node that gave them
	fleetInterval    = 250 * time.Millisecond // interval between decisions; what hosts do takes seconds
	minFleetInterval = 50 * time.Millisecond  // minimum interval between decisions, so that events are handled in batches
	busyListInterval = 700 * time.Millisecond // interval between listings of the hosts while some are away; each call is charged for
	idleListInterval = 4 * time.Second        // interval between listings of the hosts otherwise
	staleListDelay   = 5 * time.Second        // delay beyond that interval after which the list of hosts is reported as stale
	orderDuration    = 300 * time.Millisecond // time to carry out an order
	lateOrderTime    = 2 * time.Second        // from when an order is to be stored, or its call has failed, until it is carried out at the latest
	maxStoreTime     = time.Second            // of the hosts of orders; later the orders are not sent
)

func fleetKey(shard, sort string) basilplatform.Key {
	return basilplatform.Key{Partition: fleetTable + "/" + shard, Sort: sort}
}

func answerKey(pool string) basilplatform.Key {
	return basilplatform.Key{Partition: answersTable + "/" + pool, Sort: answerSort}
}

// fleet runs maintenance waves and moves of hosts between pools while this entry host owns the fleet's shard.
type fleet struct {
	node            *Node
	row             basilshard.OwnerRow
	recent          recentOrders
	log             *logrus.Entry
	state           *basilcapacity.Fleet // used by the control goroutine only, as are the fields below
	events          chan fleetEvent
	listRequestedAt time.Time // when the latest listing of the hosts was requested
	lag             fleetLag
	block           fleetBlock
	listInFlight    bool
	startedAt       time.Time
	loggedAt        time.Time
	rows            map[basilplatform.Key]*pendingRow
	ctx             context.Context
	cancel          context.CancelFunc
}

// fleetEvent is a function that another goroutine sends to the control goroutine.
type fleetEvent struct {
	apply  func(now time.Time)
	sentAt time.Time
}

func newFleet(n *Node, row basilshard.OwnerRow) *fleet {
	ctx, cancel := context.WithCancel(n.ctx)
	return &fleet{
		node: n, row: row, log: n.log.WithFields(logrus.Fields{basillog.FieldPool: fleetShard, basillog.FieldEpoch: row.Epoch}),
		state:  basilcapacity.New(basilcapacity.Options{MaintenanceDuration: n.options.MaintenanceDuration, MoveDuration: n.options.MoveDuration, OrderRate: n.options.OrderRate}),
		events: make(chan fleetEvent, eventQueueSize), ctx: ctx, cancel: cancel, startedAt: time.Now(),
		rows: make(map[basilplatform.Key]*pendingRow),
	}
}

func (f *fleet) send(apply func(now time.Time)) {
	select {
	case f.events <- fleetEvent{apply: apply, sentAt: time.Now()}:
	case <-f.ctx.Done():
	}
}

// run is the control loop; it ends when the shard is lost.
func (f *fleet) run() {
	version, ok := f.load()
	if !ok {
		return
	}
	f.takeOverRequests()
	go f.watch(version)
	f.reloadWaves()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last time.Time // time of the latest decision
	for {
		select {
		case <-f.ctx.Done():
			return
		case e := <-f.events:
			f.handle(e)
			f.drain()
			timer.Reset(last.Add(minFleetInterval).Sub(time.Now()))
		case <-timer.C:
			f.drain()
			last = time.Now()
			f.step(last)
			timer.Reset(fleetInterval)
		}
	}
}

// drain handles all queued events, since a decision on only some of them would use data that is known to be out of date.
func (f *fleet) drain() {
	for {
		select {
		case e := <-f.events:
			f.handle(e)
		default:
			return
		}
	}
}

// handle runs an event and records how long it waited.
func (f *fleet) handle(e fleetEvent) {
	now := time.Now()
	age := now.Sub(e.sentAt)
	f.lag.event = max(f.lag.event, age)
	f.node.metrics.observe(fleetEventAge, age)
	e.apply(now)
}

// applyRow applies a stored row. A row that can't be decoded is logged and skipped.
func (f *fleet) applyRow(shard string, item basilplatform.Item) {
	var err error
	switch item.Key.Sort {
	case waveRecordsSort:
		records := make(map[string]basilcapacity.WaveRecord)
		if err = json.Unmarshal(item.Body, &records); err == nil {
			f.state.SetRecords(records)
		}
	case recentOrdersSort:
		err = f.loadRecentOrders(item.Body)
	case requestSort:
		var a basilcapacity.EvacuationRequest
		if err = json.Unmarshal(item.Body, &a); err == nil {
			f.state.SetRequest(shard, a)
		}
	case answerSort:
		var p basilcapacity.PoolReport
		if err = json.Unmarshal(item.Body, &p); err == nil {
			f.state.SetReport(shard, p, time.Now())
		}
	}
	if err != nil {
		f.log.WithError(err).WithField("row", item.Key.Sort).Error("cannot decode stored row of the fleet")
	}
}

// watch follows the table of the pools' answers.
func (f *fleet) watch(after int64) {
	f.node.keeper.Follow(f.ctx, after, basilshard.FollowOptions{
		Watch: f.node.keeper.WatchTable(answersTable), Reload: f.reloadAnswers, BatchDelay: watchBatchDelay,
		Apply: func(items []basilplatform.Item) bool {
			f.send(func(time.Time) {
				for _, i := range items {
					f.applyRow(i.Key.Partition[len(answersTable)+1:], i)
				}
			})
			return true
		},
	})
}

// reloadAnswers reads all answers of pools again after the store has dropped the history that the watch needs.
func (f *fleet) reloadAnswers(ctx context.Context) (version int64, ok bool) {
	for _, pool := range f.node.configuration().Pools() {
		items, read, err := f.node.store.Snapshot(ctx, answersTable+"/"+pool)
		if err != nil {
			return 0, false
		}
		if !ok {
			version, ok = read, true // the earliest version, since pools that were read before may have changed by the later reads
		}
		f.send(func(time.Time) {
			for _, i := range items {
				f.applyRow(pool, i)
			}
		})
	}
	return version, ok
}

// reloadWaves reads the operators' waves and their states in the background.
func (f *fleet) reloadWaves() {
	go func() {
		waves, unreadable, err := f.node.options.Directory.Waves(f.ctx)
		if err != nil {
			f.log.WithError(err).Warn("cannot read waves")
			return
		}
		if len(unreadable) > 0 {
			f.log.WithField("waves", unreadable).Warn("cannot decode waves; keeping their previous definitions")
		}
		if len(waves) == 0 {
			return
		}
		states, err := f.node.options.Directory.WaveStates(f.ctx)
		if err != nil {
			f.log.WithError(err).Warn("cannot read wave states")
			return
		}
		f.send(func(now time.Time) { f.state.SetWaves(waves, states, now) })
	}()
}

// step refreshes the list of hosts when due, makes one decision and carries it out.
func (f *fleet) step(now time.Time) {
	f.state.SetConfiguration(f.node.configuration())
	f.refreshHosts(now)
	f.warnStaleList(now)
	f.logBlock(now)
	if !f.node.keeper.MayStart() {
		return
	}
	plan := f.state.Decide(now)
	took := time.Since(now)
	f.lag.step = max(f.lag.step, took)
	f.node.metrics.observe(fleetStepTime, took)
	f.logPools(now)
	for pool, a := range plan.Requests {
		f.writeRequest(pool, a)
	}
	f.queueOrders(plan.Orders)
	for _, w := range plan.WaveStates {
		f.writeWaveState(w)
	}
}

// refreshHosts lists the hosts in the background when a listing is due, which is more often while some hosts are away.
func (f *fleet) refreshHosts(now time.Time) {
	interval := idleListInterval
	if f.state.Busy() {
		interval = busyListInterval
	}
	if f.listInFlight || now.Sub(f.listRequestedAt) < interval {
		return
	}
	f.listInFlight = true
	f.listRequestedAt = now
	go func() {
		hosts, err := f.node.options.Machines.Machines(f.ctx)
		f.send(func(now time.Time) {
			f.listInFlight = false
			if err != nil {
				f.log.WithError(err).Warn("cannot list hosts")
				return
			}
			f.lag.listAsOf = f.listRequestedAt
			f.node.metrics.observe(fleetListAge, now.Sub(f.listRequestedAt))
			f.state.SetMachines(hosts, f.listRequestedAt)
		})
	}()
}
