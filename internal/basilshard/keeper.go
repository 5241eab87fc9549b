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
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	memberPartition   = "members/"
	ownerTable        = "owners"
	ownerSort         = "owner"
	retryDelay        = 300 * time.Millisecond
	minSlowTime       = 6 * time.Second        // shortest time marked as slow; phases of slowness last some seconds
	maxSlowTime       = time.Minute            // longest time marked as slow, for a host that stays slow
	minIdleRounds     = 4                      // rounds between reads of the members by a host that is not next in line for a shard
	idleRoundsMembers = 30                     // number of members above which an idle host reads them more rarely
	maxIdleRounds     = 12                     // limit of such rounds: all first candidates may be lost with a data centre
	minReadTimeout    = 400 * time.Millisecond // shortest timeout of a read of the members or owners; a store that becomes slow takes about 300 ms at once
	maxReadTimeout    = 3 * time.Second        // longest one
	roundRetryDelay   = 100 * time.Millisecond // after a round without an answer
)

// OwnerKey returns the key of a shard's owner row, in the same part as the shard's jobs.
func OwnerKey(shard string) basilplatform.Key {
	return basilplatform.Key{Partition: ownerTable + "/" + shard, Sort: ownerSort}
}

func memberKey(node string) basilplatform.Key {
	return basilplatform.Key{Partition: memberPartition, Sort: node}
}

// Options configures a Keeper.
type Options struct {
	Self        Member
	Store       basilwork.Store
	Clock       Clock
	Log         *logrus.Logger
	Lease       time.Duration // time without a renewal after which the lease expires on a store that answers quickly
	MaxLease    time.Duration // the same on a slow store; 0 for Lease
	Margin      time.Duration // time before the lease expires during which no work is started
	Renew       time.Duration // shortest renewal interval
	RenewalRate float64       // renewals of all members per second that their partition of the store takes; 0 for no limit
	// SinglePartition is set if the store supports no transactions across partitions.
	SinglePartition bool
	// Recovery, unless nil, knows when the store answers again.
	Recovery *Recovery
	// OnAcquired and OnLost are called one at a time, in the order of the owner rows' versions.
	OnAcquired func(shard string, row OwnerRow)
	OnLost     func(shard string)
	// OnBetterOwner, unless nil, is called for a shard of this entry host that should move to a clearly better member;
	// the callee stops the shard's work and calls HandOver.
	OnBetterOwner func(shard string)
}

// Keeper renews this entry host's member row, claims shards and tracks which ones it owns.
type Keeper struct {
	options       Options
	mutex         sync.Mutex // guards shards, state, owned, released, membersReadAt, slowTime, openWatches and watchCount
	notifyMutex   sync.Mutex // held from applying an owner row until OnAcquired and OnLost have returned
	shards        []string
	state         *State
	membersReadAt time.Duration // clock time of the last read of the members
	owned         map[string]OwnerRow
	released      map[string]int64          // by shard, versions of the owner rows that ReleaseShard has released
	wake          chan struct{}             // has room for one signal, which starts the next round at once
	startUntil    atomic.Int64              // clock time in nanoseconds before which work may be started
	renewedAt     atomic.Int64              // clock time at which the newest answered renewal was sent
	timeout       *basiltimer.AnswerTimeout // of renewals
	readTimeout   *basiltimer.AnswerTimeout // of reads of the members and owners
	memberWrites  memberWrites
	stopping      atomic.Bool
	releasing     atomic.Bool  // all shards are to be released
	slowUntil     atomic.Int64 // clock time
	slowTime      time.Duration
	failedAt      atomic.Int64 // clock time of the newest failed renewal or read of the members, 0 for none
	openWatches   map[int64]context.CancelFunc
	watchCount    int64 // number of watches opened so far, for their IDs
	startedAt     time.Duration
}

