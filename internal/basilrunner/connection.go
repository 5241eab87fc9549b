package basilrunner

import (
	"cmp"
	"context"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	minTimeout       = 200 * time.Millisecond // shortest timeout of an answer: some tens of milliseconds while the owner is short of processor time
	maxTimeout       = 900 * time.Millisecond // longest timeout of an answer, and that of the first
	maxHoldWait      = 400 * time.Millisecond // how long a hold waits at the backend server for a run to end
	defaultHoldPause = 40 * time.Millisecond  // default pause between holds, so that ended runs are reported in batches
	unreachableAfter = 1500 * time.Millisecond
	retryPause       = 300 * time.Millisecond // pause after a hold that failed
	idleHoldInterval = 2 * time.Second        // between holds of an idle backend server; a run that begins late there may go on for 3 s at least
	leaseMargin      = 300 * time.Millisecond // how much shorter a requested lease is than the longest that backend servers grant
	startLease       = 4 * time.Second        // shortest lease that a start order requests
)

// MaxConcurrentOrders is the limit of concurrent orders to one backend server: each takes a connection and its buffers, and a backend
// server that doesn't answer must not use up all connections.
const MaxConcurrentOrders = 4

// Sink receives the events of a connection; its methods are called from the connection's goroutines.
type Sink interface {
	// Report receives the answer to a hold; restarted is set if the backend server has done so since the previous answer.
	Report(id string, r basilwork.Report, sent time.Time, restarted bool)
	Attached(id string)
	Reachable(id string, reachable bool)
	Lost(id string, reason basilwork.Loss)
	Fenced(id string)
}

// Options configures a Connection.
type Options struct {
	Commander basilwork.Commander
	Sink      Sink
	Fence     int64
	MaxLease  time.Duration // the longest that backend servers grant
	Term      time.Duration // of the leases that holds request, if it is shorter than MaxLease less a margin; 0 for no limit
	Inherited time.Time     // until when leases that former owners have granted may last; zero for none
	// MayStart and MayHold report whether the owner's own lease allows it to start runs and to renew leases.
	MayStart func() bool
	MayHold  func() bool
	// HoldUnanswered is called for each hold without an answer, LeaseNarrow for each answered renewal of leases that would have expired
	// within a second, as far as answers tell, with the time that was left; nil means that neither is needed.
	HoldUnanswered func()
	LeaseNarrow    func(id string, left time.Duration)
	// HoldInterval returns the pause between holds, so that ended runs are reported in batches; nil means defaultHoldPause.
	HoldInterval func() time.Duration
	Earlier      Earlier // of the owner's last connection to the same ID
}

// term returns how long requested leases are.
func (o *Options) term() time.Duration {
	longest := o.MaxLease - leaseMargin
	return min(longest, cmp.Or(o.Term, longest))
}

// Connection is the connection of a shard's owner to one incarnation of a backend server.
type Connection struct {
	options     Options
	mutex       sync.Mutex
	backend     basilwork.Backend
	lease       Lease
	renewal     renewal
	timeout     *basiltimer.AnswerTimeout
	acked       int64
	ackAnswered int64 // newest acknowledgement that the backend server has answered
	busy        bool
	watched     bool      // the runs there are stopped, and reports are needed until they are gone
	suspended   bool      // leases are not extended, and nothing is started
	heldAt      time.Time // when the last hold was sent
	attached    bool
	attachedAt  time.Time // first answer of the incarnation
	reachable   bool
	lost        bool               // Sink.Lost is called, after which its tasks may be started elsewhere
	firstMissAt time.Time          // first hold without an answer since the last answer; zero for none
	wake        chan struct{}      // has room for one signal that a hold is needed
	refreshDue  bool               // a report is needed at once
	interrupt   context.CancelFunc // ends the hold that waits for the end of a run; nil if none does
	orderSlots  chan struct{}      // holds one value per order in flight
}

// NewConnection returns a connection to the backend server; call Run to renew the leases of its runs.
func NewConnection(b basilwork.Backend, o Options) *Connection {
	return &Connection{timeout: basiltimer.NewAnswerTimeout(minTimeout, maxTimeout), options: o, backend: b, reachable: true, wake: make(chan struct{}, 1), orderSlots: make(chan struct{}, MaxConcurrentOrders)}
}

// Backend returns the backend server with the newest incarnation that it has reported.
func (c *Connection) Backend() basilwork.Backend {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.backend
}

