package basilshard

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	memberPartition = "members/"
	ownerTable      = "owners"
	ownerSort       = "owner"
	retryPause      = 300 * time.Millisecond
	slowTime        = 6 * time.Second        // slow spells last some seconds
	slowMost        = time.Minute            // that others claim first where a spell does not end
	idleRounds      = 4                      // rounds between reads of members by one that others would claim shards before
	idleMembers     = 30                     // members from which on there are more such rounds
	idleMost        = 12                     // such rounds at most: all first candidates may be lost with a data centre
	callTime        = 700 * time.Millisecond // of a renewal or a read of members; a slow store takes some 400 ms
)

// OwnerKey returns the key of a shard's owner row, in the part of its jobs.
func OwnerKey(shard string) basilplatform.Key {
	return basilplatform.Key{Partition: ownerTable + "/" + shard, Sort: ownerSort}
}

func memberKey(node string) basilplatform.Key {
	return basilplatform.Key{Partition: memberPartition, Sort: node}
}

// Options are what a keeper is made with.
type Options struct {
	Self   Member
	Store  basilwork.Store
	Clock  Clock
	Log    *logrus.Logger
	Lease  time.Duration // that a member's row may stand still
	Margin time.Duration // before the lease ends, in which no work is started any more
	Renew  time.Duration // between renewals
	// SinglePart says that the store keeps no transaction over several partitions.
	SinglePart bool
	// Owned and Lost are called one at a time, in the order of the owner rows.
	Owned func(shard string, row OwnerRow)
	Lost  func(shard string)
	// Better is called when a clearly better member is to have a shard of this entry host; it leads to HandOver.
	// It may be nil.
	Better func(shard string)
}

// Keeper renews this entry host's row, claims shards and tells which ones it owns.
type Keeper struct {
	options   Options
	mutex     sync.Mutex // guards shards, state, observed, slowFor, open and watches
	telling   sync.Mutex // held from the taking of an owner row to the return of Owned and Lost
	shards    []string
	state     *State
	observed  time.Duration // on the clock: when members were last read
	owned     map[string]OwnerRow
	given     map[string]int64 // versions of owner rows that this process has released while it stops
	changed   chan struct{}
	until     atomic.Int64  // on the clock, in nanoseconds: work may be started before
	renewed   atomic.Int64  // on the clock: the newest answered renewal
	member    *Row          // that others see this entry host renew; of who holds writing
	writing   chan struct{} // held while the member's row is written
	stop      atomic.Bool
	slowUntil atomic.Int64 // on the clock
	slowFor   time.Duration
	failed    atomic.Int64 // on the clock: the newest failed renewal, 0 for none
	open      map[int64]context.CancelFunc
	watches   int64 // so far
	started   time.Duration
}

// New returns a keeper.
func New(o Options) *Keeper {
	member := NewRow(o.Store, memberKey(o.Self.Node))
	member.limit = callTime
	return &Keeper{
		options: o, state: NewState(o.Self, o.Lease, o.Renew), owned: make(map[string]OwnerRow), given: make(map[string]int64), member: member,
		changed: make(chan struct{}, 1), writing: make(chan struct{}, 1), started: o.Clock(), open: make(map[int64]context.CancelFunc),
	}
}

// SetShards replaces the shards that have to have owners.
func (k *Keeper) SetShards(shards []string) {
	k.mutex.Lock()
	same := slices.Equal(k.shards, shards)
	k.shards = slices.Clone(shards)
	k.mutex.Unlock()
	if !same {
		k.poke()
	}
}

func (k *Keeper) poke() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// MayStart tells whether an owner may start work: its lease holds.
func (k *Keeper) MayStart() bool {
	return int64(k.options.Clock()) < k.until.Load()
}

// SinceRenewal returns how long ago the newest answered renewal was sent.
func (k *Keeper) SinceRenewal() time.Duration {
	return k.options.Clock() - time.Duration(k.renewed.Load())
}

// Holder returns the node that owns a shard and its address, or empty texts.
func (k *Keeper) Holder(shard string) (node, address string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	row := k.state.Owner(shard)
	if row.Address != "" {
		return row.Node, row.Address
	}
	if m := k.state.members[row.Node]; m != nil && m.member.Incarnation == row.Incarnation {
		return row.Node, m.member.Address
	}
	return row.Node, ""
}

// Others returns the addresses of some other members that renewed when last read, chosen at random.
func (k *Keeper) Others(most int) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var list []string
	for _, m := range k.state.Live() {
		if m.Node != k.options.Self.Node && m.Address != "" {
			list = append(list, m.Address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(most, len(list))]
}

// Run keeps membership and ownership until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.watch(ctx)
	for ctx.Err() == nil {
		k.round(ctx)
		timer := time.NewTimer(k.options.Renew)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.changed:
		}
		timer.Stop()
	}
}

// round renews the member's row, reads the others' and claims what has no owner. The first two go on at once, so that
// a slow store does not cost the lease.
func (k *Keeper) round(ctx context.Context) {
	renewed := make(chan bool, 1)
	if k.SinceRenewal() >= k.options.Renew/2 || k.renewed.Load() == 0 {
		go func() { renewed <- k.renew(ctx) }()
	} else {
		renewed <- true
	}
	observed := !k.observes() || k.observe(ctx)
	if !<-renewed || !observed {
		k.missed()
		return
	}
	k.claim(ctx)
	k.offer()
}

// observes tells whether members are to be read in this round.
func (k *Keeper) observes() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.state.Involved(k.shards, k.options.Clock()) || k.options.Clock()-k.observed >= time.Duration(k.state.rounds())*k.options.Renew
}

// offer tells of a shard that a clearly better member is to have.
func (k *Keeper) offer() {
	if k.options.Better == nil || k.stop.Load() || !k.MayStart() {
		return
	}
	k.mutex.Lock()
	shard, ok := k.state.HandOver(k.shards, k.options.Clock())
	k.mutex.Unlock()
	if ok {
		k.options.Better(shard)
	}
}

// Better tells whether another member would do better with a shard of this entry host, which works at the rate of its weight.
func (k *Keeper) Better(rate float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.state.Better(k.shards, rate)
}

func (k *Keeper) missed() {
	k.interrupt()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.Missed()
}

// Slow tells whether this entry host has lately handed over a shard because it was slower than its weight says.
func (k *Keeper) Slow() bool { return int64(k.options.Clock()) < k.slowUntil.Load() }

// Stopping makes this entry host claim nothing any more.
func (k *Keeper) Stopping() { k.stop.Store(true) }
