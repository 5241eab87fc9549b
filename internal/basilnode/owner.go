package basilnode

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	eventQueue   = 1024
	commitGather = 150 * time.Millisecond // in which changes that aren't urgent gather
	commitRetry  = 150 * time.Millisecond
	storeRetry   = 200 * time.Millisecond
	watchGather  = 30 * time.Millisecond // between reads of a busy table's changes
	loadEvery    = time.Second
	heldStep     = 100 * time.Millisecond // between looks whether starts are allowed again
)

// owner runs one pool while this entry host owns its shard.
type owner struct {
	node       *Node
	service    string
	row        basilshard.OwnerRow
	log        *logrus.Entry
	pool       *basilscheduler.Pool // of the control goroutine, as all below
	lines      map[string]*line
	versions   map[string]int64
	finished   map[string]time.Time // jobs whose final state is stored, and since when
	forgot     time.Time            // when finished jobs were last looked at
	records    recorder
	commit     committer
	plan       evacuation
	acceptor   *basilledger.Acceptor
	hints      hints
	work       workload
	pulse      pulse
	pacer      pacer
	holds      holdPace
	events     chan event
	loadLogged time.Time
	orders     orders
	feed       feed // of jobs
	entries    feed // of backend servers
	ctx        context.Context
	cancel     context.CancelFunc
	stopping   bool
	leaving    sync.Once // a handover and a stop of the process may meet
	done       chan struct{}
}

// line is a connection to a backend server and what ends it.
type line struct {
	*basilrunner.Line
	cancel context.CancelFunc
}

func newOwner(n *Node, service string, row basilshard.OwnerRow) *owner {
	ctx, cancel := context.WithCancel(n.ctx)
	o := &owner{
		node: n, service: service, row: row,
		log:   n.log.WithFields(logrus.Fields{basillog.FieldPool: service, basillog.FieldEpoch: row.Epoch}),
		lines: make(map[string]*line), versions: make(map[string]int64), finished: make(map[string]time.Time),
		pulse: newPulse(n.metrics), events: make(chan event, eventQueue),
		ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
	o.work.processor = n.options.Processor
	o.feed.watchJobs(n.options.Clock, cmp.Or(n.options.Cancel, defaultCancel))
	o.entries.watchBackends(n.options.Clock, cmp.Or(n.options.Drain, defaultDrain))
	o.orders.current, o.orders.withdraw = o.current, o.withdraw
	o.records = newRecorder(n.store, service, row.Check(service))
	o.acceptor = basilledger.NewAcceptor(n.ctx, n.store, service, o.accepted)
	o.plan.row = basilshard.NewRow(n.store, answerKey(service), row.Check(service))
	o.pool = basilscheduler.New(basilscheduler.Options{
		Epoch: row.Epoch, Grace: n.grace(row), Stop: n.options.Stop,
	}, time.Now())
	return o
}

// send gives an event to the control goroutine, unless the owner has ended.
func (o *owner) send(f func(now time.Time)) {
	select {
	case o.events <- event{take: f, sent: time.Now()}:
	case <-o.ctx.Done():
	}
}

// run takes up the stored jobs and schedules them until the shard is lost.
func (o *owner) run() {
	defer close(o.done)
	version, ok := o.loadJobs()
	if !ok {
		return
	}
	go o.watch(version)
	go o.watchAsks()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		stepping := true
		select {
		case <-o.ctx.Done():
			return
		case e := <-o.events:
			o.take(e)
			o.drain()
			wait := o.pacer.wait(time.Now())
			stepping = wait == 0
			timer.Reset(wait)
		case <-timer.C:
		}
		if stepping {
			timer.Reset(o.pacedStep())
		}
		if o.work.lasts(time.Now()) && !o.stopping && !o.node.stopping.Load() {
			o.overloaded()
		}
	}
}

// pacedStep makes a step, and returns in what time to make another if nothing happens.
func (o *owner) pacedStep() time.Duration {
	began := time.Now()
	wait := o.step(began)
	ended := time.Now()
	o.pulse.stepped(ended.Sub(began))
	o.pacer.stepped(began, ended)
	o.holds.look(ended, o.node.options.Processor(), o.node.options.Self.Weight)
	return max(wait, o.pacer.wait(ended))
}

func (o *owner) take(e event) {
	now := time.Now()
	o.pulse.waited(now.Sub(e.sent))
	o.work.waited(now.Sub(e.sent))
	e.take(now)
}

// overloaded hands the shard over if another entry host would do better with it, and goes on otherwise: a takeover
// costs seconds without starts.
func (o *owner) overloaded() {
	rate := o.work.rate(o.node.options.Self.Weight)
	over := o.node.keeper.Better(rate)
	o.log.WithFields(logrus.Fields{"share": o.work.share, "rate": rate, "handed_over": over}).Warn("short of processor time")
	if over {
		o.stopping = true
		go o.node.handOver(o.service, rate < 1)
	}
}

func (o *owner) drain() {
	for {
		select {
		case e := <-o.events:
			o.take(e)
		default:
			return
		}
	}
}

// step decides and carries out, and returns in what time to do so again.
func (o *owner) step(now time.Time) time.Duration {
	if o.pool.Fenced() {
		o.log.Warn("fenced by a newer owner")
		o.cancel()
		return time.Second
	}
	wake := o.decide(now)
	o.logLoad(now)
	o.forget(now)
	wait := o.store(now)
	o.updateLines()
	return max(time.Millisecond, min(wait, wake))
}

