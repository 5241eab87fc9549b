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
	fleetShard    = "fleet"
	backendsEvery = 250 * time.Millisecond // in which changes of backend servers' entries gather; they write every 1.5 s
	callsEvery    = 10 * time.Second
	configRetry   = 200 * time.Millisecond
	renewEvery    = 550 * time.Millisecond // a quarter of the lease leaves room for two lost renewals
	leaseMargin   = 400 * time.Millisecond
	slowestClock  = 0.98 // the least rate of a backend server's clock
	graceSlack    = 400 * time.Millisecond
	stopPoll      = 20 * time.Millisecond
	stopCommit    = 1200 * time.Millisecond // that a stopping owner has for its last commit
)

// Options are what an entry host is made with.
type Options struct {
	Self      basilshard.Member
	Clock     basilshard.Clock
	Lease     time.Duration // that a member's row may stand still before its shards are taken over
	MaxHold   time.Duration // the longest lease that a backend server grants
	HoldLimit time.Duration // without a renewal after which leases are not extended any more
	Status    time.Duration // that a finished job's state is kept
	Stop      time.Duration // that a stopped run takes to end, at most
	Order     time.Duration // between orders of different holders for one host
	Drain     time.Duration // after a backend server has said that it is leaving in which tasks may start there; 0 is a usual time
	Cancel    time.Duration // after a cancelling was answered in which tasks may start; 0 is a usual time
	Migrate   time.Duration // of a host's move
	Maintain  time.Duration // of a host's maintenance
	Orders    float64       // for hosts, per second, that the platform accepts; 0 if it does not tell
	Store     basilwork.Store
	// SinglePart says that the store keeps no transaction over several partitions.
	SinglePart bool
	Directory  basilwork.Directory
	Commander  basilwork.Commander
	Advisor    basilwork.Advisor
	Machines   basilwork.Machines
	Codec      Codec
	// Control is the store as renewals, reads of members and watches reach it, so that they wait for no other call's connection;
	// nil is Store.
	Control basilwork.Store
	// Peers carries calls to the addresses of other entry hosts' members; nil forwards nothing.
	Peers     http.RoundTripper
	Calls     func() map[string]basilwork.CallCount // by kind, for logs and metrics; may be nil
	Processor func() time.Duration                  // that the process has used so far; nil asks the system
	Collect   func(percent int)                     // sets how far the heap may grow between collections; nil leaves it
	Log       *logrus.Logger
}

// Node is one entry host.
type Node struct {
	options   Options
	log       *logrus.Logger
	store     basilwork.Store
	ledger    *basilledger.Ledger
	commander basilwork.Commander
	advisor   basilwork.Advisor
	keeper    *basilshard.Keeper
	metrics   *metrics
	peers     *peers
	direct    windows
	entries   feed // of backend servers
	ctx       context.Context
	current   atomic.Pointer[basilwork.Configuration]
	stopping  atomic.Bool
	gained    chan struct{} // a pool is owned that was not before
	mutex     sync.Mutex    // guards what follows
	owners    map[string]*owner
	fleet     *fleet
	listed    map[string]basilwork.Backend // entries of backend servers, by id
	former    map[string][]string          // services that queues had before, by queue
}

// New returns an entry host.
func New(o Options) *Node {
	if o.Processor == nil {
		o.Processor = processorTime
	}
	m := newMetrics(o.Calls)
	o.Store = checkedStore{Store: o.Store, log: o.Log, metrics: m}
	n := &Node{
		options: o, log: o.Log, store: o.Store, ledger: basilledger.New(o.Store), commander: o.Commander, advisor: o.Advisor,
		metrics: m, peers: newPeers(o.Peers), owners: make(map[string]*owner), former: make(map[string][]string), gained: make(chan struct{}, 1),
	}
	n.entries.watchBackends(o.Clock, cmp.Or(o.Drain, defaultDrain))
	if o.Control == nil {
		o.Control = o.Store
	}
	n.tuneCollector()
	n.keeper = basilshard.New(basilshard.Options{
		Self: o.Self, Store: o.Control, Clock: o.Clock, Log: o.Log,
		Lease: o.Lease, Margin: leaseMargin, Renew: renewEvery, SinglePart: o.SinglePart, Owned: n.owned, Lost: n.lost, Better: n.better,
	})
	return n
}

// Run works until the context ends; Stop is called first for a graceful stop.
func (n *Node) Run(ctx context.Context) {
	n.ctx = ctx
	var group sync.WaitGroup
	group.Go(func() { n.followConfiguration(ctx) })
	group.Go(func() { n.followBackends(ctx) })
	group.Go(func() { n.keeper.Run(ctx) })
	group.Go(func() { n.logCalls(ctx) })
	group.Wait()
}

// logCalls writes a line of what was called and used so far, once per callsEvery.
func (n *Node) logCalls(ctx context.Context) {
	for n.options.Calls != nil && basiltimer.Wait(ctx, callsEvery) == nil {
		u := readUsage()
		n.log.WithFields(logrus.Fields{
			"calls": n.options.Calls(), "processor_ms": u.processor.Milliseconds(), "memory_kb": u.memory >> 10, "goroutines": u.goroutines,
		}).Info("platform calls")
	}
}

func (n *Node) configuration() *basilwork.Configuration {
	if c := n.current.Load(); c != nil {
		return c
	}
	return &basilwork.Configuration{}
}

