package basilrunner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	orderTimeout     = 900 * time.Millisecond // timeout of the answer to an order; the network latency is a few milliseconds
	maxHoldWait      = 800 * time.Millisecond // how long a hold waits at the backend server for a run to end
	defaultHoldPause = 40 * time.Millisecond  // default pause between holds, so that ended runs are reported in batches
	unreachableAfter = 1500 * time.Millisecond
	retryPause       = 300 * time.Millisecond // pause after a hold that failed
	leaseMargin      = 300 * time.Millisecond // how much shorter a requested lease is than the longest that backend servers grant
	startLease       = 4 * time.Second        // shortest lease that a start order requests
)

// MaxConcurrentOrders is the limit of concurrent orders to one backend server: each takes a connection and its buffers, and a backend
// server that doesn't answer must not use up all connections.
const MaxConcurrentOrders = 4

// Sink receives the events of a line; its methods are called from the line's goroutines.
type Sink interface {
	// Report receives the answer to a hold; reborn is set if the backend server has restarted since the previous answer.
	Report(id string, r basilwork.Report, sent time.Time, reborn bool)
	Attached(id string)
	Reachable(id string, reachable bool)
	Lost(id string, reason string)
	Fenced(id string)
}

// Options configures a Line.
type Options struct {
	Commander basilwork.Commander
	Sink      Sink
	Fence     int64
	MaxLease  time.Duration
	// MayStart and MayHold report whether the owner's own lease allows it to start runs and to renew leases.
	MayStart func() bool
	MayHold  func() bool
	// HoldInterval returns the pause between holds, so that ended runs are reported in batches; nil means defaultHoldPause.
	HoldInterval func() time.Duration
}

// Connection is the connection of a shard's owner to one incarnation of a backend server.
type Connection struct {
	options     Options
	mutex       sync.Mutex
	backend     basilwork.Backend
	lease       Lease
	acked       int64
	ackAnswered int64 // newest acknowledgement that the backend server has answered
	busy        bool
	attached    bool
	reachable   bool
	lost        bool          // Sink.Lost is called, after which its tasks may be started elsewhere
	firstMissAt time.Time     // first hold without an answer since the last answer; zero for none
	wake        chan struct{} // has room for one signal that a hold is needed
	orderSlots  chan struct{} // holds one value per order in flight
}

// NewConnection returns a line to the backend server; call Run to renew the leases of its runs.
func NewConnection(b basilwork.Backend, o Options) *Connection {
	return &Connection{options: o, backend: b, reachable: true, wake: make(chan struct{}, 1), orderSlots: make(chan struct{}, MaxConcurrentOrders)}
}

// Backend returns the backend server with the newest incarnation that it has reported.
func (l *Connection) Backend() basilwork.Backend {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.backend
}

// SetBusy sets whether the backend server may have runs, and up to which number the ended runs of the incarnation that
// started at born are stored. If the backend server has another incarnation now, acked is ignored.
func (l *Connection) SetBusy(busy bool, born, acked int64) {
	l.mutex.Lock()
	if born != l.backend.StartedAt {
		acked = 0
	}
	holdNow := busy && !l.busy || acked > l.acked
	l.busy = busy
	l.acked = max(l.acked, acked)
	l.mutex.Unlock()
	if holdNow {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Run renews the leases and requests reports until the context ends or the incarnation is gone.
func (l *Connection) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.holdNeeded() {
			select {
			case <-ctx.Done():
			case <-l.wake:
			}
			continue
		}
		sent := time.Now()
		wait := l.holdWaitTime()
		report, err := l.hold(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if !l.handleAnswer(report, err, sent) {
			return
		}
		l.pause(ctx, err)
	}
}

func (l *Connection) holdNeeded() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.busy || !l.attached || l.acked > l.ackAnswered
}

func (l *Connection) holdWaitTime() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.attached && l.reachable && l.busy && l.firstMissAt.IsZero() {
		return maxHoldWait
	}
	return 0
}

func (l *Connection) hold(ctx context.Context, wait time.Duration) (basilwork.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+orderTimeout)
	defer cancel()
	l.mutex.Lock()
	o := basilwork.HoldOrder{Fence: l.options.Fence, Wait: wait}
	if l.attached && l.firstMissAt.IsZero() && l.acked > l.ackAnswered {
		o.Acknowledged = l.acked // not after a miss, when the backend server may have restarted
	}
	if l.lease.Known() && l.firstMissAt.IsZero() && l.busy && l.options.MayHold() {
		o.Deadline = l.lease.Deadline(time.Now(), l.options.MaxLease-leaseMargin)
	}
	b := l.backend
	l.mutex.Unlock()
	r, err := l.options.Commander.Hold(ctx, b, o)
	if err == nil {
		l.mutex.Lock()
		l.ackAnswered = max(l.ackAnswered, o.Acknowledged)
		l.mutex.Unlock()
	}
	return r, err
}

