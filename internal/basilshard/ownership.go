package basilshard

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
)

// candidatesLogged is how many of a claim's candidates are logged at least.
const candidatesLogged = 3

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
	k.telling.Lock()
	defer k.telling.Unlock()
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
	for _, c := range claims {
		k.options.Log.WithFields(logrus.Fields{
			basillog.FieldPool: c.Shard, "rank": c.Rank, "candidates": c.Order[:min(len(c.Order), max(c.Rank+1, candidatesLogged))],
		}).Info("shard claimed")
		if !k.claimOne(ctx, c.Shard) {
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
	next := OwnerRow{Node: self.Node, Incarnation: self.Incarnation, Epoch: row.Epoch + 1, Address: self.Address, Dead: ended}
	var checks []basilplatform.Write
	switch { // a holder that renews meanwhile takes its shards for its own
	case rests && k.options.SinglePart:
		if !k.stands(ctx, row.Node, standing) {
			return true
		}
	case rests:
		checks = append(checks, basilplatform.Write{
			Kind: basilplatform.WriteKindCheck, Key: memberKey(row.Node), Precondition: basilplatform.PreconditionVersion, Version: standing,
		})
	}
	if err := k.write(ctx, shard, next, row.Version, checks...); err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, shard).Info("shard not claimed")
	}
	return k.readOwner(ctx, shard)
}

// stands tells whether a member's row still has the version. It is read right before a claim where the store can't check
// it with the claim; what is left to a holder that renews in between is that its starts are fenced.
func (k *Keeper) stands(ctx context.Context, node string, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	i, err := k.options.Store.Get(ctx, memberKey(node))
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		k.options.Log.WithError(err).WithField(basillog.FieldMember, node).Info("holder not read before a claim")
		return false
	}
	return i.Version == version
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
	maps.DeleteFunc(owned, func(shard string, row OwnerRow) bool { return k.given[shard] == row.Version })
	k.mutex.Unlock()
	for shard, row := range owned {
		k.release(ctx, shard, row)
	}
	k.renew(ctx)
}

// ReleaseShard hands over one shard of a process that stops, before the others; the caller has stopped the work of the epoch.
func (k *Keeper) ReleaseShard(ctx context.Context, shard string, epoch int64) {
	row, ok := k.ownerRow(shard)
	if !ok || row.Epoch != epoch || !k.release(ctx, shard, row) {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.given[shard] = row.Version
}

// Announce tells the others that this process stops; it claims nothing any more.
func (k *Keeper) Announce(ctx context.Context) { k.renew(ctx) }

// HandOver hands over one shard; the caller has stopped the work of the epoch. One that is slow
// has others claim shards before it for a while.
//
// It goes on until that is stored or the shard is lost: nobody else takes a shard from a member that renews. One that
// this entry host has got anew meanwhile is not given away: its work is going on.
func (k *Keeper) HandOver(ctx context.Context, shard string, epoch int64, slow bool) {
	if slow {
		k.beSlow()
		k.renew(ctx)
	}
	row, ok := k.ownerRow(shard)
	for ; ok && row.Epoch == epoch && !k.stop.Load(); row, ok = k.ownerRow(shard) {
		if k.release(ctx, shard, row) || basiltimer.Wait(ctx, retryPause) != nil {
			return
		}
	}
}

// ownerRow returns the row by which this entry host owns the shard.
func (k *Keeper) ownerRow(shard string) (OwnerRow, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	row, ok := k.owned[shard]
	return row, ok
}

// beSlow has others claim before this entry host for a while, and for twice as long each time that it turns out to be
// slow again soon after.
func (k *Keeper) beSlow() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.options.Clock()
	if last := time.Duration(k.slowUntil.Load()); last == 0 || now > last+slowMost {
		k.slowFor = 0
	}
	k.slowFor = min(max(slowTime, 2*k.slowFor), slowMost)
	k.slowUntil.Store(int64(now + k.slowFor))
}

// release stores that a shard has no owner, and tells whether that is done.
func (k *Keeper) release(ctx context.Context, shard string, row OwnerRow) bool {
	err := k.write(ctx, shard, OwnerRow{Node: row.Node, Epoch: row.Epoch}, row.Version)
	if err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, shard).Warn("shard not handed over")
	}
	return err == nil
}

// watch follows the owner rows.
func (k *Keeper) watch(ctx context.Context) {
	k.Follow(ctx, 0, Following{Watch: k.Table(ownerTable), Reload: k.resync, Take: func(items []basilplatform.Item) bool {
		for _, i := range items {
			k.takeOwner(i.Key.Partition[len(ownerTable)+1:], i)
		}
		return true
	}})
}

// resync reads all owners and returns the version to watch from.
func (k *Keeper) resync(ctx context.Context) (version int64, ok bool) {
	_, version, err := k.options.Store.Snapshot(ctx, ownerTable+"/")
	return version, err == nil && k.readOwners(ctx)
}
