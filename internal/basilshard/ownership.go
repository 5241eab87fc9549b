package basilshard

import (
	"cmp"
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
	"basilstage.example/basilstage/internal/basilwork"
)

// minCandidatesLogged is the least number of a claim's candidates that are logged.
const minCandidatesLogged = 3

// readOwners reads the owner rows of all shards concurrently; sequential reads from a slow store would outlast the lease.
func (k *Keeper) readOwners(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, k.readTimeout.Get())
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
		if !k.applyOwnerRead(shard, reads[n]) {
			return false
		}
	}
	return true
}

// ownerRead is the result of reading an owner row.
type ownerRead struct {
	item basilplatform.Item
	err  error
}

func (k *Keeper) readOwner(ctx context.Context, shard string) bool {
	var r ownerRead
	r.item, r.err = k.options.Store.Get(ctx, OwnerKey(shard))
	return k.applyOwnerRead(shard, r)
}

func (k *Keeper) applyOwnerRead(shard string, r ownerRead) bool {
	if basilplatform.IsErrItemNotExist(r.err) {
		k.applyOwner(shard, OwnerRow{})
		return true
	}
	if r.err != nil {
		k.options.Log.WithError(r.err).Warn("failed to read a shard's owner")
		return false
	}
	k.applyOwnerItem(shard, r.item)
	return true
}

func (k *Keeper) applyOwnerItem(shard string, i basilplatform.Item) {
	var row OwnerRow
	if err := json.Unmarshal(i.Body, &row); err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, shard).Error("ignoring an owner row that can't be decoded")
		return
	}
	row.Version = i.Version
	k.applyOwner(shard, row)
}

// applyOwner applies an owner row and calls OnAcquired or OnLost if this entry host gains or loses the shard.
func (k *Keeper) applyOwner(shard string, row OwnerRow) {
	k.notifyMutex.Lock()
	defer k.notifyMutex.Unlock()
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
		k.logOwner(shard, row, "shard ownership lost")
		k.options.OnLost(shard)
	}
	if has && (!had || before.Version != row.Version) {
		k.logOwner(shard, row, "shard ownership acquired")
		k.options.OnAcquired(shard, row)
	}
	if row.Incarnation == "" || has && k.releasing.Load() {
		k.wakeUp()
	}
}

func (k *Keeper) logOwner(shard string, row OwnerRow, message string) {
	k.options.Log.WithFields(logrus.Fields{
		basillog.FieldPool: shard, basillog.FieldEpoch: row.Epoch, basillog.FieldMember: row.Node, basillog.FieldIncarnation: row.Incarnation,
	}).Info(message)
}

func (k *Keeper) claimShards(ctx context.Context) {
	now := k.options.Clock()
	if k.stopping.Load() || !k.MayStart() || now-k.startedAt < k.options.Renew {
		return
	}
	k.mutex.Lock()
	claims := k.state.Claims(k.shards, now)
	membersAge := now - k.membersReadAt
	k.mutex.Unlock()
	for _, c := range claims {
		k.options.Log.WithFields(logrus.Fields{
			basillog.FieldPool: c.Shard, "rank": c.Rank, "next": c.previous.Next, "members_age_ms": membersAge.Milliseconds(),
			"candidates": c.Candidates[:min(len(c.Candidates), max(c.Rank+1, minCandidatesLogged))],
		}).Info("claiming a shard")
		if !k.claimShard(ctx, c) || !k.MayStart() {
			return
		}
	}
}

func (k *Keeper) claimShard(ctx context.Context, c Claim) bool {
	self, previous := k.options.Self, c.previous
	next := OwnerRow{Node: self.Node, Incarnation: self.Incarnation, Epoch: previous.Epoch + 1, Address: self.Address, PreviousEnded: c.previousEnded, Since: cmp.Or(previous.Since, previous.Epoch+1), RunListsSince: cmp.Or(previous.RunListsSince, previous.Epoch+1)}
	var checks []basilplatform.Write
	switch { // an owner that renews its lease in the meantime still considers its shards its own
	case c.previousEnded:
	case k.options.SinglePartition:
		if !k.memberUnchanged(ctx, previous.Node, c.memberVersion) {
			return true
		}
	default:
		checks = append(checks, basilplatform.Write{
			Kind: basilplatform.WriteKindCheck, Key: memberKey(previous.Node), Precondition: basilplatform.PreconditionVersion, Version: c.memberVersion,
		})
	}
	if err := k.writeOwner(ctx, c.Shard, next, previous.Version, checks...); err != nil {
		k.options.Log.WithError(err).WithField(basillog.FieldPool, c.Shard).Info("failed to claim the shard")
	}
	return k.readOwner(ctx, c.Shard)
}

// memberUnchanged reports whether a member row still has the version. It is used right before a claim if the store can't
// check the row in the claim's transaction. An owner that renews between this read and the claim is only fenced: its
// starts are refused because of their older fencing token.
func (k *Keeper) memberUnchanged(ctx context.Context, node string, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, k.readTimeout.Get())
	defer cancel()
	i, err := k.options.Store.Get(ctx, memberKey(node))
	if err != nil && !basilplatform.IsErrItemNotExist(err) {
		k.options.Log.WithError(err).WithField(basillog.FieldMember, node).Info("failed to read the owner's member row before a claim")
		return false
	}
	return i.Version == version
}