// handleAnswer processes the result of a hold; it returns false if the incarnation is gone.
func (l *Connection) handleAnswer(r basilwork.Report, err error, sent time.Time) bool {
	now := time.Now()
	switch refusal := basilwork.RefusalOf(err); {
	case err == nil:
		return l.handleReport(r, sent, now)
	case refusal == basilwork.RefusalGone:
		l.mutex.Lock()
		l.lost = true
		l.mutex.Unlock()
		l.options.Sink.Lost(l.backend.ID, "another incarnation runs at its address")
		return false
	case refusal == basilwork.RefusalFence:
		l.options.Sink.Fenced(l.backend.ID)
		return true
	case refusal != basilwork.RefusalNone:
		return true // the backend server is unhealthy but reachable
	}
	return l.handleMiss(now)
}

func (l *Connection) handleReport(r basilwork.Report, sent, now time.Time) bool {
	l.mutex.Lock()
	id := l.backend.ID
	reborn := r.StartedAt != 0 && l.backend.StartedAt != 0 && r.StartedAt > l.backend.StartedAt
	if reborn {
		l.lease = Lease{}
		l.acked, l.ackAnswered = 0, 0
	}
	l.backend.StartedAt = max(l.backend.StartedAt, r.StartedAt)
	l.lease.RecordAnswer(r.Clock, now)
	first := !l.attached || reborn
	reachableAgain := !l.reachable
	l.attached = true
	l.reachable = true
	l.firstMissAt = time.Time{}
	l.mutex.Unlock()
	if reachableAgain {
		l.options.Sink.Reachable(id, true)
	}
	l.options.Sink.Report(id, r, sent, reborn)
	if first {
		l.options.Sink.Attached(id)
	}
	return true
}

// handleMiss records a hold without an answer; it returns false if all leases have expired, so that the runs have ended.
func (l *Connection) handleMiss(now time.Time) bool {
	l.mutex.Lock()
	id := l.backend.ID
	if l.firstMissAt.IsZero() {
		l.firstMissAt = now
	}
	unreachable := l.reachable && (now.Sub(l.firstMissAt) > 0 || l.lease.Known() && now.Sub(l.lease.LastAnswer()) > unreachableAfter)
	if unreachable {
		l.reachable = false
	}
	lapsed := l.attached && now.After(l.lease.Expiry())
	l.lost = lapsed
	l.mutex.Unlock()
	if unreachable {
		l.options.Sink.Reachable(id, false)
	}
	if lapsed {
		l.options.Sink.Lost(id, "all its leases have expired")
	}
	return !lapsed
}

func (l *Connection) pause(ctx context.Context, err error) {
	d := defaultHoldPause
	if l.options.HoldInterval != nil {
		d = l.options.HoldInterval()
	}
	if err != nil {
		d = retryPause
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// acquireSlot waits for one of the OrdersAtOnce slots; it returns false if the context ends first.
func (l *Connection) acquireSlot(ctx context.Context) bool {
	select {
	case l.orderSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Connection) releaseSlot() { <-l.orderSlots }

// Start sends an order to start a run; answered is false if no answer came, so that the run may have been started.
func (l *Connection) Start(ctx context.Context, o basilwork.StartOrder) (refusal basilwork.Refusal, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !l.acquireSlot(ctx) {
		return basilwork.RefusalBusy, true
	}
	defer l.releaseSlot()
	l.mutex.Lock()
	switch {
	case l.lost:
		l.mutex.Unlock()
		return basilwork.RefusalUnsent, true
	case !l.options.MayStart() || !l.lease.Known():
		l.mutex.Unlock()
		return basilwork.RefusalBusy, true
	}
	o.Deadline = l.lease.Deadline(time.Now(), startLease)
	o.Fence = l.options.Fence
	b := l.backend
	l.mutex.Unlock()
	clock, err := l.options.Commander.Start(ctx, b, o)
	return l.orderResult(clock, err)
}

// Stop sends an order to stop a run and reports whether the backend server carried it out.
func (l *Connection) Stop(ctx context.Context, o basilwork.StopOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !l.acquireSlot(ctx) {
		return false
	}
	defer l.releaseSlot()
	o.Fence = l.options.Fence
	clock, err := l.options.Commander.Stop(ctx, l.Backend(), o)
	refusal, answered := l.orderResult(clock, err)
	return answered && refusal == basilwork.RefusalNone
}

// Pace sends an order to limit the speed of a run and reports whether the backend server carried it out.
func (l *Connection) Pace(ctx context.Context, o basilwork.PaceOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !l.acquireSlot(ctx) {
		return false
	}
	defer l.releaseSlot()
	o.Fence = l.options.Fence
	clock, err := l.options.Commander.Pace(ctx, l.Backend(), o)
	refusal, answered := l.orderResult(clock, err)
	return answered && refusal == basilwork.RefusalNone
}

func (l *Connection) orderResult(clock int64, err error) (basilwork.Refusal, bool) {
	if err == nil {
		l.mutex.Lock()
		l.lease.RecordAnswer(clock, time.Now())
		l.mutex.Unlock()
		return basilwork.RefusalNone, true
	}
	var unanswered basilwork.ErrNoAnswer
	if errors.As(err, &unanswered) {
		return basilwork.RefusalNone, false
	}
	return basilwork.RefusalOf(err), true
}
