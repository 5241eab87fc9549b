package basilnode

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

// refusedCommitDelay is the delay before a record that the store refused is sent again: short, as no end is acknowledged meanwhile, and long
// enough to cost little of the 300 transactions a second that a partition takes.
const refusedCommitDelay = 2 * time.Second

// committer holds the state of the group commits of job records, and which ends of runs they store. An end may be
// acknowledged to its backend server once all records that it changed are stored.
type committer struct {
	inFlight       bool
	entries        []basilledger.Entry // still to be stored; the first of them are in flight or to be retried
	sent           int                 // of these, in the latest transaction
	limit          int                 // entries of the next transaction; 0 means no limit but that of its size
	refused        map[string]refusedEntry
	forms          map[string]basilledger.Form // by job: the form of records that were refused in larger ones
	states         map[string]basilwork.JobState
	writer         string
	sequence       int64
	covered        map[string]int64 // by backend server: number of the last end that is stored with the current transaction
	pendingCover   map[string]int64 // the same, once all records are stored that had changed when it was taken
	pendingChanges int64            // number of record changes when pendingCover was taken
	acked          map[string]int64 // by backend server: number of the last end that is stored
	settled        map[string]int64 // the same but for the records that the store has refused, which keep no backend server from being emptied
	incarnations   map[string]int64 // by backend server: start of the incarnation that the numbers belong to, in Unix milliseconds
	logged         map[string]int64 // by backend server: number of the last end that was logged
	oldestChange   time.Time        // time of the oldest change that is not yet in a transaction
	retryAfter     time.Time        // next attempt after a failed commit
	stopping       bool             // no commit follows once the changes up to lastChanges are stored
	lastChanges    int64
}

// refusedEntry is the record of a job that the store refused by itself. It is sent again apart from the others, and no end is acknowledged
// until it is stored.
type refusedEntry struct {
	basilledger.Entry
	state basilwork.JobState
	until time.Time // when to send it again
}

// take returns the first entries, which fit into one transaction.
func (c *committer) take() []basilledger.Entry {
	bytes := 0
	for n, e := range c.entries {
		bytes += len(e.Body)
		if n > 0 && (n == c.limit || bytes > basilledger.MaxCommitBytes) {
			return c.entries[:n]
		}
	}
	return c.entries
}

// bisect finds the record that makes the store refuse a transaction, by halving the number of records of the next one. A record that was
// refused by itself gets a smaller form. It returns one that was refused in the smallest, after it has set it aside, so that it doesn't hold
// up the others.
func (c *committer) bisect(now time.Time) (refused *basilledger.Entry) {
	c.limit = max(1, c.sent/2)
	if c.sent > 1 {
		return nil
	}
	e := c.entries[0]
	if smaller, ok := e.Compact(); ok {
		c.setForm(e.ID, smaller.Form)
		c.entries[0] = smaller
		return nil
	}
	c.entries = c.entries[1:]
	if c.refused == nil {
		c.refused = make(map[string]refusedEntry)
	}
	c.refused[e.ID] = refusedEntry{Entry: e, state: c.states[e.ID], until: now.Add(refusedCommitDelay)}
	return &e
}

func (c *committer) setForm(id string, f basilledger.Form) {
	if c.forms == nil {
		c.forms = make(map[string]basilledger.Form)
	}
	c.forms[id] = f
}

// due returns the jobs whose records are to be stored now: those that the store has refused and that are to be sent again, if there are
// any, and otherwise those of the given ones that it has not refused.
func (c *committer) due(ids []string, now time.Time) []string {
	var again []string
	for _, id := range slices.Sorted(maps.Keys(c.refused)) {
		if !now.Before(c.refused[id].until) {
			again = append(again, id)
		}
	}
	if len(again) > 0 {
		return again
	}
	return slices.DeleteFunc(ids, c.isRefused)
}

func (c *committer) isRefused(id string) bool {
	_, ok := c.refused[id]
	return ok
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
	delete(c.settled, id)
	delete(c.covered, id)
	delete(c.pendingCover, id)
	delete(c.logged, id)
}

