package basilnode

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	eventQueueSize      = 1024
	commitDelay         = 150 * time.Millisecond // delay that batches non-urgent changes into one commit
	commitRetryDelay    = 150 * time.Millisecond
	storeRetryDelay     = 200 * time.Millisecond
	watchBatchDelay     = 30 * time.Millisecond // minimum time between reads of a busy table's changes
	loadLogInterval     = time.Second
	blockedStepInterval = 100 * time.Millisecond // interval at which a blocked owner checks whether starts are allowed again
)

// owner schedules the jobs of one pool while this entry host owns its shard. A single control goroutine handles its
// events and owns its state.
type owner struct {
	node             *Node
	service          string
	row              basilshard.OwnerRow
	log              *logrus.Entry
	pool             *basilscheduler.Pool // this and the fields below belong to the control goroutine
	connections      map[string]*connection
	earlier          basilrunner.EarlierConnections
	versions         map[string]int64
	finished         map[string]time.Time // finish time of each job whose final state is stored
	lastRemoval      time.Time            // last time that expired jobs were looked for
	records          recorder
	commit           committer
	evacuation       evacuation
	acceptor         *basilledger.Acceptor
	ownWrites        ownWrites
	workload         workload
	stats            loopStats
	waitLog          waitLog
	predecessors     predecessorWait
	ended            endedServers
	unlisted         []unlistedStart
	silenceAt        time.Time       // when backend servers that do not answer are next stored as silent
	fallenSilent     map[string]bool // those that have answered before
	startBlock       startBlock      // why the last decision allowed no starts
	pacer            pacer
	holdPacer        holdPacer
	events           chan event
	lastLoadLog      time.Time
	orders           orderQueue
	earlyStops       map[basilscheduler.Ref]time.Time // when the end of runs was requested while the jobs were read
	reload           *basilwork.PartitionReader       // belongs to the goroutine of watchJobs; nil unless rows are to be read again
	jobFreshness     freshness
	backendFreshness freshness
	ctx              context.Context
	cancel           context.CancelFunc
	stopping         bool
	handoverOnce     sync.Once // a handover and a process shutdown may happen at the same time
	done             chan struct{}
}

// connection is the connection to a backend server and the function that ends it.
type connection struct {
	*basilrunner.Connection
	cancel context.CancelFunc
}

func newOwner(n *Node, service string, row basilshard.OwnerRow) *owner {
	ctx, cancel := context.WithCancel(n.ctx)
	o := &owner{
		node: n, service: service, row: row,
		log:         n.log.WithFields(logrus.Fields{basillog.FieldPool: service, basillog.FieldEpoch: row.Epoch}),
		connections: make(map[string]*connection), versions: make(map[string]int64), finished: make(map[string]time.Time),
		stats: newLoopStats(n.metrics), events: make(chan event, eventQueueSize),
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	o.workload.processor = n.options.ProcessorTime
	o.workload.limited = func() bool { return o.pool.StartsLimited(time.Now()) }
	o.jobFreshness.watchJobs(n.options.Clock, cmp.Or(n.options.CancelStartWindow, defaultCancelStartWindow))
	o.backendFreshness.watchBackends(n.options.Clock, cmp.Or(n.options.DrainStartWindow, defaultDrainStartWindow))
	o.orders.fresh, o.orders.withdraw = o.copiesFresh, o.withdraw
	o.records = newRecorder(n.store, service, row.Check(service))
	o.records.listsSince = row.RunListsSince
	o.acceptor = basilledger.NewAcceptor(n.ctx, n.store, service, o.addStoredJobs)
	o.evacuation.row = basilshard.NewRow(n.store, answerKey(service), row.Check(service))
	o.pool = basilscheduler.New(basilscheduler.Options{
		Epoch: row.Epoch, Grace: n.predecessorGrace(row), StopTimeout: n.options.StopTimeout,
	}, time.Now())
	return o
}

// send queues an event for the control goroutine, unless the owner has ended.
func (o *owner) send(f func(now time.Time)) { o.sendEvent(event{handle: f}) }

func (o *owner) sendEvent(e event) {
	e.queuedAt = time.Now()
	select {
	case o.events <- e:
	case <-o.ctx.Done():
	}
}

// run is the control goroutine: it loads the stored jobs and schedules them until the owner's context ends.
func (o *owner) run() {
	defer close(o.done)
	defer o.node.metrics.setWaits(o.service, basilscheduler.Waits{})
	defer o.node.metrics.setAbsence(o.service, 0)
	if !o.load() {
		return
	}
	go o.watchRequests()
	go o.loadAbsences()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		stepping := o.await(timer)
		if o.ctx.Err() != nil {
			return
		}
		if stepping {
			timer.Reset(o.runStep())
		}
		if o.workload.lastingOverload(time.Now()) && !o.stopping && !o.node.stopping.Load() {
			o.handleOverload()
		}
	}
}

// await waits for an event or the timer, and reports whether a step is due. All events that have arrived are handled before it: the answer of a backend
// server counts though the time until which it was waited for is over by then.
func (o *owner) await(timer *time.Timer) (stepping bool) {
	select {
	case <-o.ctx.Done():
		return false
	case e := <-o.events:
		o.handleEvent(e)
		o.drainEvents()
		wait := o.pacer.wait(time.Now())
		timer.Reset(wait)
		return wait == 0
	case <-timer.C:
		o.drainEvents()
		return true
	}
}

