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

// followBackends follows the entries of backend servers while this entry host owns pools.
func (n *Node) followBackends(ctx context.Context) {
	for ctx.Err() == nil {
		if len(n.poolOwners()) > 0 {
			n.serveBackends(ctx)
		}
		n.awaitOwner(ctx, backendsEvery)
	}
}

// awaitOwner waits for the time, until a shard is owned, or until the context ends.
func (n *Node) awaitOwner(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.gained:
	}
}

// serveBackends tells the owners of the backend servers until there are no owners.
//
// Owners are told whether or not entries have changed: they may have lost one that goes on to write.
func (n *Node) serveBackends(ctx context.Context) {
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
		n.keeper.Follow(ctx, version, basilshard.Following{
			Watch: n.options.Directory.WatchBackends, Reload: n.loadBackends, TakeAll: n.takeBackends, Gather: backendsEvery,
			Wait: n.entries.pause, Current: n.entries.takenIn,
		})
	})
	for owners := n.poolOwners(); ctx.Err() == nil && len(owners) > 0; owners = n.poolOwners() {
		if !n.storeAway() {
			n.tellBackends(owners)
		}
		_ = basiltimer.Wait(ctx, backendsEvery) // as above
	}
}

// loadBackends reads all entries, and returns the version to go on from.
func (n *Node) loadBackends(ctx context.Context) (version int64, ok bool) {
	asked := n.options.Clock()
	list, version, err := n.options.Directory.Backends(ctx)
	if err != nil {
		n.log.WithError(err).Warn("backend servers not read")
		return 0, false
	}
	listed := make(map[string]basilwork.Backend, len(list))
	for _, b := range list {
		listed[b.ID] = b
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listed = listed
	n.entries.takenIn(asked)
	n.log.WithField("backends", len(list)).Info("backend servers read")
	return version, true
}

// takeBackends takes in changed entries; one that names no backend server to use counts as removed.
func (n *Node) takeBackends(rows []basilwork.Change) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, c := range rows {
		b, ok := n.options.Directory.Backend(c.Item)
		if c.Deleted || !ok {
			delete(n.listed, c.Item.Key.Sort)
			continue
		}
		n.listed[b.ID] = b
	}
	return true
}

func (n *Node) tellBackends(owners []*owner) {
	for _, o := range owners {
		mine, at := n.backends(o.service)
		o.send(func(time.Time) { o.takeBackends(mine, at) })
	}
}

// backends returns the listed backend servers of a service, and the time on the clock before which all entries are known.
func (n *Node) backends(service string) ([]basilwork.Backend, time.Duration) {
	at := time.Duration(n.entries.at.Load())
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var list []basilwork.Backend
	for _, b := range n.listed {
		if b.Service == service {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b basilwork.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return list, at
}
