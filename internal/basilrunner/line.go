package basilrunner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	answerTime    = 900 * time.Millisecond // in which an order is answered; a path takes single milliseconds
	holdWait      = 800 * time.Millisecond // that a hold waits for an end
	gatherTime    = 40 * time.Millisecond  // between holds, so that ends come together
	lostAfter     = 1500 * time.Millisecond
	probePause    = 300 * time.Millisecond // between holds that get no answer
	leaseMargin   = 300 * time.Millisecond // below the longest lease that a backend server grants
	startDeadline = 4 * time.Second        // least lease that a start asks for
)

// OrdersAtOnce is how many orders to one backend server may be in flight: each takes a connection and its buffers, and a silent
// one must not take all places.
const OrdersAtOnce = 4

// Sink takes in what a line learns; its methods are called from the line's goroutines.
type Sink interface {
	// Report takes in an answer; reborn says that the backend server started again since the last one.
	Report(id string, r basilwork.Report, sent time.Time, reborn bool)
	Attached(id string)
	Reachable(id string, reachable bool)
	Lost(id string, reason string)
	Fenced(id string)
}

// Options are what a line is made with.
type Options struct {
	Commander basilwork.Commander
	Sink      Sink
	Fence     int64
	MaxHold   time.Duration
	// MayStart and MayHold tell whether the owner's lease allows starts and the extension of leases.
	MayStart func() bool
	MayHold  func() bool
	// Gather returns the time between holds, so that ends come together; nil is gatherTime.
	Gather func() time.Duration
}

// Line talks to one incarnation of a backend server.
type Line struct {
	options   Options
	mutex     sync.Mutex
	backend   basilwork.Backend
	lease     Lease
	acked     int64
	asked     int64 // the newest acknowledgement that was answered
	busy      bool
	attached  bool
	reachable bool
	lost      bool // the sink was told so: its tasks may run elsewhere
	firstMiss time.Time
	kick      chan struct{}
	orders    chan struct{} // a place per order in flight
}

// NewLine returns a line to the backend server.
func NewLine(b basilwork.Backend, o Options) *Line {
	return &Line{options: o, backend: b, reachable: true, kick: make(chan struct{}, 1), orders: make(chan struct{}, OrdersAtOnce)}
}

// Backend returns the backend server.
func (l *Line) Backend() basilwork.Backend {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.backend
}

// SetBusy tells whether the backend server may have runs, and up to which number the ends of the incarnation that
// was born then are stored; of another one's that says nothing.
func (l *Line) SetBusy(busy bool, born, acked int64) {
	l.mutex.Lock()
	if born != l.backend.Born {
		acked = 0
	}
	wake := busy && !l.busy || acked > l.acked
	l.busy = busy
	l.acked = max(l.acked, acked)
	l.mutex.Unlock()
	if wake {
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
}

// Run holds the backend server until the context ends or the incarnation is gone.
func (l *Line) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.needed() {
			select {
			case <-ctx.Done():
			case <-l.kick:
			}
			continue
		}
		sent := time.Now()
		wait := l.wait()
		report, err := l.hold(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if !l.take(report, err, sent) {
			return
		}
		l.pause(ctx, err)
	}
}

func (l *Line) needed() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.busy || !l.attached || l.acked > l.asked
}

func (l *Line) wait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.attached && l.reachable && l.busy && l.firstMiss.IsZero() {
		return holdWait
	}
	return 0
}

func (l *Line) hold(ctx context.Context, wait time.Duration) (basilwork.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	l.mutex.Lock()
	o := basilwork.HoldOrder{Fence: l.options.Fence, Wait: wait}
	if l.attached && l.firstMiss.IsZero() && l.acked > l.asked {
		o.Acknowledged = l.acked // never to an incarnation that may have started anew
	}
	if l.lease.Known() && l.firstMiss.IsZero() && l.busy && l.options.MayHold() {
		o.Deadline = l.lease.Deadline(time.Now(), l.options.MaxHold-leaseMargin)
	}
	b := l.backend
	l.mutex.Unlock()
	r, err := l.options.Commander.Hold(ctx, b, o)
	if err == nil {
		l.mutex.Lock()
		l.asked = max(l.asked, o.Acknowledged)
		l.mutex.Unlock()
	}
	return r, err
}

