package basilshard

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	memberPartition = "members/"
	ownerTable      = "owners"
	ownerSort       = "owner"
	retryPause      = 300 * time.Millisecond
	slowTime        = 6 * time.Second        // slow spells last some seconds
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
	// Owned and Lost are called from the keeper's goroutine.
	Owned func(shard string, row OwnerRow)
	Lost  func(shard string)
}

// Keeper renews this entry host's row, claims shards and tells which ones it owns.
type Keeper struct {
	options   Options
	mutex     sync.Mutex // guards shards, state, open and watches
	shards    []string
	state     *State
	owned     map[string]OwnerRow
	changed   chan struct{}
	until     atomic.Int64  // on the clock, in nanoseconds: work may be started before
	renewed   atomic.Int64  // on the clock: the newest answered renewal
	version   int64         // of the member's row, 0 for none; of who holds writing
	writing   chan struct{} // held while the member's row is written
	stop      atomic.Bool
	slowUntil atomic.Int64 // on the clock
	failed    atomic.Int64 // on the clock: the newest failed renewal, 0 for none
	open      map[int64]context.CancelFunc
	watches   int64 // so far
	started   time.Duration
}

// New returns a keeper.
func New(o Options) *Keeper {
	return &Keeper{
		options: o, state: NewState(o.Self, o.Lease, o.Renew), owned: make(map[string]OwnerRow),
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

// Live returns the members that renew.
func (k *Keeper) Live() []Member {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.state.Live()
}

// Holder returns the node that owns a shard and its address, or empty texts.
func (k *Keeper) Holder(shard string) (node, address string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	row := k.state.Owner(shard)
	if m := k.state.members[row.Node]; m != nil && m.member.Incarnation == row.Incarnation {
		return row.Node, m.member.Address
	}
	return row.Node, ""
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
	observed := k.observe(ctx)
	if !<-renewed || !observed {
		k.missed()
		return
	}
	k.claim(ctx)
}

func (k *Keeper) missed() {
	k.interrupt()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.Missed()
}

// renew writes the member's row. After a lapse, ownership is read again before any work is started.
func (k *Keeper) renew(ctx context.Context) bool {
	self := k.options.Self
	self.Stopping = k.stop.Load()
	self.Slow = k.Slow()
	body, err := json.Marshal(self)
	if err != nil {
		k.options.Log.WithError(err).Error("member row not encoded")
		return false
	}
	asked, err := k.writeMember(ctx, body)
	if err != nil {
		k.options.Log.WithError(err).Warn("lease not renewed")
		return false
	}
	if !k.MayStart() && !k.readOwners(ctx) {
		return false
	}
	k.renewed.Store(int64(asked))
	k.until.Store(int64(asked + k.options.Lease - k.options.Margin))
	return true
}

// writeMember stores the member's row in place of the version that it is known to have, and returns when it asked
// for that.
//
// Without that, a late write of an earlier incarnation would make this one look ended.
func (k *Keeper) writeMember(ctx context.Context, body []byte) (time.Duration, error) {
	k.writing <- struct{}{}
	defer func() { <-k.writing }()
	key := memberKey(k.options.Self.Node)
	for {
		asked := k.options.Clock()
		version, err := k.tryMember(ctx, key, body)
		if err == nil {
			k.version = version
			return asked, nil
		}
		var failed basilplatform.ErrConditionFailed
		if !errors.As(err, &failed) {
			return 0, err
		}
		k.version = failed.Version
	}
}

func (k *Keeper) tryMember(ctx context.Context, key basilplatform.Key, body []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return k.options.Store.Commit(ctx, basilplatform.Transaction{Writes: []basilplatform.Write{{
		Kind: basilplatform.WriteKindPut, Key: key, Precondition: basilplatform.PreconditionVersion, Version: k.version, Body: body,
	}}})
}

func (k *Keeper) observe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	asked := k.options.Clock()
	items, _, err := k.options.Store.Snapshot(ctx, memberPartition)
	if err != nil {
		k.options.Log.WithError(err).Warn("members not read")
		return false
	}
	var rows []Observed
	for _, i := range items {
		var m Member
		if err := json.Unmarshal(i.Body, &m); err != nil {
			k.options.Log.WithError(err).WithField(basillog.FieldMember, i.Key.Sort).Warn("member row unreadable")
			continue
		}
		rows = append(rows, Observed{Member: m, Version: i.Version})
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.Observe(rows, asked)
	return true
}

// readOwners reads the owner rows of all shards, at once: one after the other would outlast a lease on a slow store.
func (k *Keeper) readOwners(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	k.mutex.Lock()
	shards := slices.Clone(k.shards)
	k.mutex.Unlock()
	reads := make([]ownerRead, len(shards))
	var group sync.WaitGroup
	for n, shard := range shards {
		group.Go(func() { reads[n].item, reads[n].err = k.options.Store.Get(ctx, OwnerKey(shard)) })
	}
	group.Wait()
	for n, shard := range shards {
		if !k.takeRead(shard, reads[n]) {
			return false
		}
	}
	return true
}

// ownerRead is the outcome of a read of an owner row.
type ownerRead struct {
	item basilplatform.Item
	err  error
}

func (k *Keeper) readOwner(ctx context.Context, shard string) bool {
	var r ownerRead
	r.item, r.err = k.options.Store.Get(ctx, OwnerKey(shard))
	return k.takeRead(shard, r)
}

func (k *Keeper) takeRead(shard string, r ownerRead) bool {
	if basilplatform.IsErrItemNotExist(r.err) {
		k.setOwner(shard, OwnerRow{})
		return true
	}
	if r.err != nil {
		k.options.Log.WithError(r.err).Warn("owner not read")
		return false
	}
	k.takeOwner(shard, r.item)
	return true
}

func (k *Keeper) takeOwner(shard string, i basilplatform.Item) {
	var row OwnerRow
	if err := json.Unmarshal(i.Body, &row); err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, shard).Error("owner row unreadable")
		return
	}
	row.Version = i.Version
	k.setOwner(shard, row)
}

