package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilplatform"
)

// loadRecorded reads which backend servers a predecessor used.
func (o *owner) loadRecorded() error {
	items, _, err := o.node.store.Snapshot(o.ctx, recordPartition(o.service))
	if err != nil {
		return err
	}
	list, err := o.records.load(items)
	if err != nil {
		return err
	}
	for _, b := range list {
		o.pool.Predecessor(b)
		o.openLine(b)
	}
	return nil
}

// record stores the backend servers that are new, before anything runs there, and makes usable those that are stored. Each
// reading of the list comes here, so a write that failed is tried again before long.
func (o *owner) record() {
	now := time.Now()
	used := o.pool.Backends()
	for _, b := range used {
		if o.records.keeps(b.ID) {
			o.pool.Recorded(b.ID)
		}
	}
	if o.records.inFlight || o.stopping || now.Before(o.records.after) {
		return
	}
	w := o.records.next(used, now)
	if w.empty() {
		return
	}
	o.records.inFlight = true
	go func() {
		version, err := o.records.write(o.ctx, w)
		o.send(func(now time.Time) {
			o.records.written(w, version, err, now)
			if err != nil {
				o.logUnrecorded(w, err)
			}
			o.record()
		})
	}()
}

// logUnrecorded tells of backend servers that can't be used yet, since their rows are not stored.
func (o *owner) logUnrecorded(w recordWrite, err error) {
	entry := o.log.WithError(err).WithFields(logrus.Fields{"put": len(w.puts), "removed": len(w.drops)})
	if basilplatform.IsErrRefused(err) {
		entry.Error("rows of backend servers refused")
		return
	}
	entry.Warn("rows of backend servers not stored")
}
