package basilnode

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// execute carries out the actions that the scheduler decided at the given time.
func (o *owner) execute(a basilscheduler.Actions, now time.Time) {
	o.logStarts(a.Starts)
	for _, s := range a.Slow {
		o.log.WithFields(logrus.Fields{
			basillog.FieldHost: s.Backend, "odds": s.Odds, "took_ms": s.Took.Milliseconds(), "estimate_ms": s.Estimate.Milliseconds(),
		}).Info("backend server classified as slow")
	}
	o.logCrashes(a.Crashes)
	for _, g := range a.GivenUp {
		o.log.WithFields(logrus.Fields{basillog.FieldJob: g.Task.Job, "task": g.Task.String(), "crashes": g.Crashes}).Warn("job given up: backend servers crashed under its task")
	}
	o.logEarlierEnds(a.EarlierEnds)
	for _, s := range a.Stops {
		o.stopRun(s)
	}
	for _, p := range a.Paces {
		o.pace(p)
	}
	o.queueStarts(a.Starts, now)
	for _, r := range a.Advice {
		o.requestAdvice(r)
	}
}

// logStarts logs one line per step whose tasks are started, with the reasons for their place in the queue. Repeated requests are logged with
// their answers.
func (o *owner) logStarts(starts []basilscheduler.Start) {
	starts = slices.DeleteFunc(slices.Clone(starts), func(s basilscheduler.Start) bool { return s.Repeats > 0 })
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

// enqueue queues a stop or a pace, to be sent outside the control goroutine, if there is a connection to the backend server.
func (o *owner) enqueue(r basilscheduler.Ref, pace bool, send func(l *connection, queued time.Duration) (answered bool)) {
	if l := o.connections[r.Backend]; l != nil {
		o.orders.put(order{Ref: r, pace: pace, queuedAt: time.Now(), send: func(queued time.Duration) bool { return send(l, queued) }})
	}
}

// withdraw reports starts that were not sent to the scheduler.
func (o *owner) withdraw(list []withdrawnStart) {
	o.send(func(now time.Time) { o.reportWithdrawn(list, now) })
}

func (o *owner) reportWithdrawn(list []withdrawnStart, now time.Time) {
	o.logWithdrawn(list)
	for _, w := range list {
		o.pool.Started(w.Ref, basilwork.RefusalUnsent, true, now)
	}
}

// logWithdrawn logs one line per step and reason for starts that were not sent.
func (o *owner) logWithdrawn(list []withdrawnStart) {
	for len(list) > 0 {
		step, reason := list[0].Task.StepName(), list[0].reason
		n := 0
		for n < len(list) && list[n].Task.StepName() == step && list[n].reason == reason {
			n++
		}
		o.log.WithFields(logrus.Fields{
			basillog.FieldJob: list[0].Task.Job, "step": step, "starts": n, basillog.FieldReason: reason.String(),
		}).Info("starts withdrawn before they were sent")
		list = list[n:]
	}
}

func (o *owner) logRun(r basilscheduler.Ref) *logrus.Entry {
	return o.log.WithFields(logrus.Fields{
		basillog.FieldJob: r.Task.Job, "task": r.Task.String(), basillog.FieldAttempt: r.Attempt, basillog.FieldHost: r.Backend,
	})
}

// queueStarts queues the starts of one decision. Those of listed steps wait until their backend servers have answered and successors would know.
func (o *owner) queueStarts(starts []basilscheduler.Start, decided time.Time) {
	var list []basilscheduler.Start
	for _, s := range starts {
		l := o.connections[s.Backend]
		if !s.Listed || s.Repeats > 0 || l == nil {
			list = append(list, s)
			continue
		}
		o.unlisted = append(o.unlisted, unlistedStart{Start: s, connection: l})
		l.Refresh()
	}
	o.sendStarts(list, decided)
}

// sendStarts queues starts. One without a connection is reported back as refused.
func (o *owner) sendStarts(starts []basilscheduler.Start, decided time.Time) {
	list := make([]queuedStart, 0, len(starts))
	for _, s := range starts {
		l := o.connections[s.Backend]
		if l == nil {
			o.pool.Started(s.Ref, basilwork.RefusalBusy, true, time.Now())
			continue
		}
		if s.Listed && !o.records.admits(s.Backend, s.Task.String()) { // a repeated start, while its row is stored anew
			o.pool.Started(s.Ref, basilwork.RefusalUnsent, true, time.Now())
			continue
		}
		startedAt := o.commit.incarnations[s.Backend]
		list = append(list, queuedStart{Start: s, decided: decided, send: func() bool { return o.sendStart(l, s, startedAt) }})
	}
	o.orders.putStarts(list)
}

// sendStart sends a start to the backend server, whose known incarnation started at startedAt.
func (o *owner) sendStart(l *connection, s basilscheduler.Start, startedAt int64) (answered bool) {
	sent := time.Now()
	order := basilwork.StartOrder{Task: s.Task.String(), Attempt: s.Attempt, Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket}
	var refusal basilwork.Refusal
	if s.Repeats > 0 {
		refusal, answered = l.RepeatStart(o.ctx, order, startedAt)
	} else {
		refusal, answered = l.Start(o.ctx, order)
	}
	entry := o.logRun(s.Ref).WithFields(logrus.Fields{basillog.FieldDuration: time.Since(sent).Milliseconds(), "repeats": s.Repeats})
	switch {
	case !answered:
		entry.Warn("start request not answered")
	case refusal != basilwork.RefusalNone:
		entry.WithField(basillog.FieldReason, refusal.String()).Info("start refused by the backend server")
	case s.Repeats > 0:
		entry.Info("repeated start request answered")
	default:
		entry.Debug("task started")
	}
	o.node.metrics.started(refusal, answered, time.Since(sent))
	o.send(func(now time.Time) { o.pool.Started(s.Ref, refusal, answered, now) })
	return answered
}

func (o *owner) stopRun(s basilscheduler.Stop) {
	order := basilwork.StopOrder{Task: s.Task.String(), Attempt: s.Attempt}
	o.enqueue(s.Ref, false, func(l *connection, queued time.Duration) bool {
		answered := l.Stop(o.ctx, order)
		answeredAt := time.Now()
		o.node.metrics.observe(stopQueueTime, queued)
		o.logRun(s.Ref).WithFields(logrus.Fields{
			basillog.FieldReason: s.Reason, "answered": answered, "queued_ms": queued.Milliseconds(),
		}).Info("stop request sent")
		o.send(func(time.Time) { o.pool.Stopped(s.Ref, answered, answeredAt) })
		if answered {
			l.Refresh() // the task can start elsewhere once a report shows that the run is gone
		}
		return answered
	})
}

func (o *owner) pace(p basilscheduler.Pace) {
	order := basilwork.PaceOrder{Task: p.Task.String(), Attempt: p.Attempt, Percent: p.Percent}
	o.enqueue(p.Ref, true, func(l *connection, _ time.Duration) bool {
		answered := l.Pace(o.ctx, order)
		o.logRun(p.Ref).WithFields(logrus.Fields{"percent": p.Percent, "answered": answered}).Info("pace request sent")
		return answered
	})
}

func (o *owner) requestAdvice(r basilscheduler.AdviceRequest) {
	go func() {
		tickets, valid, err := o.node.advisor.Advise(o.ctx, r.Step, r.Backends)
		if err != nil {
			o.log.WithError(err).WithField("step", r.Step).Warn("advice request failed")
			o.send(func(now time.Time) { o.pool.AdviceFailed(r, now) })
			return
		}
		o.send(func(now time.Time) { o.pool.Advised(r, tickets, valid, now) })
	}()
}
