package basilnode

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	fleetShard         = "fleet"
	backendsInterval   = 250 * time.Millisecond // interval over which changes of backend servers' entries are batched; a server writes its entry every 1.5 s
	logCallsInterval   = 10 * time.Second
	configurationRetry = 200 * time.Millisecond
	// Wait of a watch of the configuration. With the timeout of the call after it, a connection that went silent is noticed in 4 s, before the time is
	// over after which the entry host counts as in touch again and has to apply a configuration (contact_ms and config_apply_ms, 5 s at least).
	configurationWait = 1500 * time.Millisecond
	renewInterval     = 310 * time.Millisecond // a quarter of the lease, which leaves room for two lost renewals
	leaseMargin       = 300 * time.Millisecond
	// Longest lease that an owner requests from backend servers. With the time for which it extends them without renewing its own, runs last for 9.2 s
	// after the last renewal; a long-running task whose server is lost has to run again 9 s after its last run.
	maxLeaseTerm       = 5700 * time.Millisecond
	minClockRate       = 0.98 // lowest rate at which a backend server's clock may run
	graceSlack         = 400 * time.Millisecond
	stopPollInterval   = 20 * time.Millisecond
	finalCommitTimeout = 1200 * time.Millisecond // time limit of a stopping owner for its last commit
)

// Options configure an entry host.
type Options struct {
	Self                basilshard.Member
	Clock               basilshard.Clock
	StoreClock          *basilwork.StoreClock // nil if the store has no clock; then times of predecessors count as unknown
	Lease               time.Duration         // how long a member's row may go without renewal before its shards are taken over
	RenewalRate         float64               // renewals of all members per second; 0 for no limit
	MaxLease            time.Duration         // lease on a slow store; 0 for Lease
	MaxHold             time.Duration         // the longest lease that a backend server grants
	HoldLimit           time.Duration         // how long after its last renewal the member stops extending backend servers' leases
	StatusRetention     time.Duration         // how long a finished job's state is kept
	StopTimeout         time.Duration         // how long a stopped run takes to end, at most
	HolderChangeDelay   time.Duration         // minimum time between orders of different holders for one host
	DrainStartWindow    time.Duration         // how long after a backend server announces that it is leaving tasks may still start there; 0 uses the default
	CancelStartWindow   time.Duration         // how long after a cancellation is confirmed to the caller tasks may still start; 0 uses the default
	MoveDuration        time.Duration         // duration of a host's move to another pool
	MaintenanceDuration time.Duration         // duration of a host's maintenance
	OrderRate           float64               // rate of orders for hosts that the platform accepts, per second; 0 if it isn't known
	Store               basilwork.Store
	// SinglePartition is set if the store has no transactions over several partitions.
	SinglePartition bool
	Directory       basilwork.Directory
	Commander       basilwork.Commander
	Advisor         basilwork.Advisor
	Machines        basilwork.Machines
	Codec           Codec
	// Control is a store client of its own for renewals, reads of members and watches, so that these don't wait for the
	// connections of other calls; nil uses Store.
	Control basilwork.Store
	// Peers sends requests to other entry hosts, at the addresses of their members; with nil no jobs are forwarded.
	Peers         http.RoundTripper
	CallCounts    func() map[string]basilwork.CallCount // counts of platform calls by kind, for logs and metrics; may be nil
	ProcessorTime func() time.Duration                  // processor time used by the process so far; nil asks the system
	SetGCPercent  func(percent int)                     // sets the garbage collection percentage (GOGC); nil leaves it as it is
	Log           *logrus.Logger
}

// Node is one entry host.
type Node struct {
	options             Options
	log                 *logrus.Logger
	store               basilwork.Store
	ledger              *basilledger.Ledger
	commander           basilwork.Commander
	advisor             basilwork.Advisor
	keeper              *basilshard.Keeper
	recovery            *basilshard.Recovery
	probe               func(ctx context.Context) error // of the store
	metrics             *metrics
	peers               *peers
	directWrites        writeWindows
	assignments         assignments
	backendsFreshness   freshness // of the backend servers' entries
	ctx                 context.Context
	activeConfiguration atomic.Pointer[basilwork.Configuration]
	stopping            atomic.Bool
	poolGained          chan struct{} // signals that this entry host has become the owner of a pool
	mutex               sync.Mutex    // guards the fields below
	owners              map[string]*owner
	fleet               *fleet
	backendsByID        map[string]basilwork.Backend // backend servers' entries, by id
}

