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
	watchWait   = 5 * time.Second        // of a watch; a lost answer is noticed after it, and each call is priced
	troubleWait = 500 * time.Millisecond // of a watch soon after a call of this entry host failed
	troubleTime = 5 * time.Second        // after a failed call, in which the store may fail again
)

// Following is how a table's changes are followed.
type Following struct {
	// Watch waits for changes after a version.
	Watch func(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error)
	// Take takes in items that were stored, and no removals; false has them watched for again.
	Take func(items []basilplatform.Item) bool
	// TakeAll takes in items that were stored or removed, in their order, in place of Take, unless it is nil.
	TakeAll func(rows []basilwork.Change) bool
	// Reload reads everything after changes were missed, and returns the version to go on from.
	Reload func(ctx context.Context) (version int64, ok bool)
	// Gather is the time between reads of a busy table's changes.
	Gather time.Duration
	// Wait is how long a watch waits at most; 0 is a usual time.
	Wait time.Duration
	// Current is told, on the clock, since when all that was stored before has been taken in; it may be nil.
	Current func(at time.Duration)
}

// Table returns the watch of a table.
func (k *Keeper) Table(table string) func(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error) {
	return func(ctx context.Context, after int64, wait time.Duration) (basilwork.Changes, error) {
		return k.options.Store.Watch(ctx, table, after, wait)
	}
}

// Follow takes in changes after the version until the context ends.
//
// A store that fell silent never answers a watch that was open then. A renewal that fails
// ends all open watches, and those that follow are short until the store answers again.
func (k *Keeper) Follow(ctx context.Context, after int64, f Following) {
	for ctx.Err() == nil {
		asked := k.options.Clock()
		changes, err := k.watchOnce(ctx, after, f)
		switch {
		case basilwork.IsErrHistoryGone(err):
			if version, ok := f.Reload(ctx); ok {
				after = version
			}
		case err == nil && (len(changes.Rows) == 0 || f.take(changes)):
			after = changes.Version
			if f.Current != nil {
				f.Current(asked)
			}
			_ = basiltimer.Wait(ctx, f.Gather) // an ended context ends the loop
			continue
		}
		_ = basiltimer.Wait(ctx, retryPause) // as above
	}
}

func (f *Following) take(changes basilwork.Changes) bool {
	if f.TakeAll != nil {
		return f.TakeAll(changes.Rows)
	}
	return f.Take(stored(changes))
}

func stored(changes basilwork.Changes) []basilplatform.Item {
	items := make([]basilplatform.Item, 0, len(changes.Rows))
	for _, c := range changes.Rows {
		if !c.Deleted {
			items = append(items, c.Item)
		}
	}
	return items
}

func (k *Keeper) watchOnce(ctx context.Context, after int64, f Following) (basilwork.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer k.interrupts(cancel)()
	wait := cmp.Or(f.Wait, watchWait)
	if k.troubled() {
		wait = min(wait, troubleWait)
	}
	return f.Watch(ctx, after, wait)
}

// troubled tells whether a renewal failed lately.
func (k *Keeper) troubled() bool {
	at := k.failed.Load()
	return at != 0 && k.options.Clock()-time.Duration(at) < troubleTime
}

// interrupts has the function called when a renewal fails, until the returned one is called.
func (k *Keeper) interrupts(cancel context.CancelFunc) (remove func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.watches++
	id := k.watches
	k.open[id] = cancel
	return func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		delete(k.open, id)
	}
}

// interrupt ends the open watches.
func (k *Keeper) interrupt() {
	k.failed.Store(int64(k.options.Clock()))
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, cancel := range k.open {
		cancel()
	}
}