// settle records the numbers of the last ends whose effect is stored, but for the records that the store has refused. Without these, the
// ends are acknowledged.
func (c *committer) settle(numbers map[string]int64) {
	c.settled = raised(c.settled, numbers)
	if len(c.refused) == 0 {
		c.acknowledge(numbers)
	}
}

func (c *committer) acknowledge(numbers map[string]int64) { c.acked = raised(c.acked, numbers) }

// raised returns the map with the values of the other one that are larger.
func raised(m, by map[string]int64) map[string]int64 {
	if m == nil {
		m = make(map[string]int64, len(by))
	}
	for id, n := range by {
		m[id] = max(m[id], n)
	}
	return m
}

// idle reports whether no transaction is in flight or to be sent again.
func (c *committer) idle() bool { return !c.inFlight && len(c.entries) == 0 }

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
	if !o.stopping {
		ids = c.due(ids, now)
	}
	if len(ids) == 0 {
		c.settle(o.pool.Processed())
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
			o.retryRefused(id)
			continue
		}
		e, err := basilledger.NewEntry(r, o.versions[id], c.writer, c.forms[id])
		if err != nil {
			o.log.WithError(err).WithField(basillog.FieldJob, id).Error("failed to encode job record")
			continue
		}
		c.states[id] = r.State
		c.entries = append(c.entries, e)
	}
	c.covered = nil
	if o.pool.TakenUpToBut(c.pendingChanges, c.isRefused) { // while one is refused, nothing is acknowledged
		c.covered, c.pendingCover = c.pendingCover, nil
	}
}

// retryRefused adds a record that the store has refused, unless its job has ended by another process's write: it is cancelled.
func (o *owner) retryRefused(id string) {
	c := &o.commit
	e, ok := c.refused[id]
	if !ok {
		return
	}
	if _, ended := o.finished[id]; ended {
		delete(c.refused, id)
		return
	}
	c.states[id] = e.state
	c.entries = append(c.entries, e.Entry)
}

func (o *owner) sendCommit() {
	c := &o.commit
	c.inFlight = true
	entries, writer := c.take(), c.writer
	c.sent = len(entries)
	row := basilledger.Owner{Shard: o.service, Key: basilshard.OwnerKey(o.service), Version: o.row.Version}
	go func() {
		sent := time.Now()
		result, err := o.node.ledger.Commit(o.ctx, row, writer, entries)
		o.node.metrics.committed(len(entries), err, time.Since(sent))
		o.send(func(now time.Time) { o.handleCommit(result, err, now) })
	}()
}

// handleCommit handles the result of a group commit. A failed one is sent again unchanged, since it may have been
// applied without an answer, but for one that the store refused, or of whose rows one can't be read.
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
	if basilplatform.IsErrRefused(err) || basilledger.IsErrRecordUnreadable(err) {
		e := c.bisect(now)
		switch {
		case e != nil:
			o.node.metrics.recordRefused()
			o.log.WithError(err).WithFields(logrus.Fields{
				basillog.FieldJob: e.ID, "bytes": len(e.Body), "retry_ms": refusedCommitDelay.Milliseconds(),
			}).Error("cannot store the record of a job; trying again apart from others")
		case c.sent == 1:
			e := &c.entries[0]
			o.log.WithError(err).WithFields(logrus.Fields{basillog.FieldJob: e.ID, "bytes": len(e.Body), "without_checkpoints": e.Form == basilledger.FormWithoutCheckpoints}).
				Warn("store refused the record of a job; sending a smaller form")
		}
		return
	}
	if err != nil {
		o.log.WithError(err).WithField("records", c.sent).Warn("commit failed; retrying")
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
	for _, e := range c.entries[:c.sent] {
		delete(c.refused, e.ID)
		if _, stored := r.Versions[e.ID]; !stored || c.states[e.ID].Final() {
			delete(c.forms, e.ID)
		}
	}
	if c.limit *= 2; c.limit >= basilledger.MaxCommitRecords {
		c.limit = 0
	}
	if c.entries = c.entries[c.sent:]; len(c.entries) > 0 {
		return
	}
	c.entries = nil
	c.settle(c.covered)
}
