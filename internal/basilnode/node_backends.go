package basilnode

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

// followBackends follows the backend servers' entries whenever this entry host owns pools.
func (n *Node) followBackends(ctx context.Context) {
	for ctx.Err() == nil {
		if len(n.poolOwners()) > 0 {
			n.followWhileOwner(ctx)
		}
		n.awaitPool(ctx, backendsInterval)
	}
}

// awaitPool waits until this entry host becomes the owner of a pool, the duration has passed or the context ends.
func (n *Node) awaitPool(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.poolGained:
	}
}

// followWhileOwner follows the backend servers' entries and passes them to the owners, until this entry host owns no pool.
//
// They are passed on even when no entry has changed, since an owner may have given up a backend server as lost that still
// writes its entry.
func (n *Node) followWhileOwner(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	version, ok := n.loadBackends(ctx)
	if !ok {
		return
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() {
		n.keeper.Follow(ctx, version, basilshard.FollowOptions{
			Watch: n.options.Directory.WatchBackends, Reload: n.loadBackends, ApplyAll: n.applyBackendChanges, BatchDelay: backendsInterval,
			Wait: n.backendsFreshness.watchTimeout, OnCurrent: n.backendsFreshness.markCurrent,
		})
	})
	for owners := n.poolOwners(); ctx.Err() == nil && len(owners) > 0; owners = n.poolOwners() {
		if n.keeper.MayStart() {
			n.sendBackends(owners)
		}
		_ = basiltimer.Wait(ctx, backendsInterval) // the loop checks the context
	}
}

// loadBackends reads all entries, and returns the version from which to watch for changes.
func (n *Node) loadBackends(ctx context.Context) (version int64, ok bool) {
	asked := n.options.Clock()
	list, version, err := n.options.Directory.Backends(ctx)
	if err != nil {
		n.log.WithError(err).Warn("cannot read backend servers")
		return 0, false
	}
	listed := make(map[string]basilwork.Backend, len(list))
	for _, b := range list {
		listed[b.ID] = b
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.backendsByID = listed
	n.backendsFreshness.markCurrent(asked)
	n.log.WithField("backends", len(list)).Info("backend servers loaded")
	return version, true
}

// applyBackendChanges applies changed entries. An entry that describes no usable backend server counts as deleted.
func (n *Node) applyBackendChanges(rows []basilwork.Change) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, c := range rows {
		b, ok := n.options.Directory.Backend(c.Item)
		if c.Deleted || !ok {
			delete(n.backendsByID, c.Item.Key.Sort)
			continue
		}
		n.backendsByID[b.ID] = b
	}
	return true
}

func (n *Node) sendBackends(owners []*owner) {
	for _, o := range owners {
		list, at := n.backends(o.service)
		o.sendEvent(event{subject: listSubject, complete: true, handle: func(time.Time) { o.applyBackends(list, at) }})
	}
}

// backends returns the listed backend servers of a service, and the time on the clock up to which all changes are known.
func (n *Node) backends(service string) ([]basilwork.Backend, time.Duration) {
	at := time.Duration(n.backendsFreshness.asOf.Load())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var list []basilwork.Backend
	for _, b := range n.backendsByID {
		if b.Service == service {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b basilwork.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return list, at
}
