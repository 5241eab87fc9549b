package basilplatform

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=BreakerState -trimprefix=BreakerState -transform=kebab -json -text -output=breaker_state_enumer.go

// Defaults of BreakerOptions.
const (
	DefaultConsecutiveFailures = 5
	DefaultSlowCall            = 1500 * time.Millisecond
	DefaultProbeInterval       = time.Second
	DefaultProbeIntervalMax    = 8 * time.Second
)

// Jitter and growth of the probe interval.
const (
	probeJitter = 0.5 // share of the interval, to both sides
	probeGrowth = 2
)

// minOpenTime is how long the library keeps the breaker open; the probe interval, which is longer, rules.
const minOpenTime = time.Millisecond

// BreakerState tells whether calls pass a Breaker.
type BreakerState int

// The breaker states.
const (
	BreakerStateClosed   BreakerState = iota // calls pass
	BreakerStateHalfOpen                     // one call at a time passes as a probe
	BreakerStateOpen                         // no call passes
)

// BreakerOptions sets up a Breaker; zero values are the defaults.
type BreakerOptions struct {
	ConsecutiveFailures int           // that open the breaker
	SlowCall            time.Duration // a call that takes longer counts as failed
	ProbeInterval       time.Duration // mean time from the opening to the first probe; grows with each failed one
	ProbeIntervalMax    time.Duration
	Share               float64 // of the platform's budgets, 0 to 1; 0 is the whole
}

func (o BreakerOptions) withDefaults() BreakerOptions {
	if o.ConsecutiveFailures <= 0 {
		o.ConsecutiveFailures = DefaultConsecutiveFailures
	}
	if o.SlowCall <= 0 {
		o.SlowCall = DefaultSlowCall
	}
	if o.ProbeInterval <= 0 {
		o.ProbeInterval = DefaultProbeInterval
	}
	if o.ProbeIntervalMax <= 0 {
		o.ProbeIntervalMax = DefaultProbeIntervalMax
	}
	return o
}

// ErrBreakerOpen is the cause of an ErrUnavailable of calls that a Breaker did not let pass.
type ErrBreakerOpen struct{ State BreakerState }

func (e ErrBreakerOpen) Error() string { return fmt.Sprintf("circuit breaker is %s", e.State) }

// IsErrBreakerOpen tells whether the error is an ErrBreakerOpen.
func IsErrBreakerOpen(err error) bool { return errors.As(err, new(ErrBreakerOpen)) }

// Breaker is a Table that spares an ailing table service, and its callers the wait for it.
//
// It passes on calls within the entry host's share of the platform's budgets.
// After consecutive failures it fails calls at once with ErrUnavailable and lets
// single calls through as probes, at jittered and growing intervals.
type Breaker struct {
	table    Table
	options  BreakerOptions
	circuit  *gobreaker.CircuitBreaker[struct{}]
	interval backoff.ExponentialBackOff // drawn from only while the library changes state
	probeAt  atomic.Pointer[time.Time]  // nil while closed
	reads    meter
	writes   meter
	failures atomic.Int64
	openings atomic.Int64
}

// NewBreaker returns a closed breaker before the table.
func NewBreaker(t Table, o BreakerOptions) *Breaker {
	o = o.withDefaults()
	b := &Breaker{table: t, options: o}
	b.interval = backoff.ExponentialBackOff{
		InitialInterval:     o.ProbeInterval,
		RandomizationFactor: probeJitter,
		Multiplier:          probeGrowth,
		MaxInterval:         o.ProbeIntervalMax,
	}
	b.interval.Reset()
	b.circuit = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Timeout:       minOpenTime,
		ReadyToTrip:   b.readyToTrip,
		OnStateChange: b.stateChanged,
		IsExcluded:    isErrNoVerdict,
	})
	b.reads.limiter = rate.NewLimiter(ReadsPerSecond, ReadsPerSecond)
	b.writes.limiter = rate.NewLimiter(WritesPerSecond, WritesPerSecond)
	b.SetShare(o.Share)
	return b
}

