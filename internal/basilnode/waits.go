package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	maxWaitLines         = 4                // per loadLogInterval and pool, which keeps the volume within that of a few lines about the load
	waitLogInterval      = 5 * time.Second  // between lines about one step whose reason stays the same
	expectedWaitInterval = 60 * time.Second // the same for waits that a healthy pool has too
	waitCostFactor       = 200              // so that explaining waits takes at most 0.5% of the time
	maxListedBackends    = 8                // backend servers named in a line about those of a predecessor
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=startBlock -trimprefix=startBlock -transform=snake -output=start_block_enumer.go

// startBlock is the reason why an owner allows no starts.
type startBlock int

const (
	startBlockNone     startBlock = iota
	startBlockLease               // the lease of the entry host is not certain
	startBlockJobs                // the copy of the jobs is too old
	startBlockBackends            // the copy of the backend servers' entries is too old
	startBlockOrders              // too many starts wait to be sent
	startBlockStopping            // the owner is giving up the shard
)

// waitLog logs why tasks wait, with a limit on the number of lines.
type waitLog struct {
	logged map[string]loggedWait // by step
	next   time.Time             // when waits are explained again
}

// loggedWait is the last line about the wait of a step.
type loggedWait struct {
	reason   basilscheduler.WaitReason
	at       time.Time
	expected bool
}

// choose returns the waits to log now, in the order given.
func (l *waitLog) choose(list []basilscheduler.Wait, now time.Time) []basilscheduler.Wait {
	if l.logged == nil {
		l.logged = make(map[string]loggedWait)
	}
	for step, x := range l.logged {
		if now.Sub(x.at) >= x.interval() {
			delete(l.logged, step)
		}
	}
	var chosen []basilscheduler.Wait
	for _, w := range list {
		if len(chosen) == maxWaitLines {
			break
		}
		step := w.Task.StepName()
		if x, ok := l.logged[step]; ok && x.reason == w.Reason {
			continue
		}
		l.logged[step] = loggedWait{reason: w.Reason, at: now, expected: w.Expected}
		chosen = append(chosen, w)
	}
	return chosen
}

func (l *loggedWait) interval() time.Duration {
	if l.expected {
		return expectedWaitInterval
	}
	return waitLogInterval
}

// logWaits logs why tasks wait and updates the metrics about it, unless that took so long the last time that it isn't due.
func (o *owner) logWaits(now time.Time) {
	if now.Before(o.waitLog.next) {
		return
	}
	began := time.Now()
	w := o.pool.ExplainWaits(now)
	o.waitLog.next = now.Add(waitCostFactor * time.Since(began))
	o.node.metrics.setWaits(o.service, w)
	for _, x := range o.waitLog.choose(w.List, now) {
		fields := waitFields(&x)
		if x.Reason == basilscheduler.WaitReasonStartLimit || x.BlockerReason == basilscheduler.WaitReasonStartLimit {
			fields["starts_blocked_by"] = o.startBlock.String()
			fields["renewal_age_ms"] = o.node.keeper.SinceRenewal().Milliseconds()
			fields["jobs_age_ms"], fields["backends_age_ms"] = o.jobFreshness.age().Milliseconds(), o.backendFreshness.age().Milliseconds()
		}
		o.addSilence(fields, x.Run.Backend, now)
		level := logrus.WarnLevel
		if x.Expected {
			level = logrus.InfoLevel
		}
		o.log.WithFields(fields).Log(level, "task waits")
	}
}

// addSilence adds for how long the backend server has not answered, and when it counts as lost if it doesn't answer until then.
func (o *owner) addSilence(fields logrus.Fields, id string, now time.Time) {
	c := o.connections[id]
	if c == nil {
		return
	}
	if since, lostAt := c.Silence(); !since.IsZero() {
		fields["silent_ms"], fields["lost_in_ms"] = now.Sub(since).Milliseconds(), lostAt.Sub(now).Milliseconds()
	}
}

// waitFields returns the log fields of a wait, without those that have no meaning for its reason.
func waitFields(w *basilscheduler.Wait) logrus.Fields {
	f := logrus.Fields{
		basillog.FieldJob: w.Task.Job, "step": w.Task.StepName(), "task": w.Task.String(), "tasks": w.Tasks,
		"waited_ms": w.Waited.Milliseconds(), basillog.FieldReason: w.Reason.String(),
	}
	if w.LongRunning {
		f["long_running"] = true
	}
	if w.Away > 0 {
		f["away_ms"] = w.Away.Milliseconds()
	}
	if w.Blocker.Job != "" {
		f["blocked_by"], f["blocked_by_reason"] = w.Blocker.String(), w.BlockerReason.String()
	}
	if w.Run.Backend != "" {
		f[basillog.FieldHost], f[basillog.FieldAttempt], f["run_age_ms"] = w.Run.Backend, w.Run.Attempt, w.RunAge.Milliseconds()
	}
	if len(w.Backends) > 0 {
		f["backends"] = w.Backends
	}
	if w.Pending > 0 {
		f["pending"] = w.Pending
	}
	if w.Ends > 0 {
		f["ends_in_ms"] = w.Ends.Milliseconds()
	}
	if w.Position > 0 {
		f["position"] = w.Position
	}
	if w.Detail != "" {
		f["detail"] = w.Detail
	}
	return f
}

// predecessorWait is an owner's wait for backend servers that may have runs of its predecessor.
type predecessorWait struct {
	count int
	since time.Time
	last  []string // some of those that are waited for
}

// logPredecessors logs the begin and the end of the wait for backend servers of a predecessor.
func (o *owner) logPredecessors(now time.Time) {
	w := &o.predecessors
	count := o.pool.PredecessorBackends()
	if count == w.count {
		return
	}
	switch {
	case count == 0:
		o.log.WithFields(logrus.Fields{"waited_ms": now.Sub(w.since).Milliseconds(), "last": w.last}).
			Info("no longer waiting for backend servers of predecessor")
		w.last = nil
	default:
		ids, left := o.pool.SomePredecessorBackends(maxListedBackends, now)
		if count > w.count {
			w.since = now
			o.log.WithFields(logrus.Fields{"backends": count, "hosts": ids, "ends_in_ms": left.Milliseconds()}).
				Info("waiting for backend servers of predecessor")
		}
		w.last = ids
	}
	w.count = count
}
