package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

// committer keeps what is being stored and which ends that covers.
type committer struct {
	inFlight bool
	entries  []basilledger.Entry // of the transaction in flight or to be repeated
	states   map[string]basilwork.JobState
	writer   string
	sequence int64
	snapshot map[string]int64 // ends that the transaction covers, by backend server
	cover    map[string]int64 // ends that will be covered once all records are stored that had changed then
	changes  int64            // of records, then
	acked    map[string]int64 // ends that are stored
	born     map[string]int64 // Unix milliseconds: incarnations of backend servers that the numbers are of
	logged   map[string]int64
	since    time.Time // of the oldest change that waits
	after    time.Time // no try before
}

func (c *committer) noteLogged(id string, number int64) {
	if c.logged == nil {
		c.logged = make(map[string]int64)
	}
	c.logged[id] = number
}

func (c *committer) noteBorn(id string, born int64) {
	if c.born == nil {
		c.born = make(map[string]int64)
	}
	c.born[id] = born
}

func (c *committer) acknowledge(numbers map[string]int64) {
	if c.acked == nil {
		c.acked = make(map[string]int64)
	}
	for id, n := range numbers {
		c.acked[id] = max(c.acked[id], n)
	}
}

// store starts a group commit when one is due, and returns in what time to look again.
func (o *owner) store(now time.Time) time.Duration {
	c := &o.commit
	if c.inFlight {
		return time.Second
	}
	if now.Before(c.after) {
		return c.after.Sub(now)
	}
	if len(c.entries) > 0 {
		o.sendCommit()
		return time.Second
	}
	ids, urgent := o.pool.Dirty()
	if len(ids) == 0 {
		c.acknowledge(o.pool.Processed())
		c.cover, c.since = nil, time.Time{}
		return time.Second
	}
	if c.since.IsZero() {
		c.since = now
	}
	if !urgent && !o.stopping && now.Sub(c.since) < commitGather {
		return c.since.Add(commitGather).Sub(now)
	}
	o.encode(ids)
	if len(c.entries) > 0 {
		o.sendCommit()
	}
	return time.Second
}

// encode takes the changed records for a transaction.
func (o *owner) encode(ids []string) {
	c := &o.commit
	c.sequence++
	c.writer = basilledger.Writer(o.node.options.Self.Incarnation, c.sequence)
	c.states = make(map[string]basilwork.JobState)
	c.since = time.Time{}
	if c.cover == nil || len(ids) <= basilledger.MaxCommitRecords {
		c.cover, c.changes = o.pool.Processed(), o.pool.Changes()
	}
	for _, id := range ids[:min(len(ids), basilledger.MaxCommitRecords)] {
		r, ok := o.pool.Take(id)
		if !ok {
			continue
		}
		e, err := basilledger.NewEntry(r, o.versions[id], c.writer)
		if err != nil {
			o.log.WithError(err).WithField(basillog.FieldJob, id).Error("record not encoded")
			continue
		}
		c.states[id] = r.State
		c.entries = append(c.entries, e)
	}
	c.snapshot = nil
	if o.pool.TakenUpTo(c.changes) {
		c.snapshot, c.cover = c.cover, nil
	}
}

func (o *owner) sendCommit() {
	c := &o.commit
	c.inFlight = true
	entries, writer := c.entries, c.writer
	row := basilledger.Owner{Shard: o.service, Key: basilshard.OwnerKey(o.service), Version: o.row.Version}
	go func() {
		sent := time.Now()
		result, err := o.node.ledger.Commit(o.ctx, row, writer, entries)
		o.node.metrics.committed(len(entries), err, time.Since(sent))
		o.send(func(now time.Time) { o.committed(result, err, now) })
	}()
}

// committed takes in the outcome of a group commit; one without an answer is sent again as it was.
func (o *owner) committed(r basilledger.Result, err error, now time.Time) {
	c := &o.commit
	c.inFlight = false
	o.hints.add(r.Versions)
	for id, v := range r.Versions {
		o.versions[id] = max(o.versions[id], v)
	}
	o.orders.cancel(r.Cancelled...)
	for _, id := range r.Cancelled {
		o.pool.Cancel(id, now)
	}
	for _, id := range r.Missing {
		o.log.WithField(basillog.FieldJob, id).Warn("job's row is gone")
		o.pool.Cancel(id, now)
	}
	if basilledger.IsErrDeposed(err) {
		o.log.Warn("shard has another owner")
		o.cancel()
		return
	}
	if err != nil {
		o.log.WithError(err).WithField("records", len(c.entries)).Warn("commit repeated")
		c.after = now.Add(commitRetry)
		return
	}
	for id := range r.Versions {
		o.pool.Stored(id, now)
		if s := c.states[id]; s.Final() {
			o.finished[id] = now
			o.log.WithFields(logrus.Fields{basillog.FieldJob: id, basillog.FieldOutcome: s.String()}).Info("job finished")
		}
	}
	c.entries = nil
	c.acknowledge(c.snapshot)
}

const (
	forgetEvery = 10 * time.Second // between removals of finished jobs
	forgetExtra = 30 * time.Second // beyond the time that states are kept, for clocks that differ
	forgetMost  = 90               // rows of one transaction, out of 100 entries
)

// forget removes jobs whose state was kept for long enough.
func (o *owner) forget(now time.Time) {
	if now.Sub(o.forgot) < forgetEvery || o.stopping {
		return
	}
	o.forgot = now
	row := basilledger.Owner{Shard: o.service, Key: basilshard.OwnerKey(o.service), Version: o.row.Version}
	var ids []string
	for id, at := range o.finished {
		if now.Sub(at) > o.node.options.Status+forgetExtra && len(ids) < forgetMost {
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
				o.log.WithError(err).Warn("finished jobs not removed")
				return
			}
			if len(ids) == forgetMost {
				o.forgot = time.Time{} // there are more
			}
			for _, id := range ids {
				delete(o.finished, id)
				delete(o.versions, id)
			}
			o.orders.forget(ids)
			o.hints.forget(ids)
			o.log.WithField("jobs", len(ids)).Info("finished jobs removed")
		})
	}()
}