func (b *Breaker) readyToTrip(c gobreaker.Counts) bool {
	return int(c.ConsecutiveFailures) >= b.options.ConsecutiveFailures
}

func (b *Breaker) stateChanged(_ string, _, to gobreaker.State) {
	switch to {
	case gobreaker.StateOpen:
		next := time.Now().Add(b.interval.NextBackOff())
		b.probeAt.Store(&next)
		b.openings.Add(1)
	case gobreaker.StateClosed:
		b.interval.Reset()
		b.probeAt.Store(nil)
	}
}

// untilProbe returns how long no call passes, or 0.
func (b *Breaker) untilProbe() time.Duration {
	next := b.probeAt.Load()
	if next == nil {
		return 0
	}
	return max(0, time.Until(*next))
}

// State returns whether calls pass.
func (b *Breaker) State() BreakerState {
	switch {
	case b.probeAt.Load() == nil:
		return BreakerStateClosed
	case b.untilProbe() > 0:
		return BreakerStateOpen
	}
	return BreakerStateHalfOpen
}

// Reads returns how many reads of items were asked of the table.
func (b *Breaker) Reads() int64 { return b.reads.used.Load() }

// Writes returns how many writes of items were asked of the table.
func (b *Breaker) Writes() int64 { return b.writes.used.Load() }

// Failures returns how many calls failed or were slow.
func (b *Breaker) Failures() int64 { return b.failures.Load() }

// Shed returns how many calls were over budget and not passed on.
func (b *Breaker) Shed() int64 { return b.reads.shed.Load() + b.writes.shed.Load() }

// Openings returns how often the breaker has opened.
func (b *Breaker) Openings() int64 { return b.openings.Load() }

// SetShare sets the entry host's share of the platform's budgets, 0 to 1; 0 is the whole.
func (b *Breaker) SetShare(share float64) {
	if share <= 0 || share > 1 {
		share = 1
	}
	b.reads.set(ReadsPerSecond * share)
	b.writes.set(WritesPerSecond * share)
}

// Get returns one item.
func (b *Breaker) Get(ctx context.Context, k Key) (Item, error) {
	var i Item
	err := b.pass(ctx, "get", &b.reads, 1, func() error {
		var err error
		i, err = b.table.Get(ctx, k)
		return err
	})
	return i, err
}

// Query returns up to limit items of the partition; it costs one read, and one for each item.
func (b *Breaker) Query(ctx context.Context, partition, after string, limit int) ([]Item, error) {
	var items []Item
	err := b.pass(ctx, "query", &b.reads, 1, func() error {
		var err error
		items, err = b.table.Query(ctx, partition, after, limit)
		return err
	})
	b.reads.charge(len(items))
	return items, err
}

// Transact applies all writes, or none; it costs a write for each.
func (b *Breaker) Transact(ctx context.Context, t Transaction) error {
	return b.pass(ctx, "transact", &b.writes, len(t.Writes), func() error { return b.table.Transact(ctx, t) })
}

// pass calls the table unless the breaker or the budget forbids it.
func (b *Breaker) pass(ctx context.Context, operation string, m *meter, cost int, call func() error) error {
	if d := b.untilProbe(); d > 0 {
		return b.closedOff(operation, d)
	}
	if err := m.take(ctx, operation, cost); err != nil {
		return err
	}
	var result error
	_, err := b.circuit.Execute(func() (struct{}, error) {
		before := time.Now()
		result = call()
		return struct{}{}, b.verdict(ctx, result, time.Since(before))
	})
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return b.closedOff(operation, b.options.ProbeInterval)
	}
	return result
}

func (b *Breaker) closedOff(operation string, d time.Duration) error {
	return ErrUnavailable{Operation: operation, RetryAfter: d, Cause: ErrBreakerOpen{State: b.State()}}
}