// runStep performs and measures one step, and returns the time until the next one if no event arrives.
func (o *owner) runStep() time.Duration {
	began := time.Now()
	wait := o.step(began)
	ended := time.Now()
	o.stats.recordStep(ended.Sub(began))
	o.pacer.stepped(began, ended)
	o.holdPacer.update(ended, o.node.options.ProcessorTime(), o.node.options.Self.Weight)
	return max(wait, o.pacer.wait(ended))
}

func (o *owner) handleEvent(e event) {
	now := time.Now()
	o.stats.recordWait(now.Sub(e.queuedAt))
	o.workload.waited(now.Sub(e.queuedAt))
	e.handle(now)
}

// handleOverload hands the shard over if another entry host would serve it better. Otherwise the owner keeps it, because
// a takeover costs seconds without starts.
func (o *owner) handleOverload() {
	fraction := o.workload.shareFraction(o.node.options.Self.Weight)
	better := o.node.keeper.DecideHandOver(o.service, fraction)
	o.log.WithFields(logrus.Fields{
		"share": o.workload.share, "rate": fraction, "starts_limited": o.workload.limited(), "handed_over": better,
	}).Warn("pool owner does not keep up with its pool")
	if better {
		o.stopping = true
		go o.node.handOver(o.service, fraction < 1)
	}
}

func (o *owner) drainEvents() {
	for {
		select {
		case e := <-o.events:
			o.handleEvent(e)
		default:
			return
		}
	}
}

// step runs the scheduler, starts a commit if one is due and updates the connections. It returns the time until the
// next step.
func (o *owner) step(now time.Time) time.Duration {
	if o.pool.Fenced() {
		o.log.Warn("fenced by a newer owner; stopping")
		o.cancel()
		return time.Second
	}
	wake := o.decide(now)
	if untilListed := o.sendListed(now); untilListed > 0 {
		wake = min(wake, untilListed)
	}
	o.listRuns()
	o.logPredecessors(now)
	o.logLoad(now)
	o.removeFinished(now)
	wait := o.commitIfDue(now)
	if untilSilences := o.recordSilences(now); untilSilences > 0 {
		wait = min(wait, untilSilences)
	}
	if untilEnded := o.findEnded(now); untilEnded > 0 {
		wait = min(wait, untilEnded)
	}
	o.updateConnections()
	return max(time.Millisecond, min(wait, wake))
}

// decide runs the scheduler and carries out its actions. It returns the time until the next decision.
func (o *owner) decide(now time.Time) time.Duration {
	if o.stopping {
		o.startBlock = startBlockStopping
		o.pool.SetStartLimit(0)
		return time.Second
	}
	o.evacuate(now)
	var starts int
	starts, o.startBlock = o.startLimit()
	o.pool.SetStartLimit(starts)
	began := time.Now()
	actions := o.pool.Decide(now)
	o.stats.recordDecision(time.Since(began))
	o.execute(actions, now)
	wake := o.pool.Wake().Sub(now)
	if starts == 0 {
		return min(wake, blockedStepInterval)
	}
	return wake
}

// copiesFresh reports whether the data about jobs and backend servers is recent enough to start tasks.
func (o *owner) copiesFresh() bool { return o.jobFreshness.fresh() && o.backendFreshness.fresh() }

// startLimit returns how many starts the scheduler may decide, no more than could be sent, and why if there are none.
func (o *owner) startLimit() (int, startBlock) {
	switch {
	case !o.node.keeper.MayStart():
		return 0, startBlockLease
	case !o.jobFreshness.fresh():
		return 0, startBlockJobs
	case !o.backendFreshness.fresh():
		return 0, startBlockBackends
	}
	room := max(0, o.orders.room()-len(o.unlisted))
	if room == 0 {
		return 0, startBlockOrders
	}
	return room, startBlockNone
}

// logLoad logs the pool's load and why tasks wait, at most once per loadLogInterval, and updates the metrics about it.
func (o *owner) logLoad(now time.Time) {
	if now.Sub(o.lastLoadLog) < loadLogInterval {
		return
	}
	o.lastLoadLog = now
	l := o.pool.Load(now)
	o.node.metrics.setBackends(o.service, l)
	o.log.WithFields(logrus.Fields{
		"jobs": l.Jobs, "waiting": l.Waiting, "running": l.Running,
		"backends": l.Backends, "present": l.Present, "usable": l.Usable, "not_recorded": l.Unrecorded,
		"used_cpu": l.Used.CPU, "room_cpu": l.Room.CPU, "wanted_cpu": l.WaitingDemand.CPU, "used_mb": l.Used.Memory, "room_mb": l.Room.Memory,
		"hold_gather_ms": o.holdPacer.interval().Milliseconds(),
		"hosts_lacking":  l.Lacking, "orders_queued": o.orders.queued(), "starts_limited": l.Limited,
		"runs_without_job": l.Orphans, "runs_not_stopping": l.Unstopped,
	}).WithFields(o.stats.fields()).Info("pool load")
	o.logAbsences(now)
	o.logWaits(now)
}