// LastAnswer returns when the backend server last answered, or the zero time if it has not answered yet.
func (c *Connection) LastAnswer() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lease.LastAnswer()
}

// SetBusy sets whether the backend server may have runs, and up to which number the ended runs of the incarnation that
// started at startedAt are stored. If the backend server has another incarnation now, acked is ignored.
func (c *Connection) SetBusy(busy bool, startedAt, acked int64) {
	c.mutex.Lock()
	if startedAt != c.backend.StartedAt {
		acked = 0
	}
	holdNow := busy && !c.busy || acked > c.acked
	if busy && !c.busy {
		c.renewal.granted = 0
	}
	c.busy = busy
	c.acked = max(c.acked, acked)
	c.mutex.Unlock()
	if holdNow {
		c.wakeUp()
	}
}

// SetSuspended sets whether leases are not extended for now, nor anything started. Those of runs are extended at once afterwards.
func (c *Connection) SetSuspended(suspended bool) {
	c.mutex.Lock()
	resumed := c.suspended && !suspended && c.busy && c.attached
	c.suspended = suspended
	c.mutex.Unlock()
	if resumed {
		c.Refresh()
	}
}

// SetWatched sets whether reports are needed until runs that are being stopped have ended. Their leases are not extended for that.
func (c *Connection) SetWatched(watched bool) {
	c.mutex.Lock()
	holdNow := watched && !c.watched
	c.watched = watched
	c.mutex.Unlock()
	if holdNow {
		c.wakeUp()
	}
}

// wakeUp has Run check whether a hold is needed.
func (c *Connection) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run renews the leases and requests reports until the context ends or the incarnation is gone.
func (c *Connection) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if wait := c.idleTime(time.Now()); wait > 0 {
			c.awaitWake(ctx, wait)
			continue
		}
		sent := time.Now()
		report, interrupted, err := c.holdUnlessInterrupted(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case interrupted:
			continue
		}
		if !c.handleAnswer(report, err, sent) {
			return
		}
		c.pause(ctx, err)
	}
}

// idleTime returns the time until the next hold is needed. An idle backend server is held now and then too, because a start
// without an answer may be carried out there seconds later.
func (c *Connection) idleTime(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.busy || c.watched || !c.attached || c.acked > c.ackAnswered || !c.firstMissAt.IsZero() {
		return 0
	}
	return max(0, idleHoldInterval-now.Sub(c.heldAt))
}

// awaitWake waits until a hold may be needed, for the given time at most.
func (c *Connection) awaitWake(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-timer.C:
	}
}

func (c *Connection) holdWaitTime() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.attached && c.reachable && (c.busy || c.watched) && c.firstMissAt.IsZero() && !c.renewal.answeredMiss {
		return maxHoldWait
	}
	return 0
}

// Refresh has a report requested at once, in place of one that waits for the end of a run.
func (c *Connection) Refresh() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refreshDue = true
	if c.interrupt != nil {
		c.interrupt()
	}
}

// holdUnlessInterrupted sends a hold. One that waits for the end of a run is given up when Refresh is called.
func (c *Connection) holdUnlessInterrupted(ctx context.Context) (r basilwork.Report, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err = c.hold(ctx, c.beginHold(cancel))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.interrupt = nil
	return r, err != nil && ctx.Err() != nil, err
}

// beginHold returns how long the next hold is to wait. Refresh calls cancel if it waits.
func (c *Connection) beginHold(cancel context.CancelFunc) time.Duration {
	wait := c.holdWaitTime()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.refreshDue {
		c.refreshDue, wait = false, 0
	}
	if wait > 0 {
		c.interrupt = cancel
	}
	return wait
}

