package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilplatform"
)

// loadRecords reads the backend servers that the previous owner used, and connects to them.
func (o *owner) loadRecords() error {
	items, _, err := o.node.store.Snapshot(o.ctx, recordPartition(o.service))
	if err != nil {
		return err
	}
	list, err := o.records.load(items)
	if err != nil {
		return err
	}
	expired := 0
	for _, b := range list {
		if o.addPredecessor(b) {
			expired++
		}
	}
	o.logSilences(expired)
	return nil
}

// recordBackends stores rows of new backend servers before anything runs there, and lets the scheduler use those whose rows
// are stored. It runs each time the list of backend servers is read, so a failed write is retried soon.
func (o *owner) recordBackends() {
	now := time.Now()
	used := o.pool.Backends()
	for _, b := range used {
		o.pool.SetRecorded(b.ID, o.records.inUse(b.ID))
	}
	if o.records.inFlight || o.stopping || now.Before(o.records.retryAfter) {
		return
	}
	w := o.records.nextWrite(used, now)
	if w.empty() {
		return
	}
	o.records.inFlight = true
	go func() {
		version, err := o.records.write(o.ctx, w)
		o.send(func(now time.Time) {
			o.records.handleResult(w, version, err, now)
			if err != nil {
				o.logRecordFailure(w, err)
			}
			o.recordBackends()
			o.sendListed(now)
		})
	}()
}

// logRecordFailure logs a failed write of rows; the backend servers of the puts can't be used until it succeeds.
func (o *owner) logRecordFailure(w recordWrite, err error) {
	entry := o.log.WithError(err).WithFields(logrus.Fields{"put": len(w.puts), "silent": len(w.silences), "run_lists": len(w.lists), "removed": len(w.deletes)})
	if basilplatform.IsErrRefused(err) {
		entry.Error("store refused rows of backend servers")
		return
	}
	entry.Warn("failed to store rows of backend servers")
}
