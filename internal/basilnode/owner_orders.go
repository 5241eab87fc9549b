package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// execute carries out what the pool decided at now.
func (o *owner) execute(a basilscheduler.Actions, now time.Time) {
	o.logPlaced(a.Starts)
	for _, s := range a.Slow {
		o.log.WithFields(logrus.Fields{
			basillog.FieldHost: s.Backend, "odds": s.Odds, "took_ms": s.Took.Milliseconds(), "estimate_ms": s.Estimate.Milliseconds(),
		}).Info("backend server taken to be slow")
	}
	for _, s := range a.Stops {
		o.stopRun(s)
	}
	for _, p := range a.Paces {
		o.pace(p)
	}
	o.start(a.Starts, now)
	for _, r := range a.Advice {
		o.advise(r)
	}
}

// logPlaced writes a line for each step of which tasks are started, with what decided it.
func (o *owner) logPlaced(starts []basilscheduler.Start) {
	for len(starts) > 0 {
		step := starts[0].Task.StepName()
		var hosts []string
		n := 0
		for n < len(starts) && starts[n].Task.StepName() == step {
			hosts = append(hosts, starts[n].Backend)
			n++
		}
		o.log.WithFields(logrus.Fields{
			basillog.FieldJob: starts[0].Task.Job, "step": step, basillog.FieldAttempt: starts[0].Attempt, "hosts": hosts,
			"rank": starts[0].Rank, "slack_ms": starts[0].Slack.Milliseconds(), "waited_ms": starts[0].Waited.Milliseconds(),
		}).Info("tasks placed")
		starts = starts[n:]
	}
}

// order has an order to a backend server sent beside the control goroutine, unless it is gone.
func (o *owner) order(id string, f func(l *line)) {
	if l := o.lines[id]; l != nil {
		o.orders.put(id, func() { f(l) })
	}
}

// withdraw gives the scheduler back what was not sent.
func (o *owner) withdraw(list []withdrawn) {
	o.send(func(now time.Time) {
		o.logWithdrawn(list)
		for _, w := range list {
			o.pool.Started(w.Ref, basilwork.RefusalUnsent, true, now)
		}
	})
}

// logWithdrawn writes a line for each step of which starts were not sent.
func (o *owner) logWithdrawn(list []withdrawn) {
	for len(list) > 0 {
		step, reason := list[0].Task.StepName(), list[0].reason
		n := 0
		for n < len(list) && list[n].Task.StepName() == step && list[n].reason == reason {
			n++
		}
		o.log.WithFields(logrus.Fields{
			basillog.FieldJob: list[0].Task.Job, "step": step, "starts": n, basillog.FieldReason: reason.String(),
		}).Info("starts withdrawn")
		list = list[n:]
	}
}

func (o *owner) logRun(r basilscheduler.Ref) *logrus.Entry {
	return o.log.WithFields(logrus.Fields{
		basillog.FieldJob: r.Task.Job, "task": r.Task.String(), basillog.FieldAttempt: r.Attempt, basillog.FieldHost: r.Backend,
	})
}

// start queues the starts of one decision.
func (o *owner) start(starts []basilscheduler.Start, decided time.Time) {
	list := make([]waitingStart, 0, len(starts))
	for _, s := range starts {
		l := o.lines[s.Backend]
		if l == nil {
			o.pool.Started(s.Ref, basilwork.RefusalBusy, true, time.Now())
			continue
		}
		list = append(list, waitingStart{Start: s, decided: decided, send: func() { o.sendStart(l, s) }})
	}
	o.orders.putStarts(list)
}

func (o *owner) sendStart(l *line, s basilscheduler.Start) {
	sent := time.Now()
	refusal, answered := l.Start(o.ctx, basilwork.StartOrder{
		Task: s.Task.String(), Attempt: s.Attempt, Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	})
	entry := o.logRun(s.Ref).WithField(basillog.FieldDuration, time.Since(sent).Milliseconds())
	switch {
	case !answered:
		entry.Warn("start unanswered")
	case refusal != basilwork.RefusalNone:
		entry.WithField(basillog.FieldReason, refusal.String()).Info("start refused")
	default:
		entry.Debug("started")
	}
	o.node.metrics.started(refusal, answered, time.Since(sent))
	o.send(func(now time.Time) { o.pool.Started(s.Ref, refusal, answered, now) })
}

func (o *owner) stopRun(s basilscheduler.Stop) {
	order := basilwork.StopOrder{Task: s.Task.String(), Attempt: s.Attempt}
	o.order(s.Backend, func(l *line) {
		answered := l.Stop(o.ctx, order)
		o.logRun(s.Ref).WithFields(logrus.Fields{basillog.FieldReason: s.Reason, "answered": answered}).Info("stop ordered")
		o.send(func(now time.Time) { o.pool.Stopped(s.Ref, answered, now) })
	})
}

func (o *owner) pace(p basilscheduler.Pace) {
	order := basilwork.PaceOrder{Task: p.Task.String(), Attempt: p.Attempt, Percent: p.Percent}
	o.order(p.Backend, func(l *line) {
		answered := l.Pace(o.ctx, order)
		o.logRun(p.Ref).WithFields(logrus.Fields{"percent": p.Percent, "answered": answered}).Info("pace ordered")
	})
}

func (o *owner) advise(r basilscheduler.AdviceRequest) {
	go func() {
		tickets, valid, err := o.node.advisor.Advise(o.ctx, r.Step, r.Backends)
		if err != nil {
			o.log.WithError(err).WithField("step", r.Step).Warn("no advice")
			return
		}
		o.send(func(now time.Time) { o.pool.Advised(r.Step, tickets, valid, now) })
	}()
}
