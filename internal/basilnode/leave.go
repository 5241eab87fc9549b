package basilnode

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basiltimer"
)

// leaveTime is how long an owner that gives up its shard tries to tell the next one what may run; a store call takes
// some milliseconds, and a slow one 400.
const leaveTime = 600 * time.Millisecond

// leave stores which backend servers a successor has to hear of before it starts what this owner may have started.
// Nothing is started any more; without this the successor waits for every backend server that was ever used, or
// until the leases have run out.
func (o *owner) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	unfinished, ok := o.awaitUnfinished(ctx)
	if !ok {
		return
	}
	if err := o.records.leave(ctx, unfinished); err != nil {
		o.log.WithError(err).Warn("rows of backend servers not removed")
		return
	}
	o.log.WithField("backends", len(unfinished)).Info("backend servers with runs left to a successor")
}

// awaitUnfinished returns the backend servers that may have runs, or ends that are not stored, once no row of one is
// being written.
func (o *owner) awaitUnfinished(ctx context.Context) (ids map[string]bool, ok bool) {
	for ctx.Err() == nil {
		found := make(chan map[string]bool, 1)
		o.send(func(time.Time) {
			if o.records.inFlight {
				close(found)
				return
			}
			o.records.inFlight = true // nothing else is to be written
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
		_ = basiltimer.Wait(ctx, stopPoll) // an ended context ends the loop
	}
	return nil, false
}

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
