package basilnode

import (
	"time"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilshard"
)

const (
	removalInterval = 10 * time.Second // interval between removals of finished jobs
	retentionMargin = 30 * time.Second // added to the retention time of states, since clocks differ
	maxRemovals     = 90               // rows per transaction, which may have 100 entries
)

// removeFinished removes finished jobs whose retention time has passed.
func (o *owner) removeFinished(now time.Time) {
	if now.Sub(o.lastRemoval) < removalInterval || o.stopping {
		return
	}
	o.lastRemoval = now
	row := basilledger.Owner{Shard: o.service, Key: basilshard.OwnerKey(o.service), Version: o.row.Version}
	var ids []string
	for id, at := range o.finished {
		if now.Sub(at) > o.node.options.StatusRetention+retentionMargin && len(ids) < maxRemovals {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	go func() {
		err := o.node.ledger.Remove(o.ctx, row, ids)
		o.send(func(time.Time) {
			if err != nil {
				o.log.WithError(err).Warn("failed to remove finished jobs")
				return
			}
			if len(ids) == maxRemovals {
				o.lastRemoval = time.Time{} // there may be more
			}
			for _, id := range ids {
				delete(o.finished, id)
				delete(o.versions, id)
				delete(o.commit.forms, id)
			}
			o.orders.forget(ids)
			o.ownWrites.forget(ids)
			o.log.WithField("jobs", len(ids)).Info("finished jobs removed")
		})
	}()
}