// New returns an entry host, which Run starts.
func New(o Options) *Node {
	if o.ProcessorTime == nil {
		o.ProcessorTime = processorTime
	}
	m := newMetrics(o.CallCounts)
	o.Store = loggedStore{Store: o.Store, log: o.Log, metrics: m}
	n := &Node{
		options: o, log: o.Log, store: o.Store, ledger: basilledger.New(o.Store), commander: o.Commander, advisor: o.Advisor,
		metrics: m, recovery: basilshard.NewRecovery(), peers: newPeers(o.Peers), owners: make(map[string]*owner), poolGained: make(chan struct{}, 1),
	}
	n.backendsFreshness.watchBackends(o.Clock, cmp.Or(o.DrainStartWindow, defaultDrainStartWindow))
	if o.Control == nil {
		o.Control = o.Store
	}
	n.probe = basilshard.Probe(o.Control, o.Self.Node)
	o.Store, o.Control = n.recovery.Wrap(o.Store), n.recovery.Wrap(o.Control)
	n.store, n.ledger = o.Store, basilledger.New(o.Store)
	n.setGCPercent()
	n.keeper = basilshard.New(basilshard.Options{
		Self: o.Self, Store: o.Control, Clock: o.Clock, Log: o.Log,
		Lease: o.Lease, MaxLease: o.MaxLease, Margin: leaseMargin, Renew: renewInterval, RenewalRate: o.RenewalRate, SinglePartition: o.SinglePartition, Recovery: n.recovery, OnAcquired: n.startShard, OnLost: n.endShard, OnBetterOwner: n.handOverToBetter,
	})
	return n
}

// Run runs the entry host until the context ends. For a graceful shutdown call Stop first.
func (n *Node) Run(ctx context.Context) {
	n.ctx = ctx
	var group sync.WaitGroup
	group.Go(func() { n.followConfiguration(ctx) })
	group.Go(func() { n.followBackends(ctx) })
	group.Go(func() { n.keeper.Run(ctx) })
	group.Go(func() { n.recovery.Run(ctx, n.log, n.probe, n.keeper.InterruptWatches) })
	group.Go(func() { n.logCalls(ctx) })
	group.Wait()
}

// logCalls logs the platform calls and the resource usage so far, once per logCallsInterval.
func (n *Node) logCalls(ctx context.Context) {
	for n.options.CallCounts != nil && basiltimer.Wait(ctx, logCallsInterval) == nil {
		u := readUsage()
		n.log.WithFields(logrus.Fields{
			"calls": n.options.CallCounts(), "processor_ms": u.processor.Milliseconds(), "memory_kb": u.memory >> 10, "goroutines": u.goroutines,
		}).Info("platform calls")
	}
}

func (n *Node) configuration() *basilwork.Configuration {
	if c := n.activeConfiguration.Load(); c != nil {
		return c
	}
	return &basilwork.Configuration{}
}

// Ready reports whether callers should be sent here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.activeConfiguration.Load() != nil && !n.storeUnreachable()
}

// storeUnreachable reports whether the store counts as unreachable: the lease has expired, and no call has been answered for a
// while. Without a lease jobs may still be stored, since the answer to the write is the proof.
func (n *Node) storeUnreachable() bool {
	return !n.keeper.MayStart() && n.recovery.Unreachable()
}

// followConfiguration loads the configuration, and loads it again whenever an operator changes it.
func (n *Node) followConfiguration(ctx context.Context) {
	version, ok := n.loadConfiguration(ctx)
	for !ok && ctx.Err() == nil {
		_ = basiltimer.Wait(ctx, configurationRetry) // the loop checks the context
		version, ok = n.loadConfiguration(ctx)
	}
	n.keeper.Follow(ctx, version, basilshard.FollowOptions{
		Reload: n.loadConfiguration,
		Watch:  n.options.Directory.WatchOperator,
		Wait:   configurationWait,
		Apply: func([]basilplatform.Item) bool {
			_, ok := n.loadConfiguration(ctx)
			return ok
		},
	})
}

func (n *Node) loadConfiguration(ctx context.Context) (int64, bool) {
	c, version, err := n.options.Directory.Configuration(ctx)
	if basilplatform.IsErrItemNotExist(err) {
		return version, version > 0
	}
	if err != nil {
		n.log.WithError(err).Warn("cannot read configuration")
		return 0, false
	}
	before := n.activeConfiguration.Load()
	if before == nil || before.Version < c.Version {
		n.applyConfiguration(c)
	}
	if f := n.fleetOwner(); f != nil {
		f.reloadWaves()
	}
	return version, true
}

func (n *Node) applyConfiguration(c *basilwork.Configuration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.activeConfiguration.Store(c)
	n.log.WithFields(logrus.Fields{basillog.FieldRevision: c.Version, "queues": len(c.Queues)}).Info("configuration applied")
	shards := append(c.Pools(), fleetShard)
	slices.Sort(shards)
	n.keeper.SetShards(shards)
	for _, o := range n.owners {
		go o.send(func(time.Time) { o.pool.SetConfiguration(c) })
	}
}

