package basilnode

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// applyBackends applies the list of backend servers, which was current at the given time.
func (o *owner) applyBackends(list []basilwork.Backend, at time.Duration) {
	o.setBackends(list)
	o.backendFreshness.markCurrent(at)
}

// setBackends updates the pool and the connections to the listed backend servers, without those whose hosts were
// ordered away. Connections to servers that are no longer listed are closed, except where runs or a stored row remain.
func (o *owner) setBackends(list []basilwork.Backend) {
	list = slices.DeleteFunc(list, func(b basilwork.Backend) bool {
		_, orderedAway := o.evacuation.request.Gone[b.ID]
		return orderedAway
	})
	for _, b := range list {
		if !o.pool.Knows(b.ID) {
			o.closeConnection(b.ID) // an old connection reported long ago that the server answers, and won't do so again
		}
	}
	o.pool.SetBackends(list)
	o.recordBackends()
	listed := make(map[string]bool, len(list))
	for _, b := range list {
		listed[b.ID] = true
		o.openConnection(b)
	}
	for id := range o.connections {
		if !listed[id] && !o.pool.MayHaveRuns(id) && !o.pool.HasOrphans(id) && !o.records.stored(id) {
			o.closeConnection(id)
		}
	}
}

func (o *owner) openConnection(b basilwork.Backend) {
	if o.connections[b.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(o.ctx)
	l := &connection{cancel: cancel, Connection: basilrunner.NewConnection(b, basilrunner.Options{
		Commander: o.node.commander, Sink: o, Fence: o.row.Epoch, MaxLease: o.node.options.MaxHold, Term: maxLeaseTerm, Inherited: o.pool.PredecessorUntil(b.ID),
		MayStart: o.node.keeper.MayStart, HoldInterval: o.holdPacer.interval, Earlier: o.earlier.Get(b.ID),
		MayHold: func() bool {
			return o.node.keeper.MayStart() || o.node.keeper.SinceRenewal() < o.node.options.HoldLimit
		},
		HoldUnanswered: func() { o.node.metrics.holdUnanswered(o.service) }, LeaseNarrow: o.leaseNarrow,
	})}
	l.SetSuspended(!o.records.inUse(b.ID))
	o.connections[b.ID] = l
	go l.Run(ctx)
}

func (o *owner) closeConnection(id string) {
	if l := o.connections[id]; l != nil {
		l.cancel()
		o.earlier.Add(id, l.Earlier(), time.Now())
		delete(o.connections, id)
		o.orders.drop(id)
	}
}

// updateConnections tells each connection whether its backend server is busy, and up to which number the ends of runs
// there are stored.
func (o *owner) updateConnections() {
	for id, l := range o.connections {
		l.SetSuspended(!o.records.inUse(id))
		l.SetBusy(o.pool.Busy(id), o.commit.incarnations[id], o.commit.acked[id])
		l.SetWatched(o.pool.HasOrphans(id))
	}
}

// Report handles a backend server's answer to a hold request. restarted tells that the server has restarted.
func (o *owner) Report(id string, r basilwork.Report, sent time.Time, restarted bool) {
	o.orders.answered(id)
	o.sendEvent(event{subject: id, complete: !restarted, held: func() { o.stopCancelled(id, r.Running) }, handle: func(now time.Time) {
		var before []basilscheduler.RunState
		if restarted {
			before = o.pool.RunStates(id)
			o.log.WithFields(logrus.Fields{basillog.FieldHost: id, "born": r.StartedAt}).Info("backend server restarted")
			o.pool.Restarted(id, r, sent, now)
			o.commit.forgetEnds(id)
		}
		o.commit.setIncarnation(id, r.StartedAt)
		o.logRunEnds(id, r)
		o.pool.Report(id, r, sent, now)
		o.recordLosses(id, reasonRestarted, before, now)
	}})
}

func (o *owner) logRunEnds(id string, r basilwork.Report) {
	for _, e := range r.Ended {
		if e.End == basilwork.RunEndDone || e.Number <= o.commit.logged[id] {
			continue
		}
		o.commit.setLogged(id, e.Number)
		o.log.WithFields(logrus.Fields{
			"task": e.Task, basillog.FieldAttempt: e.Attempt, basillog.FieldHost: id, basillog.FieldOutcome: e.End.String(), "number": e.Number,
		}).Info("run ended")
	}
}

// Attached records that a backend server has answered a request with the owner's epoch.
func (o *owner) Attached(id string) {
	o.sendEvent(event{subject: id, handle: func(time.Time) {
		o.pool.Attached(id)
		o.heard(id)
	}})
}

// Reachable records whether a backend server answers.
func (o *owner) Reachable(id string, reachable bool) {
	o.sendEvent(event{subject: id, handle: func(now time.Time) {
		o.log.WithFields(o.describeReachability(id, reachable, now)).Info("backend server reachability changed")
		o.pool.SetReachable(id, reachable)
		if reachable {
			o.heard(id)
		} else {
			o.noteFallenSilent(id)
			o.ended.hasten()
		}
	}})
}

// describeReachability returns the fields of the log line about a backend server that answers again, or no longer does.
func (o *owner) describeReachability(id string, reachable bool, now time.Time) logrus.Fields {
	fields := logrus.Fields{basillog.FieldHost: id, "reachable": reachable}
	l := o.connections[id]
	if l == nil {
		return fields
	}
	r := l.Renewals()
	fields["unanswered"], fields["narrow"] = r.Unanswered, r.Narrow
	if at := l.LastAnswer(); !at.IsZero() {
		fields["silent_ms"], fields["lease_left_ms"] = now.Sub(at).Milliseconds(), r.Left.Milliseconds()
	}
	return fields
}

// leaseNarrow logs and counts the renewal of leases that would have expired soon.
func (o *owner) leaseNarrow(id string, left time.Duration) {
	o.node.metrics.leaseNarrow(o.service)
	o.log.WithFields(logrus.Fields{basillog.FieldHost: id, "left_ms": left.Milliseconds()}).Info("leases on backend server nearly expired")
}

// Lost records that nothing runs any more on the known incarnation of a backend server, and closes its connection.
func (o *owner) Lost(id string, reason basilwork.Loss) {
	o.sendEvent(event{subject: id, handle: func(now time.Time) {
		o.log.WithFields(logrus.Fields{basillog.FieldHost: id, basillog.FieldReason: reason.String()}).Warn("backend server lost")
		before := o.pool.RunStates(id)
		o.pool.Lost(id, reason, now)
		if reason != basilwork.LossExpired { // otherwise it is silent still, and successors need not wait for it
			o.heard(id)
		}
		o.recordLosses(id, reason.String(), before, now)
		o.closeConnection(id)
		o.commit.forgetEnds(id)
	}})
}

// Fenced ends the owner, because a backend server has seen a newer one.
func (o *owner) Fenced(id string) {
	o.log.WithField(basillog.FieldHost, id).Warn("backend server has seen a newer owner; stopping")
	o.cancel()
}