// take passes on the answer to a hold; false means that the incarnation is gone.
func (l *Line) take(r basilwork.Report, err error, sent time.Time) bool {
	now := time.Now()
	switch refusal := basilwork.AsErrRefused(err); {
	case err == nil:
		return l.answered(r, sent, now)
	case refusal == basilwork.RefusalGone:
		l.mutex.Lock()
		l.lost = true
		l.mutex.Unlock()
		l.options.Sink.Lost(l.backend.ID, "another incarnation lives there")
		return false
	case refusal == basilwork.RefusalFence:
		l.options.Sink.Fenced(l.backend.ID)
		return true
	case refusal != basilwork.RefusalNone:
		return true // it answered: unhealthy, but there
	}
	return l.missed(now)
}

func (l *Line) answered(r basilwork.Report, sent, now time.Time) bool {
	l.mutex.Lock()
	id := l.backend.ID
	reborn := r.Born != 0 && l.backend.Born != 0 && r.Born > l.backend.Born
	if reborn {
		l.lease = Lease{}
		l.acked, l.asked = 0, 0
	}
	l.backend.Born = max(l.backend.Born, r.Born)
	l.lease.Answered(r.Clock, now)
	first := !l.attached || reborn
	back := !l.reachable
	l.attached = true
	l.reachable = true
	l.firstMiss = time.Time{}
	l.mutex.Unlock()
	if back {
		l.options.Sink.Reachable(id, true)
	}
	l.options.Sink.Report(id, r, sent, reborn)
	if first {
		l.options.Sink.Attached(id)
	}
	return true
}

// missed notes a hold without an answer; when all leases have run out meanwhile, the runs are gone.
func (l *Line) missed(now time.Time) bool {
	l.mutex.Lock()
	id := l.backend.ID
	if l.firstMiss.IsZero() {
		l.firstMiss = now
	}
	gone := l.reachable && (now.Sub(l.firstMiss) > 0 || l.lease.Known() && now.Sub(l.lease.LastAnswer()) > lostAfter)
	if gone {
		l.reachable = false
	}
	lapsed := l.attached && now.After(l.lease.Ends())
	l.lost = lapsed
	l.mutex.Unlock()
	if gone {
		l.options.Sink.Reachable(id, false)
	}
	if lapsed {
		l.options.Sink.Lost(id, "all its leases have run out")
	}
	return !lapsed
}

func (l *Line) pause(ctx context.Context, err error) {
	d := gatherTime
	if l.options.Gather != nil {
		d = l.options.Gather()
	}
	if err != nil {
		d = probePause
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// enter waits for a place for an order; false means that none came in time, and that nothing may be sent.
func (l *Line) enter(ctx context.Context) bool {
	select {
	case l.orders <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *Line) leave() { <-l.orders }

// Start orders a run to be started.
func (l *Line) Start(ctx context.Context, o basilwork.StartOrder) (refusal basilwork.Refusal, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if !l.enter(ctx) {
		return basilwork.RefusalBusy, true
	}
	defer l.leave()
	l.mutex.Lock()
	switch {
	case l.lost:
		l.mutex.Unlock()
		return basilwork.RefusalUnsent, true
	case !l.options.MayStart() || !l.lease.Known():
		l.mutex.Unlock()
		return basilwork.RefusalBusy, true
	}
	o.Deadline = l.lease.Deadline(time.Now(), startDeadline)
	o.Fence = l.options.Fence
	b := l.backend
	l.mutex.Unlock()
	clock, err := l.options.Commander.Start(ctx, b, o)
	return l.outcome(clock, err)
}

// Stop orders a run to be stopped and tells whether that was answered.
func (l *Line) Stop(ctx context.Context, o basilwork.StopOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if !l.enter(ctx) {
		return false
	}
	defer l.leave()
	o.Fence = l.options.Fence
	clock, err := l.options.Commander.Stop(ctx, l.Backend(), o)
	refusal, answered := l.outcome(clock, err)
	return answered && refusal == basilwork.RefusalNone
}

// Pace orders a run to work at a share.
func (l *Line) Pace(ctx context.Context, o basilwork.PaceOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	if !l.enter(ctx) {
		return false
	}
	defer l.leave()
	o.Fence = l.options.Fence
	clock, err := l.options.Commander.Pace(ctx, l.Backend(), o)
	refusal, answered := l.outcome(clock, err)
	return answered && refusal == basilwork.RefusalNone
}

func (l *Line) outcome(clock int64, err error) (basilwork.Refusal, bool) {
	if err == nil {
		l.mutex.Lock()
		l.lease.Answered(clock, time.Now())
		l.mutex.Unlock()
		return basilwork.RefusalNone, true
	}
	var unanswered basilwork.ErrNoAnswer
	if errors.As(err, &unanswered) {
		return basilwork.RefusalNone, false
	}
	return basilwork.AsErrRefused(err), true
}