func (n *Node) poolOwners() []*owner {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	owners := make([]*owner, 0, len(n.owners))
	for _, o := range n.owners {
		owners = append(owners, o)
	}
	return owners
}

func (n *Node) fleetOwner() *fleet {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.fleet
}

// startShard starts the work of a shard that this entry host has come to own.
func (n *Node) startShard(shard string, row basilshard.OwnerRow) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stopping.Load() {
		return
	}
	defer n.setGCPercent()
	if shard == fleetShard {
		n.fleet = newFleet(n, row)
		go n.fleet.run()
		return
	}
	o := newOwner(n, shard, row)
	n.owners[shard] = o
	go o.run()
	select {
	case n.poolGained <- struct{}{}:
	default: // a signal is pending already
	}
}

// endShard ends the work of a shard that this entry host no longer owns.
func (n *Node) endShard(shard string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	defer n.setGCPercent()
	if shard == fleetShard {
		if n.fleet != nil {
			n.fleet.cancel()
			n.fleet = nil
		}
		return
	}
	if o := n.owners[shard]; o != nil {
		o.cancel()
		delete(n.owners, shard)
	}
}

// Stop hands over all shards. Callers' requests are still served.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.keeper.StopClaiming()
	var group sync.WaitGroup
	group.Go(func() { n.keeper.AnnounceStop(ctx) })
	if f := n.fleetOwner(); f != nil {
		f.cancel()
		group.Go(func() { n.keeper.ReleaseShard(ctx, fleetShard, f.row.Epoch) })
	}
	for _, o := range n.poolOwners() {
		group.Go(func() {
			o.stop(ctx)
			n.keeper.ReleaseShard(ctx, o.service, o.row.Epoch)
		})
	}
	group.Wait()
	n.keeper.Release(ctx)
}

// predecessorGrace returns how long runs of a shard's previous owner may continue without this one knowing of them: until their leases
// expire and, if that owner may still be alive, for as long as it may extend them.
func (n *Node) predecessorGrace(row basilshard.OwnerRow) time.Duration {
	longest := n.options.MaxHold
	if row.Since < row.Epoch { // owners of older releases request longer leases
		longest = min(longest, maxLeaseTerm)
	}
	leases := time.Duration(float64(longest)/minClockRate) + graceSlack
	if row.PreviousEnded {
		return leases
	}
	return leases + max(0, n.options.HoldLimit-n.options.Lease) // the member's lease had already expired at the takeover
}

// handOver gives a shard to another entry host.
func (n *Node) handOver(shard string, slow bool) {
	n.mutex.Lock()
	o, f := n.owners[shard], n.fleet
	n.mutex.Unlock()
	var epoch int64 // of the ownership that ends here; a new one may have begun since
	switch {
	case n.stopping.Load():
		return // Stop hands over all shards
	case o != nil:
		o.stop(n.ctx)
		epoch = o.row.Epoch
	case shard == fleetShard && f != nil:
		f.cancel()
		epoch = f.row.Epoch
	}
	n.keeper.HandOver(n.ctx, shard, epoch, slow)
}

// handOverToBetter hands over a shard for which another member is clearly handOverToBetter suited.
func (n *Node) handOverToBetter(shard string) {
	n.log.WithField(basillog.FieldPool, shard).Info("handing over shard to a more powerful entry host")
	go n.handOver(shard, false)
}

// stop shuts the owner down: it starts no more tasks, waits for orders in flight, and stores all changes.
func (o *owner) stop(ctx context.Context) {
	o.handoverOnce.Do(func() {
		o.send(func(time.Time) { o.stopping = true })
		o.orders.stop()
		o.finishOrders(ctx)
		o.leave(ctx)
		o.cancel()
	})
	<-o.done
}

// finishOrders waits until all orders are answered and all records that had changed by then are stored, for
// finalCommitTimeout at most. Runs that end later are left to the successor, since at a peak some end all the time.
func (o *owner) finishOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalCommitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		clean := make(chan bool, 1)
		o.send(func(time.Time) {
			if o.orders.idle() {
				o.commit.stopAfterChanges(o.pool.Changes())
			}
			clean <- o.commit.stopped(o.pool)
		})
		select {
		case done := <-clean:
			if done {
				return
			}
		case <-o.ctx.Done():
			return
		case <-ctx.Done():
		}
		_ = basiltimer.Wait(ctx, stopPollInterval) // the loop checks the context
	}
}

// Holder returns the name and address of the entry host that owns a shard, as far as this one knows.
func (n *Node) Holder(shard string) (node, address string) { return n.keeper.Owner(shard) }
