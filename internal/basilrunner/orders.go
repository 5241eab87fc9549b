package basilrunner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilwork"
)

// acquireSlot waits for one of the MaxConcurrentOrders slots, for maxTimeout at most.
func (c *Connection) acquireSlot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	select {
	case c.orderSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Connection) releaseSlot() { <-c.orderSlots }

// Start sends an order to start a run; answered is false if no answer came, so that the run may have been started.
func (c *Connection) Start(ctx context.Context, o basilwork.StartOrder) (refusal basilwork.Refusal, answered bool) {
	return c.start(ctx, o, func(time.Time) bool { return true })
}

// RepeatStart sends an order again that got no answer, to the incarnation that started at startedAt and for as long as leases are renewed there:
// the deadline of the order extends them too.
func (c *Connection) RepeatStart(ctx context.Context, o basilwork.StartOrder, startedAt int64) (refusal basilwork.Refusal, answered bool) {
	return c.start(ctx, o, func(now time.Time) bool { return c.backend.StartedAt == startedAt && c.mayRenew(now) })
}

// start sends an order to start a run if allowed, which is called with the mutex locked, permits that.
func (c *Connection) start(ctx context.Context, o basilwork.StartOrder, allowed func(now time.Time) bool) (refusal basilwork.Refusal, answered bool) {
	if !c.acquireSlot(ctx) {
		return basilwork.RefusalBusy, true
	}
	defer c.releaseSlot()
	c.mutex.Lock()
	now := time.Now()
	switch {
	case c.lost, !allowed(now):
		c.mutex.Unlock()
		return basilwork.RefusalUnsent, true
	case !c.options.MayStart() || !c.lease.Known() || c.suspended:
		c.mutex.Unlock()
		return basilwork.RefusalBusy, true
	}
	o.Deadline = c.lease.Deadline(now, startLease)
	o.Fence = c.options.Fence
	b := c.backend
	c.mutex.Unlock()
	return c.order(ctx, func(ctx context.Context) (int64, error) { return c.options.Commander.Start(ctx, b, o) })
}

// Stop sends an order to stop a run and reports whether the backend server carried it out.
func (c *Connection) Stop(ctx context.Context, o basilwork.StopOrder) bool {
	if !c.acquireSlot(ctx) {
		return false
	}
	defer c.releaseSlot()
	o.Fence = c.options.Fence
	refusal, answered := c.order(ctx, func(ctx context.Context) (int64, error) { return c.options.Commander.Stop(ctx, c.Backend(), o) })
	return answered && refusal == basilwork.RefusalNone
}

// Pace sends an order to limit the speed of a run and reports whether the backend server carried it out.
func (c *Connection) Pace(ctx context.Context, o basilwork.PaceOrder) bool {
	if !c.acquireSlot(ctx) {
		return false
	}
	defer c.releaseSlot()
	o.Fence = c.options.Fence
	refusal, answered := c.order(ctx, func(ctx context.Context) (int64, error) { return c.options.Commander.Pace(ctx, c.Backend(), o) })
	return answered && refusal == basilwork.RefusalNone
}

// order sends an order; answered is false if no answer came in time.
func (c *Connection) order(ctx context.Context, send func(ctx context.Context) (clock int64, err error)) (refusal basilwork.Refusal, answered bool) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.orderTimeout(sent))
	defer cancel()
	clock, err := send(ctx)
	if err == nil {
		c.mutex.Lock()
		c.lease.RecordAnswer(clock, time.Now())
		c.timeout.Answered(time.Since(sent))
		c.mutex.Unlock()
		return basilwork.RefusalNone, true
	}
	var unanswered basilwork.ErrNoAnswer
	if errors.As(err, &unanswered) {
		c.timeout.Missed()
		return basilwork.RefusalNone, false
	}
	return basilwork.RefusalOf(err), true
}
