package basilshard

import (
	"cmp"
	"context"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	watchWait             = 5 * time.Second        // default wait of a watch: a lost answer is noticed only after it, but each call costs money
	watchWaitAfterFailure = 500 * time.Millisecond // wait of a watch while a recent call of this entry host has failed
	failureWindow         = 5 * time.Second        // how long after a failed call the store is expected to fail again
)

// FollowOptions configures how Follow processes the changes of a table.
type FollowOptions struct {
	// Watch waits for changes after a version.
	Watch func(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error)
	// Apply applies stored items, without removals; if it returns false, the same changes are requested again.
	Apply func(items []basilplatform.Item) bool
	// ApplyAll, unless nil, is called in place of Apply and applies stored and removed items in their order.
	ApplyAll func(rows []basilwork.Change) bool
	// Reload reads all data after changes were missed and returns the version to continue from.
	Reload func(ctx context.Context) (version int64, ok bool)
	// BatchDelay is the pause between reads of a busy table, so that changes arrive in batches.
	BatchDelay time.Duration
	// Wait is the longest wait of a watch; 0 means watchWait.
	Wait time.Duration
	// OnCurrent, unless nil, is called with the time on the keeper's clock up to which all stored changes have been applied.
	OnCurrent func(at time.Duration)
}

// WatchTable returns a function for FollowOptions.Watch that watches the table.
func (k *Keeper) WatchTable(table string) func(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error) {
	return func(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error) {
		return k.options.Store.Watch(ctx, table, after, wait)
	}
}

// Follow applies the changes after the version until the context ends.
//
// A store that stops responding never answers the watches that are open at that moment.
// A failed lease renewal or read of the members therefore cancels all open watches, and
// the next ones wait only briefly until the store answers again.
func (k *Keeper) Follow(ctx context.Context, after int64, f FollowOptions) {
	failed := false // the latest watch failed
	for ctx.Err() == nil {
		recovered := k.options.Recovery.Recovered()
		requestedAt := k.options.Clock()
		changes, err := k.watchOnce(ctx, after, f, failed)
		failed = err != nil
		switch {
		case basilwork.IsErrHistoryDropped(err):
			if version, ok := f.Reload(ctx); ok {
				after = version
			}
		case err == nil && (len(changes.Rows) == 0 || f.apply(changes)):
			after = changes.Version
			if f.OnCurrent != nil {
				f.OnCurrent(requestedAt)
			}
			_ = basiltimer.Wait(ctx, f.BatchDelay) // the loop checks the context
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		case <-recovered:
		}
	}
}

func (f *FollowOptions) apply(changes basilwork.Changes) bool {
	if f.ApplyAll != nil {
		return f.ApplyAll(changes.Rows)
	}
	return f.Apply(storedItems(changes))
}

func storedItems(changes basilwork.Changes) []basilplatform.Item {
	items := make([]basilplatform.Item, 0, len(changes.Rows))
	for _, c := range changes.Rows {
		if !c.Deleted {
			items = append(items, c.Item)
		}
	}
	return items
}

// watchOnce waits for changes. After a failed watch it doesn't wait, so that what is known is soon known to be current.
func (k *Keeper) watchOnce(ctx context.Context, after int64, f FollowOptions, failed bool) (basilwork.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer k.addWatch(cancel)()
	wait := cmp.Or(f.Wait, watchWait)
	if k.recentlyFailed() {
		wait = min(wait, watchWaitAfterFailure)
	}
	if failed {
		wait = 0
	}
	return f.Watch(ctx, after, wait)
}

// recentlyFailed reports whether a renewal or a read of the members failed within the last failureWindow.
func (k *Keeper) recentlyFailed() bool {
	at := k.failedAt.Load()
	return at != 0 && k.options.Clock()-time.Duration(at) < failureWindow
}

// addWatch registers the cancel function of an open watch for InterruptWatches; remove unregisters it.
func (k *Keeper) addWatch(cancel context.CancelFunc) (remove func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.watchCount++
	id := k.watchCount
	k.openWatches[id] = cancel
	return func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		delete(k.openWatches, id)
	}
}

// InterruptWatches records that a renewal or a read of the members failed and cancels the open watches.
func (k *Keeper) InterruptWatches() {
	k.failedAt.Store(int64(k.options.Clock()))
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, cancel := range k.openWatches {
		cancel()
	}
}
