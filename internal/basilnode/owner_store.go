package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

// committer holds the state of the group commits of job records, and which ends of runs they store. An end may be
// acknowledged to its backend server once all records that it changed are stored.
type committer struct {
	inFlight       bool
	entries        []basilledger.Entry // of the transaction that is in flight or to be retried
	states         map[string]basilwork.JobState
	writer         string
	sequence       int64
	covered        map[string]int64 // by backend server: number of the last end that is stored with the current transaction
	pendingCover   map[string]int64 // the same, once all records are stored that had changed when it was taken
	pendingChanges int64            // number of record changes when pendingCover was taken
	acked          map[string]int64 // by backend server: number of the last end that is stored
	incarnations   map[string]int64 // by backend server: start of the incarnation that the numbers belong to, in Unix milliseconds
	logged         map[string]int64 // by backend server: number of the last end that was logged
	oldestChange   time.Time        // time of the oldest change that is not yet in a transaction
	retryAfter     time.Time        // next attempt after a failed commit
	stopping       bool             // no commit follows once the changes up to lastChanges are stored
	lastChanges    int64
}

// stopAfterChanges has no more records stored than those with one of the first changes.
func (c *committer) stopAfterChanges(changes int64) {
	if !c.stopping {
		c.stopping, c.lastChanges = true, changes
	}
}

// stopped reports whether all records are stored that are to be, and no commit follows.
func (c *committer) stopped(p *basilscheduler.Pool) bool {
	return c.stopping && !c.inFlight && len(c.entries) == 0 && p.TakenUpTo(c.lastChanges)
}

func (c *committer) setLogged(id string, number int64) {
	if c.logged == nil {
		c.logged = make(map[string]int64)
	}
	c.logged[id] = number
}

// setIncarnation records the incarnation of a backend server that has answered. What was stored of an earlier one says nothing of its ends.
func (c *committer) setIncarnation(id string, startedAt int64) {
	if c.incarnations == nil {
		c.incarnations = make(map[string]int64)
	}
	if c.incarnations[id] != startedAt {
		c.forgetEnds(id)
	}
	c.incarnations[id] = startedAt
}

// forgetEnds forgets which ends of a backend server are stored, or are stored by the transactions under way.
func (c *committer) forgetEnds(id string) {
	delete(c.acked, id)
	delete(c.covered, id)
	delete(c.pendingCover, id)
	delete(c.logged, id)
}

func (c *committer) acknowledge(numbers map[string]int64) {
	if c.acked == nil {
		c.acked = make(map[string]int64)
	}
	for id, n := range numbers {
		c.acked[id] = max(c.acked[id], n)
	}
}

// commitIfDue starts a group commit when one is due, and returns the time until the next check.
func (o *owner) commitIfDue(now time.Time) time.Duration {
	c := &o.commit
	if c.inFlight {
		return time.Second
	}
	if now.Before(c.retryAfter) {
		return c.retryAfter.Sub(now)
	}
	if len(c.entries) > 0 {
		o.sendCommit()
		return time.Second
	}
	if c.stopped(o.pool) {
		return time.Second
	}
	ids, urgent := o.pool.DirtyJobs()
	if len(ids) == 0 {
		c.acknowledge(o.pool.Processed())
		c.pendingCover, c.oldestChange = nil, time.Time{}
		return time.Second
	}
	if c.oldestChange.IsZero() {
		c.oldestChange = now
	}
	if !urgent && !o.stopping && now.Sub(c.oldestChange) < commitDelay {
		return c.oldestChange.Add(commitDelay).Sub(now)
	}
	o.prepareCommit(ids)
	if len(c.entries) > 0 {
		o.sendCommit()
	}
	return time.Second
}

// prepareCommit encodes changed records, as many as one transaction takes. When more records change all the time than
// that, pendingCover stays as it was, so that its ends are acknowledged once the records changed by then are stored.
func (o *owner) prepareCommit(ids []string) {
	c := &o.commit
	c.sequence++
	c.writer = basilledger.CommitID(o.node.options.Self.Incarnation, o.row.Epoch, c.sequence)
	c.states = make(map[string]basilwork.JobState)
	c.oldestChange = time.Time{}
	if c.pendingCover == nil || len(ids) <= basilledger.MaxCommitRecords {
		c.pendingCover, c.pendingChanges = o.pool.Processed(), o.pool.Changes()
	}
	for _, id := range ids[:min(len(ids), basilledger.MaxCommitRecords)] {
		r, ok := o.pool.Take(id)
		if !ok {
			continue
		}
		e, err := basilledger.NewEntry(r, o.versions[id], c.writer)
		if err != nil {
			o.log.WithError(err).WithField(basillog.FieldJob, id).Error("failed to encode job record")
			continue
		}
		c.states[id] = r.State
		c.entries = append(c.entries, e)
	}
	c.covered = nil
	if o.pool.TakenUpTo(c.pendingChanges) {
		c.covered, c.pendingCover = c.pendingCover, nil
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
		o.send(func(now time.Time) { o.handleCommit(result, err, now) })
	}()
}

// handleCommit handles the result of a group commit. A failed one is sent again unchanged, since it may have been
// applied without an answer.
func (o *owner) handleCommit(r basilledger.Result, err error, now time.Time) {
	c := &o.commit
	c.inFlight = false
	o.ownWrites.add(r.Versions)
	for id, v := range r.Versions {
		o.versions[id] = max(o.versions[id], v)
	}
	o.orders.cancel(r.Cancelled...)
	for _, id := range r.Cancelled {
		o.pool.Cancel(id, now)
	}
	for _, id := range r.Missing {
		o.log.WithField(basillog.FieldJob, id).Warn("job row is missing; cancelling the job")
		o.pool.Cancel(id, now)
	}
	if basilledger.IsErrDeposed(err) {
		o.log.Warn("shard has another owner; stopping")
		o.cancel()
		return
	}
	if err != nil {
		o.log.WithError(err).WithField("records", len(c.entries)).Warn("commit failed; retrying")
		c.retryAfter = now.Add(commitRetryDelay)
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
	c.acknowledge(c.covered)
}

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
			}
			o.orders.forget(ids)
			o.ownWrites.forget(ids)
			o.log.WithField("jobs", len(ids)).Info("finished jobs removed")
		})
	}()
}