// decide has the scheduler decide and sends its orders, and returns in what time to do so again.
func (o *owner) decide(now time.Time) time.Duration {
	if o.stopping {
		return time.Second
	}
	o.evacuate(now)
	starts := o.startsNow()
	o.pool.Allow(starts)
	began := time.Now()
	actions := o.pool.Decide(now)
	o.pulse.decided(time.Since(began))
	o.execute(actions, now)
	wake := o.pool.Wake().Sub(now)
	if starts == 0 {
		return min(wake, heldStep)
	}
	return wake
}

// current tells whether what is known of jobs and backend servers allows starts.
func (o *owner) current() bool { return o.feed.fresh() && o.entries.fresh() }

// startsNow returns how many starts may be decided: none that would not be sent.
func (o *owner) startsNow() int {
	if !o.node.keeper.MayStart() || !o.current() {
		return 0
	}
	return o.orders.room()
}

// logLoad writes a line of what the pool has to do, once per loadEvery.
func (o *owner) logLoad(now time.Time) {
	if now.Sub(o.loadLogged) < loadEvery {
		return
	}
	o.loadLogged = now
	l := o.pool.Load(now)
	o.node.metrics.hasBackends(o.service, l)
	o.log.WithFields(logrus.Fields{
		"jobs": l.Jobs, "waiting": l.Waiting, "running": l.Running,
		"backends": l.Backends, "present": l.Present, "usable": l.Usable, "not_recorded": l.Unstored,
		"used_cpu": l.Used.CPU, "room_cpu": l.Room.CPU, "wanted_cpu": l.Wanted.CPU, "used_mb": l.Used.Memory, "room_mb": l.Room.Memory,
		"hold_gather_ms": o.holds.between().Milliseconds(),
	}).WithFields(o.pulse.fields()).Info("pool load")
}

// loadJobs reads the shard's jobs and what a predecessor left.
func (o *owner) loadJobs() (version int64, ok bool) {
	for o.ctx.Err() == nil {
		asked := o.node.options.Clock()
		items, version, err := o.node.store.Snapshot(o.ctx, basilledger.Partition(o.service))
		if err == nil {
			err = o.loadRecorded()
		}
		if err == nil {
			err = o.loadAsk()
		}
		if err != nil {
			o.log.WithError(err).Warn("jobs not read")
			_ = basiltimer.Wait(o.ctx, storeRetry) // an ended context ends the loop
			continue
		}
		o.pool.SetConfiguration(o.node.configuration())
		o.takeJobs(o.decode(items))
		o.feed.takenIn(asked)
		o.takeBackends(o.node.backends(o.service))
		o.log.WithField("jobs", len(items)).Info("jobs loaded")
		return version, true
	}
	return 0, false
}

// storedJob is a job as it was read.
type storedJob struct {
	basilwork.Record
	id      string
	version int64
}

// decode reads the jobs, and has nothing of those that are cancelled started any more: the control goroutine may
// take them in late.
func (o *owner) decode(items []basilplatform.Item) []storedJob {
	list := make([]storedJob, 0, len(items))
	for _, i := range items {
		r, err := basilledger.Decode(i)
		if err != nil {
			o.log.WithError(err).Error("job skipped")
			continue
		}
		if r.State == basilwork.JobStateCanceled {
			o.orders.cancel(i.Key.Sort)
		}
		list = append(list, storedJob{Record: r, id: i.Key.Sort, version: i.Version})
	}
	return list
}

func (o *owner) takeJobs(list []storedJob) {
	for n := range list {
		o.takeJob(&list[n])
	}
}

// takeJob takes up a stored job that is new, was cancelled, or was written by this owner.
func (o *owner) takeJob(j *storedJob) {
	id := j.id
	if j.version <= o.versions[id] {
		return
	}
	_, known := o.versions[id]
	o.versions[id] = j.version
	if j.State.Final() {
		o.finished[id] = time.UnixMilli(j.Finished)
	}
	switch {
	case j.State == basilwork.JobStateCanceled:
		if known {
			o.log.WithField(basillog.FieldJob, id).Info("job cancelled")
		}
		o.pool.Cancel(id, time.Now())
	case !known && !j.State.Final():
		adopted := j.version < o.row.Version
		o.pool.AddJob(j.Record, adopted)
		o.log.WithFields(logrus.Fields{basillog.FieldJob: id, "adopted": adopted, "version": j.version}).Info("job taken up")
	}
}

// watch follows the shard's jobs.
func (o *owner) watch(after int64) {
	o.node.keeper.Follow(o.ctx, after, basilshard.Following{
		Watch: o.node.keeper.Table(basilledger.Table(o.service)), Reload: o.resync, Gather: watchGather,
		Wait: o.feed.pause, Current: o.feed.takenIn,
		Take: func(items []basilplatform.Item) bool {
			jobs := o.decode(o.hints.unknown(items))
			o.send(func(time.Time) { o.takeJobs(jobs) })
			return true
		},
	})
}

// resync reads all jobs after the history was dropped, and returns the version to go on from.
func (o *owner) resync(ctx context.Context) (version int64, ok bool) {
	items, version, err := o.node.store.Snapshot(ctx, basilledger.Partition(o.service))
	if err != nil {
		o.log.WithError(err).Warn("jobs not read")
		return 0, false
	}
	o.log.WithField("jobs", len(items)).Info("jobs read again, history was dropped")
	jobs := o.decode(items)
	o.send(func(time.Time) { o.takeJobs(jobs) })
	return version, true
}