// Ready tells whether callers should be sent here.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.current.Load() != nil && !n.storeAway()
}

// storeAway tells whether the store has not answered for longer than a renewal should take.
func (n *Node) storeAway() bool {
	return n.keeper.SinceRenewal() > n.options.Lease-leaseMargin
}

// followConfiguration takes up configurations as operators write them.
func (n *Node) followConfiguration(ctx context.Context) {
	version, ok := n.loadConfiguration(ctx)
	for !ok && ctx.Err() == nil {
		_ = basiltimer.Wait(ctx, configRetry) // an ended context ends the loop
		version, ok = n.loadConfiguration(ctx)
	}
	n.keeper.Follow(ctx, version, basilshard.Following{
		Reload: n.loadConfiguration,
		Watch:  n.options.Directory.WatchOperator,
		Take: func([]basilplatform.Item) bool {
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
		n.log.WithError(err).Warn("configuration not read")
		return 0, false
	}
	before := n.current.Load()
	if before == nil || before.Version < c.Version {
		n.takeConfiguration(before, c)
	}
	if f := n.fleetOwner(); f != nil {
		f.poke()
	}
	return version, true
}

func (n *Node) takeConfiguration(before, c *basilwork.Configuration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if before != nil {
		n.noteFormer(before, c)
	}
	n.current.Store(c)
	n.log.WithFields(logrus.Fields{basillog.FieldRevision: c.Version, "queues": len(c.Queues)}).Info("configuration in force")
	shards := append(c.Pools(), fleetShard)
	slices.Sort(shards)
	n.keeper.SetShards(shards)
	for _, o := range n.owners {
		go o.send(func(time.Time) { o.pool.SetConfiguration(c) })
	}
}

// noteFormer remembers which services queues were sent to before.
func (n *Node) noteFormer(before, c *basilwork.Configuration) {
	for i := range before.Queues {
		q := &before.Queues[i]
		if next := c.Queue(q.Name); next != nil && next.Service != q.Service && !slices.Contains(n.former[q.Name], q.Service) {
			n.former[q.Name] = append(n.former[q.Name], q.Service)
		}
	}
}

func (n *Node) formerServices(queue string) []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.former[queue]
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

// owned starts a shard's work.
func (n *Node) owned(shard string, row basilshard.OwnerRow) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stopping.Load() {
		return
	}
	defer n.tuneCollector()
	if shard == fleetShard {
		n.fleet = newFleet(n, row)
		go n.fleet.run()
		return
	}
	o := newOwner(n, shard, row)
	n.owners[shard] = o
	go o.run()
	select {
	case n.gained <- struct{}{}:
	default: // it is known already
	}
}

// lost ends a shard's work.
func (n *Node) lost(shard string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	defer n.tuneCollector()
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

// Stop hands over the shards; callers are still served.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.keeper.Stopping()
	var group sync.WaitGroup
	group.Go(func() { n.keeper.Announce(ctx) })
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

// grace returns how long runs of a shard's earlier owner may go on unseen: as long as their leases, and
// if that owner may still live, as long as it may extend them.
func (n *Node) grace(row basilshard.OwnerRow) time.Duration {
	leases := time.Duration(float64(n.options.MaxHold)/slowestClock) + graceSlack
	if row.Dead {
		return leases
	}
	return leases + max(0, n.options.HoldLimit-n.options.Lease) // the lease had passed when the shard was taken over
}

// handOver gives a shard to another entry host.
func (n *Node) handOver(shard string, slow bool) {
	n.mutex.Lock()
	o, f := n.owners[shard], n.fleet
	n.mutex.Unlock()
	var epoch int64 // of the stopped work; another may have begun since
	switch {
	case n.stopping.Load():
		return // all are handed over
	case o != nil:
		o.stop(n.ctx)
		epoch = o.row.Epoch
	case shard == fleetShard && f != nil:
		f.cancel()
		epoch = f.row.Epoch
	}
	n.keeper.HandOver(n.ctx, shard, epoch, slow)
}

// better hands over a shard that a clearly better member is to have.
func (n *Node) better(shard string) {
	n.log.WithField(basillog.FieldPool, shard).Info("stronger entry host is free, shard handed over")
	go n.handOver(shard, false)
}

// stop ends the starting of work, waits for orders in flight, stores what is known and ends the owner.
func (o *owner) stop(ctx context.Context) {
	o.leaving.Do(func() {
		o.send(func(time.Time) { o.stopping = true })
		o.orders.stop()
		o.finish(ctx)
		o.leave(ctx)
		o.cancel()
	})
	<-o.done
}

// finish waits until all orders are answered and all records are stored, for stopCommit at most.
func (o *owner) finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopCommit)
	defer cancel()
	for ctx.Err() == nil {
		clean := make(chan bool, 1)
		o.send(func(time.Time) {
			ids, _ := o.pool.Dirty()
			clean <- len(ids) == 0 && !o.commit.inFlight && len(o.commit.entries) == 0 && o.orders.idle()
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
		_ = basiltimer.Wait(ctx, stopPoll) // an ended context ends the loop
	}
}

// Holder returns the entry host that owns a shard, as this one knows it.
func (n *Node) Holder(shard string) (node, address string) { return n.keeper.Holder(shard) }