func (k *Keeper) writeOwner(ctx context.Context, shard string, row OwnerRow, version int64, checks ...basilplatform.Write) error {
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
	_, err = basilwork.CommitOrReadBack(ctx, k.options.Store, basilplatform.Transaction{Writes: append(checks, w)}, basilwork.SoonInterval)
	return err
}

// Release gives up all shards when the process stops; the caller has stopped their work. Until the process ends, a release that fails is
// repeated, and a shard that a late claim has gained is released too.
func (k *Keeper) Release(ctx context.Context) {
	k.stopping.Store(true)
	k.releasing.Store(true)
	k.releaseAll(ctx)
	k.announce(ctx)
}

// releaseAll releases the shards whose rows still name this process as their owner.
func (k *Keeper) releaseAll(ctx context.Context) {
	k.mutex.Lock()
	owned := maps.Clone(k.owned)
	maps.DeleteFunc(owned, func(shard string, row OwnerRow) bool { return k.released[shard] == row.Version })
	k.mutex.Unlock()
	for shard, row := range owned {
		if k.release(ctx, shard, row) {
			k.markReleased(shard, row)
		}
	}
}

// markReleased records that the release of the shard is stored, which this entry host may see later.
func (k *Keeper) markReleased(shard string, row OwnerRow) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.released[shard] = row.Version
}

// ReleaseShard gives up one shard of a stopping process before Release gives up the others; the caller has stopped the
// shard's work of the epoch.
func (k *Keeper) ReleaseShard(ctx context.Context, shard string, epoch int64) {
	row, ok := k.ownerRow(shard)
	if !ok || row.Epoch != epoch || !k.release(ctx, shard, row) {
		return
	}
	k.markReleased(shard, row)
}

// AnnounceStop renews the member row, which tells the other members that this process is stopping, if it is.
func (k *Keeper) AnnounceStop(ctx context.Context) { k.announce(ctx) }

// HandOver gives up one shard while the process keeps running; the caller has stopped the shard's work of the epoch.
// If slow is set, this entry host is marked as slow, so that the others claim shards before it for a while.
//
// It retries until the release is stored or the shard is lost, because no other member takes a shard from one that renews
// its lease. A shard that this entry host has acquired again in the meantime is kept: its work is running again.
func (k *Keeper) HandOver(ctx context.Context, shard string, epoch int64, slow bool) {
	if slow {
		k.markSlow()
		k.announce(ctx)
	}
	row, ok := k.ownerRow(shard)
	for ; ok && row.Epoch == epoch && !k.stopping.Load(); row, ok = k.ownerRow(shard) {
		if k.release(ctx, shard, row) || basiltimer.Wait(ctx, retryDelay) != nil {
			return
		}
	}
	if k.stopping.Load() {
		return // Release chooses the successors anew
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.state.EndHandOver(shard)
}

// ownerRow returns the shard's owner row, and false if this entry host is not the owner.
func (k *Keeper) ownerRow(shard string) (OwnerRow, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	row, ok := k.owned[shard]
	return row, ok
}

// markSlow marks this entry host as slow for a while, so that the others claim shards before it. The time doubles, up to
// maxSlowTime, each time the host turns out to be slow again soon after.
func (k *Keeper) markSlow() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.options.Clock()
	if last := time.Duration(k.slowUntil.Load()); last == 0 || now > last+maxSlowTime {
		k.slowTime = 0
	}
	k.slowTime = min(max(minSlowTime, 2*k.slowTime), maxSlowTime)
	k.slowUntil.Store(int64(now + k.slowTime))
}

// release stores that the shard has no owner and reports whether that succeeded.
func (k *Keeper) release(ctx context.Context, shard string, row OwnerRow) bool {
	next := k.successor(shard)
	entry := k.options.Log.WithFields(logrus.Fields{basillog.FieldPool: shard, basillog.FieldEpoch: row.Epoch, "next": next})
	if err := k.writeOwner(ctx, shard, OwnerRow{Node: row.Node, Epoch: row.Epoch, Next: next, Since: row.Since, RunListsSince: row.RunListsSince}, row.Version); err != nil {
		entry.WithError(err).Warn("failed to release the shard")
		return false
	}
	entry.Info("shard released")
	return true
}

// successor chooses the node that is to claim a shard once it is released. Without a choice, the others would wait in the
// order of their ranks, also for a member that has just started and doesn't claim yet.
func (k *Keeper) successor(shard string) string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.stopping.Load() {
		k.state.EndHandOver(shard) // a process that stops can't take the shard again
	}
	return k.state.Successor(shard, k.shards, k.options.Clock())
}

// watchOwners applies changes of the owner rows until the context ends.
func (k *Keeper) watchOwners(ctx context.Context) {
	k.Follow(ctx, 0, FollowOptions{Watch: k.WatchTable(ownerTable), Reload: k.reloadOwners, Apply: func(items []basilplatform.Item) bool {
		for _, i := range items {
			k.applyOwnerItem(i.Key.Partition[len(ownerTable)+1:], i)
		}
		return true
	}})
}

// reloadOwners reads all owner rows and returns the version to watch from.
func (k *Keeper) reloadOwners(ctx context.Context) (version int64, ok bool) {
	_, version, err := k.options.Store.Snapshot(ctx, ownerTable+"/")
	return version, err == nil && k.readOwners(ctx)
}
