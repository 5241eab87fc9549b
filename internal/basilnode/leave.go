package basilnode

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basiltimer"
)

// leaveTimeout limits how long an owner that gives up its shard tries to store what may still run; a call to the store takes
// a few milliseconds, or 400 if the store is slow.
const leaveTimeout = 600 * time.Millisecond

// leave stores which backend servers a successor must hear from before it starts tasks that this owner may have started.
// It is called when nothing is started any more. Without it the successor would wait for every backend server that was
// ever used, or until the leases have expired.
func (o *owner) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	unfinished, ok := o.awaitUnfinished(ctx)
	if !ok {
		return
	}
	if err := o.records.deleteFinished(ctx, unfinished); err != nil {
		o.log.WithError(err).Warn("cannot remove rows of backend servers without runs")
		return
	}
	o.log.WithField("backends", len(unfinished)).Info("backend servers with unfinished runs recorded for successor")
}

// awaitUnfinished waits until no write of a backend server's row is in flight, blocks further ones, and returns the
// backend servers that may have runs or ends of runs that are not stored.
func (o *owner) awaitUnfinished(ctx context.Context) (ids map[string]bool, ok bool) {
	for ctx.Err() == nil {
		found := make(chan map[string]bool, 1)
		o.send(func(time.Time) {
			if o.records.inFlight {
				close(found)
				return
			}
			o.records.inFlight = true // blocks all further writes of rows
			found <- o.unfinished()
		})
		select {
		case ids, ok := <-found:
			if ok {
				return ids, true
			}
		case <-ctx.Done():
			return nil, false
		case <-o.ctx.Done():
			return nil, false
		}
		_ = basiltimer.Wait(ctx, stopPollInterval) // the loop checks the context
	}
	return nil, false
}

// unfinished returns the ids of the backend servers that may have runs or ends of runs that are not stored.
func (o *owner) unfinished() map[string]bool {
	ids := make(map[string]bool)
	ends := o.pool.Processed()
	for _, b := range o.pool.Backends() {
		if o.pool.MayHaveRuns(b.ID) || ends[b.ID] > o.commit.acked[b.ID] {
			ids[b.ID] = true
		}
	}
	return ids
}