// setOwner takes in an owner row and tells when this entry host gains or loses the shard.
func (k *Keeper) setOwner(shard string, row OwnerRow) {
	k.mutex.Lock()
	if row.Version < k.state.Owner(shard).Version {
		k.mutex.Unlock()
		return
	}
	k.state.SetOwner(shard, row)
	before, had := k.owned[shard]
	has := row.Incarnation == k.options.Self.Incarnation && row.Node == k.options.Self.Node
	if has {
		k.owned[shard] = row
	} else {
		delete(k.owned, shard)
	}
	k.mutex.Unlock()
	if had && (!has || before.Version != row.Version) {
		k.logOwner(shard, row, "shard lost")
		k.options.Lost(shard)
	}
	if has && (!had || before.Version != row.Version) {
		k.logOwner(shard, row, "shard owned")
		k.options.Owned(shard, row)
	}
	if row.Incarnation == "" {
		k.poke()
	}
}

func (k *Keeper) logOwner(shard string, row OwnerRow, message string) {
	k.options.Log.WithFields(logrus.Fields{
		basillog.FieldPool: shard, basillog.FieldEpoch: row.Epoch, basillog.FieldMember: row.Node, basillog.FieldIncarnation: row.Incarnation,
	}).Info(message)
}

func (k *Keeper) claim(ctx context.Context) {
	now := k.options.Clock()
	if k.stop.Load() || !k.MayStart() || now-k.started < k.options.Renew {
		return
	}
	k.mutex.Lock()
	claims := k.state.Claims(k.shards, now)
	k.mutex.Unlock()
	for _, shard := range claims {
		if !k.claimOne(ctx, shard) {
			return
		}
		if k.SinceRenewal() > k.options.Lease/2 {
			k.poke() // on a slow store the other claims wait for a renewal
			return
		}
	}
}

func (k *Keeper) claimOne(ctx context.Context, shard string) bool {
	k.mutex.Lock()
	row := k.state.Owner(shard)
	ended := k.state.ended(row)
	standing, rests := k.state.standing(row)
	k.mutex.Unlock()
	self := k.options.Self
	next := OwnerRow{Node: self.Node, Before: row.Node, Incarnation: self.Incarnation, Epoch: row.Epoch + 1, Dead: ended}
	var checks []basilplatform.Write
	if rests { // a holder that renews meanwhile takes its shards for its own
		checks = append(checks, basilplatform.Write{
			Kind: basilplatform.WriteKindCheck, Key: memberKey(row.Node), Precondition: basilplatform.PreconditionVersion, Version: standing,
		})
	}
	if err := k.write(ctx, shard, next, row.Version, checks...); err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, shard).Info("shard not claimed")
	}
	return k.readOwner(ctx, shard)
}

func (k *Keeper) write(ctx context.Context, shard string, row OwnerRow, version int64, checks ...basilplatform.Write) error {
	body, err := json.Marshal(row)
	if err != nil {
		return err
	}
	w := basilplatform.Write{
		Kind: basilplatform.WriteKindPut, Key: OwnerKey(shard), Precondition: basilplatform.PreconditionVersion, Version: version, Body: body,
	}
	if version == 0 {
		w.Precondition = basilplatform.PreconditionAbsent
	}
	return k.options.Store.Transact(ctx, basilplatform.Transaction{Writes: append(checks, w)})
}

// Release hands over all shards for good; the caller has stopped their work.
func (k *Keeper) Release(ctx context.Context) {
	k.stop.Store(true)
	k.mutex.Lock()
	owned := maps.Clone(k.owned)
	k.mutex.Unlock()
	for shard, row := range owned {
		k.release(ctx, shard, row)
	}
	k.renew(ctx)
}

// ReleaseSlow hands over one shard, and has others claim shards before this entry host for a while.
func (k *Keeper) ReleaseSlow(ctx context.Context, shard string) {
	k.slowUntil.Store(int64(k.options.Clock() + slowTime))
	k.renew(ctx)
	k.mutex.Lock()
	row, ok := k.owned[shard]
	k.mutex.Unlock()
	if ok {
		k.release(ctx, shard, row)
	}
}

func (k *Keeper) release(ctx context.Context, shard string, row OwnerRow) {
	if err := k.write(ctx, shard, OwnerRow{Node: row.Node, Epoch: row.Epoch}, row.Version); err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, shard).Warn("shard not handed over")
	}
}

// Slow tells whether this entry host has lately handed over a shard for want of processor time.
func (k *Keeper) Slow() bool { return int64(k.options.Clock()) < k.slowUntil.Load() }

// Stopping makes this entry host claim nothing any more.
func (k *Keeper) Stopping() { k.stop.Store(true) }

// watch follows the owner rows.
func (k *Keeper) watch(ctx context.Context) {
	k.Follow(ctx, 0, Following{Watch: k.Table(ownerTable), Reload: k.resync, Take: func(changes basilwork.Changes) bool {
		for _, c := range changes.Rows {
			if !c.Deleted {
				k.takeOwner(c.Item.Key.Partition[len(ownerTable)+1:], c.Item)
			}
		}
		return true
	}})
}

// resync reads all owners and returns the version to watch from.
func (k *Keeper) resync(ctx context.Context) (version int64, ok bool) {
	_, version, err := k.options.Store.Snapshot(ctx, ownerTable+"/")
	return version, err == nil && k.readOwners(ctx)
}
