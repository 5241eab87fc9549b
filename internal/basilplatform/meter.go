package basilplatform

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"basilstage.example/basilstage/internal/basiltimer"
)

// Budgets of the whole platform, which all entry hosts share.
const (
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
)

// burstTime is how much of a budget may be spent at once.
const burstTime = time.Second

// maxMeterWait is how long a call over budget waits before it is shed.
const maxMeterWait = 50 * time.Millisecond

// ErrOverBudget is the cause of an ErrUnavailable of calls that exceed the entry host's share.
type ErrOverBudget struct {
	Cost int // items
}

func (e ErrOverBudget) Error() string {
	return fmt.Sprintf("over the table's budget [cost: %d]", e.Cost)
}

// IsErrOverBudget tells whether the error is an ErrOverBudget.
func IsErrOverBudget(err error) bool { return errors.As(err, new(ErrOverBudget)) }

// meter holds the reads or the writes of a Breaker within a rate.
type meter struct {
	limiter *rate.Limiter
	used    atomic.Int64 // items
	shed    atomic.Int64 // calls
}

// set changes the rate, in items a second.
func (m *meter) set(perSecond float64) {
	m.limiter.SetLimit(rate.Limit(perSecond))
	m.limiter.SetBurst(max(1, int(perSecond*burstTime.Seconds())))
}

// take waits shortly for the budget; it fails with ErrUnavailable.
//
// A cost above a burst waits for a burst, and later calls make up for the rest.
func (m *meter) take(ctx context.Context, operation string, cost int) error {
	now := min(cost, m.limiter.Burst())
	r := m.limiter.ReserveN(time.Now(), now)
	d := r.Delay()
	if d > maxMeterWait {
		r.Cancel()
		m.shed.Add(1)
		return ErrUnavailable{Operation: operation, RetryAfter: min(d, burstTime), Cause: ErrOverBudget{Cost: cost}}
	}
	if err := basiltimer.Wait(ctx, d); err != nil {
		r.Cancel()
		return ErrUnavailable{Operation: operation, Cause: err}
	}
	m.used.Add(int64(now))
	m.charge(cost - now)
	return nil
}

// charge books a cost that is spent already; later calls make up for it.
func (m *meter) charge(cost int) {
	for cost > 0 {
		step := min(cost, m.limiter.Burst())
		m.limiter.ReserveN(time.Now(), step)
		m.used.Add(int64(step))
		cost -= step
	}
}