func (c *Connection) hold(ctx context.Context, wait time.Duration) (basilwork.Report, error) {
	c.mutex.Lock()
	sent := time.Now()
	o := basilwork.HoldOrder{Fence: c.options.Fence, Wait: wait}
	if c.attached && c.firstMissAt.IsZero() && c.acked > c.ackAnswered {
		o.Acknowledged = c.acked // not after a miss, when the backend server may have restarted
	}
	if c.lease.Known() && c.mayRenew(sent) && c.busy && !c.suspended && c.options.MayHold() {
		o.Deadline = c.lease.Deadline(sent, c.options.term())
	}
	timeout := c.holdTimeout(sent)
	b := c.backend
	c.heldAt = sent
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	r, err := c.options.Commander.Hold(ctx, b, o)
	if err == nil && o.Deadline > 0 {
		c.recordGrant(o.Deadline, r)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err == nil {
		c.ackAnswered = max(c.ackAnswered, o.Acknowledged)
		c.renewal.answered(time.Since(sent) < wait+c.timeout.GetInitial(), time.Now())
		c.timeout.Responsive()
		if wait == 0 { // an answer that waited says nothing of the latency
			c.timeout.Answered(time.Since(sent))
		}
	}
	return r, err
}

// handleAnswer processes the result of a hold; it returns false if the incarnation is gone.
func (c *Connection) handleAnswer(r basilwork.Report, err error, sent time.Time) bool {
	now := time.Now()
	switch refusal := basilwork.RefusalOf(err); {
	case err == nil:
		return c.handleReport(r, sent, now)
	case refusal == basilwork.RefusalGone:
		c.mutex.Lock()
		c.lost = true
		c.mutex.Unlock()
		c.options.Sink.Lost(c.backend.ID, basilwork.LossReplaced)
		return false
	case refusal == basilwork.RefusalFence:
		c.options.Sink.Fenced(c.backend.ID)
		return true
	case refusal != basilwork.RefusalNone:
		return true // the backend server is unhealthy but reachable
	}
	return c.handleMiss(now)
}

func (c *Connection) handleReport(r basilwork.Report, sent, now time.Time) bool {
	c.mutex.Lock()
	id := c.backend.ID
	restarted := r.StartedAt != 0 && c.backend.StartedAt != 0 && r.StartedAt > c.backend.StartedAt
	switch {
	case !c.attached:
		c.lease = c.options.Earlier.Lease(r.StartedAt)
	case restarted:
		c.lease = c.lease.Next()
	}
	if restarted {
		c.acked, c.ackAnswered = 0, 0
		c.renewal = renewal{unanswered: c.renewal.unanswered, narrow: c.renewal.narrow}
	}
	c.backend.StartedAt = max(c.backend.StartedAt, r.StartedAt)
	c.lease.RecordAnswer(r.Clock, now)
	first := !c.attached || restarted
	if first {
		c.attachedAt = now
	}
	reachableAgain := !c.reachable
	c.attached = true
	c.reachable = true
	c.firstMissAt = time.Time{}
	c.mutex.Unlock()
	if reachableAgain {
		c.options.Sink.Reachable(id, true)
	}
	c.options.Sink.Report(id, r, sent, restarted)
	if first {
		c.options.Sink.Attached(id)
	}
	return true
}

// handleMiss records a hold without an answer; it returns false if all leases have expired, so that the runs have ended.
func (c *Connection) handleMiss(now time.Time) bool {
	c.mutex.Lock()
	id := c.backend.ID
	if c.firstMissAt.IsZero() {
		c.firstMissAt = now
	}
	c.timeout.Missed()
	c.renewal.missed()
	unreachable := c.reachable && now.Sub(c.firstMissAt) > 0 && (!c.lease.Known() || now.Sub(c.lease.LastAnswer()) > unreachableAfter)
	if unreachable {
		c.reachable = false
	}
	lapsed := c.attached && now.After(c.expiry())
	c.lost = lapsed
	c.mutex.Unlock()
	if c.options.HoldUnanswered != nil {
		c.options.HoldUnanswered()
	}
	if unreachable {
		c.options.Sink.Reachable(id, false)
	}
	if lapsed {
		c.options.Sink.Lost(id, basilwork.LossExpired)
	}
	return !lapsed
}

// expiry returns the time at which all runs have certainly ended. An idle backend server may have runs that this owner doesn't
// know, with the longest lease or one that was renewed without an answer. The caller must hold the mutex.
func (c *Connection) expiry() time.Time {
	at, longest := c.lease.Expiry(c.options.MaxLease), c.lease.LastExpiry(c.options.MaxLease)
	if !c.busy {
		at = later(at, longest)
	}
	return later(at, c.options.Inherited)
}

// Silence returns since when the backend server has not answered, and when it counts as lost if it goes on like that; zero times if it answers.
func (c *Connection) Silence() (since, lostAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.firstMissAt.IsZero() {
		return time.Time{}, time.Time{}
	}
	return c.lease.LastAnswer(), c.expiry()
}

func (c *Connection) pause(ctx context.Context, err error) {
	d := defaultHoldPause
	if c.options.HoldInterval != nil {
		d = c.options.HoldInterval()
	}
	switch {
	case basilwork.RefusalOf(err) != basilwork.RefusalNone:
		d = retryPause
	case err != nil:
		d = c.missPause(time.Now(), d)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
