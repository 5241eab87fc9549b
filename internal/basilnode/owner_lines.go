package basilnode

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilwork"
)

// takeBackends takes up the listed backend servers as they were at the time.
func (o *owner) takeBackends(list []basilwork.Backend, at time.Duration) {
	o.setBackends(list)
	o.entries.takenIn(at)
}

// setBackends takes up the listed backend servers.
func (o *owner) setBackends(list []basilwork.Backend) {
	list = slices.DeleteFunc(list, func(b basilwork.Backend) bool {
		_, gone := o.plan.ask.Gone[b.ID]
		return gone
	})
	for _, b := range list {
		if !o.pool.Knows(b.ID) {
			o.closeLine(b.ID) // it was forgotten, and its line has told long ago that it answers
		}
	}
	o.pool.SetBackends(list)
	o.record()
	listed := make(map[string]bool, len(list))
	for _, b := range list {
		listed[b.ID] = true
		o.openLine(b)
	}
	for id, l := range o.lines {
		if !listed[id] && !o.pool.Busy(id) && !o.records.keeps(id) {
			l.cancel()
			delete(o.lines, id)
		}
	}
}

func (o *owner) openLine(b basilwork.Backend) {
	if o.lines[b.ID] != nil {
		return
	}
	ctx, cancel := context.WithCancel(o.ctx)
	l := &line{cancel: cancel, Line: basilrunner.NewLine(b, basilrunner.Options{
		Commander: o.node.commander, Sink: o, Fence: o.row.Epoch, MaxHold: o.node.options.MaxHold,
		MayStart: o.node.keeper.MayStart, Gather: o.holds.between,
		MayHold: func() bool { return o.node.keeper.SinceRenewal() < o.node.options.HoldLimit },
	})}
	o.lines[b.ID] = l
	go l.Run(ctx)
}

func (o *owner) closeLine(id string) {
	if l := o.lines[id]; l != nil {
		l.cancel()
		delete(o.lines, id)
	}
}

// updateLines tells the lines which backend servers are busy and what is stored of their ends.
func (o *owner) updateLines() {
	for id, l := range o.lines {
		l.SetBusy(o.pool.Busy(id), o.commit.born[id], o.commit.acked[id])
	}
}

// Report takes in a backend server's answer to a hold.
func (o *owner) Report(id string, r basilwork.Report, sent time.Time, reborn bool) {
	o.send(func(now time.Time) {
		if reborn {
			o.log.WithFields(logrus.Fields{basillog.FieldHost: id, "born": r.Born}).Info("backend server started again")
			o.pool.Reborn(id, r, sent, now)
			delete(o.commit.acked, id)
			delete(o.commit.snapshot, id)
			delete(o.commit.cover, id)
		}
		o.commit.noteBorn(id, r.Born)
		o.logEnds(id, r)
		o.pool.Report(id, r, sent, now)
	})
}

func (o *owner) logEnds(id string, r basilwork.Report) {
	for _, e := range r.Ended {
		if e.End == basilwork.RunEndDone || e.Number <= o.commit.logged[id] {
			continue
		}
		o.commit.noteLogged(id, e.Number)
		o.log.WithFields(logrus.Fields{
			"task": e.Task, basillog.FieldAttempt: e.Attempt, basillog.FieldHost: id, basillog.FieldOutcome: e.End.String(), "number": e.Number,
		}).Info("run ended")
	}
}

// Attached notes that a backend server has answered under the owner's epoch.
func (o *owner) Attached(id string) { o.send(func(time.Time) { o.pool.Attached(id) }) }

// Reachable notes whether a backend server answers.
func (o *owner) Reachable(id string, reachable bool) {
	o.send(func(time.Time) {
		o.log.WithFields(logrus.Fields{basillog.FieldHost: id, "reachable": reachable}).Info("backend server's answers changed")
		o.pool.SetReachable(id, reachable)
	})
}

// Lost notes that nothing runs on an incarnation of a backend server any more.
func (o *owner) Lost(id, reason string) {
	o.send(func(now time.Time) {
		o.log.WithFields(logrus.Fields{basillog.FieldHost: id, basillog.FieldReason: reason}).Warn("backend server lost")
		o.pool.Lost(id, now)
		o.closeLine(id)
		delete(o.commit.acked, id)
		delete(o.commit.snapshot, id)
		delete(o.commit.cover, id)
	})
}

// Fenced notes that a backend server has seen a newer owner.
func (o *owner) Fenced(id string) {
	o.log.WithField(basillog.FieldHost, id).Warn("backend server has seen a newer owner")
	o.cancel()
}