// New returns a keeper.
func New(o Options) *Keeper {
	return &Keeper{
		timeout: basiltimer.NewAnswerTimeout(minRenewalWait, maxRenewalWait), readTimeout: basiltimer.NewAnswerTimeout(minReadTimeout, maxReadTimeout),
		options: o, state: NewState(o.Self, max(o.Lease, o.MaxLease), o.Renew), owned: make(map[string]OwnerRow), released: make(map[string]int64),
		wake: make(chan struct{}, 1), startedAt: o.Clock(), openWatches: make(map[int64]context.CancelFunc),
	}
}

// SetShards replaces the set of shards that need owners.
func (k *Keeper) SetShards(shards []string) {
	k.mutex.Lock()
	same := slices.Equal(k.shards, shards)
	k.shards = slices.Clone(shards)
	k.mutex.Unlock()
	if !same {
		k.wakeUp()
	}
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// MayStart reports whether this entry host's lease is valid, so that it may start work of its shards.
func (k *Keeper) MayStart() bool {
	return int64(k.options.Clock()) < k.startUntil.Load()
}

// SinceRenewal returns the time since the newest answered renewal was sent.
func (k *Keeper) SinceRenewal() time.Duration {
	return k.options.Clock() - time.Duration(k.renewedAt.Load())
}

// Owner returns the node that owns a shard and its address; unknown ones are empty.
func (k *Keeper) Owner(shard string) (node, address string) {
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

// RandomPeers returns the addresses of up to limit other live members, chosen at random.
func (k *Keeper) RandomPeers(limit int) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var list []string
	for _, m := range k.state.Live() {
		if m.Node != k.options.Self.Node && m.Address != "" {
			list = append(list, m.Address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}

// Run maintains membership and shard ownership until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.watchOwners(ctx)
	go k.keepLease(ctx)
	for ctx.Err() == nil {
		recovered := k.options.Recovery.Recovered()
		wait := k.renewInterval()
		if k.releasing.Load() {
			k.releaseAll(ctx)
		}
		if !k.round(ctx, recovered) {
			wait = roundRetryDelay
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-recovered:
		case <-k.wake:
		}
		timer.Stop()
	}
}

// round reads the other members and claims shards without an owner. It returns false if the store didn't answer.
func (k *Keeper) round(ctx context.Context, recovered <-chan struct{}) bool {
	if k.membersDue() && !k.readMembers(ctx) {
		k.roundFailed(recovered)
		return false
	}
	k.claimShards(ctx)
	k.offerShard()
	return true
}

// membersDue reports whether the members have to be read in this round.
func (k *Keeper) membersDue() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.state.Involved(k.shards, k.options.Clock()) || k.options.Clock()-k.membersReadAt >= time.Duration(k.state.idleRounds())*k.options.Renew
}

// offerShard calls OnBetterOwner for a shard that should move to a clearly better member.
func (k *Keeper) offerShard() {
	if k.options.OnBetterOwner == nil || k.stopping.Load() || !k.MayStart() {
		return
	}
	k.mutex.Lock()
	shard, ok := k.state.NextHandOver(k.shards, k.options.Clock())
	k.mutex.Unlock()
	if ok {
		k.options.OnBetterOwner(shard)
	}
}

// DecideHandOver reports whether another member would be a better owner of this entry host's shard, given that this host works at the given
// fraction of the speed that its weight stands for. If so, the caller stops the shard's work and calls HandOver.
func (k *Keeper) DecideHandOver(shard string, rate float64) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.state.DecideHandOver(shard, k.shards, rate, k.options.Clock())
}

// roundFailed records that a renewal or a read of the members failed. It leaves the watches open if that call was ended
// because the store has answered again.
func (k *Keeper) roundFailed(recovered <-chan struct{}) {
	select {
	case <-recovered:
	default:
		k.InterruptWatches()
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.MarkReadFailed()
}

// Slow reports whether this entry host is marked as slow: it recently handed over a shard because it ran slower than its
// weight says.
func (k *Keeper) Slow() bool { return int64(k.options.Clock()) < k.slowUntil.Load() }

// StopClaiming makes this entry host claim no more shards.
func (k *Keeper) StopClaiming() { k.stopping.Store(true) }
