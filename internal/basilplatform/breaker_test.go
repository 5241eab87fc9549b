package basilplatform_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

var someKey = basilplatform.Key{Partition: "p", Sort: "s"}

func someWrite(n int) basilplatform.Transaction {
	x := basilplatform.Transaction{Token: ulid.Make().String()}
	for i := range n {
		k := basilplatform.Key{Partition: "p", Sort: fmt.Sprint("s", i)}
		x.Writes = append(x.Writes, basilplatform.Write{Key: k, Precondition: basilplatform.PreconditionNone})
	}
	return x
}

// fixedTable answers every call with one error after some time.
type fixedTable struct {
	basilstandin.Table
	err   error
	took  time.Duration
	calls int
}

func (f *fixedTable) Transact(ctx context.Context, _ basilplatform.Transaction) error {
	f.calls++
	select {
	case <-time.After(f.took):
		return f.err
	case <-ctx.Done():
		return basilplatform.ErrOutcomeUnknown{Cause: ctx.Err()}
	}
}

func TestBreakerVerdict(t *testing.T) {
	unavailable := basilplatform.ErrUnavailable{}
	tests := []struct {
		name     string
		err      error
		took     time.Duration
		patience time.Duration // of the caller; 0 has no end
		leave    bool          // the caller cancels
		open     bool
	}{
		{"no failure", nil, 0, 0, false, false},
		{"unavailable", unavailable, 0, 0, false, true},
		{"outcome unknown", basilplatform.ErrOutcomeUnknown{}, 0, 0, false, true},
		{"condition failed", basilplatform.ErrConditionFailed{}, 0, 0, false, false},
		{"refused", basilplatform.ErrRefused{}, 0, 0, false, false},
		{"conflict", basilplatform.ErrUnavailable{Cause: basilplatform.ErrConflict{}}, 0, 0, false, false},
		{"slow success", nil, 1600 * time.Millisecond, 0, false, true},
		{"slow refusal", basilplatform.ErrRefused{}, 1600 * time.Millisecond, 0, false, true},
		{"hangs past the caller's deadline", nil, time.Hour, time.Second, false, true},
		{"the caller had no patience", nil, time.Hour, 10 * time.Millisecond, false, false},
		{"the caller left", nil, time.Hour, time.Second, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := basilplatform.NewBreaker(&fixedTable{err: tt.err, took: tt.took}, basilplatform.BreakerOptions{})
				for range basilplatform.DefaultConsecutiveFailures {
					ctx, cancel := context.WithCancel(t.Context())
					if tt.patience > 0 && tt.leave {
						time.AfterFunc(tt.patience, cancel)
					} else if tt.patience > 0 {
						ctx, cancel = context.WithTimeout(ctx, tt.patience)
					}
					_ = b.Transact(ctx, someWrite(1))
					cancel()
				}
				must.EqOp(t, tt.open, b.State() == basilplatform.BreakerStateOpen)
			})
		})
	}
}

func TestBreakerFailsAtOnceWhileOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixedTable{err: basilplatform.ErrOutcomeUnknown{}, took: time.Second}
		b := basilplatform.NewBreaker(f, basilplatform.BreakerOptions{})
		for range basilplatform.DefaultConsecutiveFailures {
			must.True(t, basilplatform.IsErrOutcomeUnknown(b.Transact(t.Context(), someWrite(1))))
		}
		before := time.Now()
		for range 1000 {
			err := b.Transact(t.Context(), someWrite(1))
			must.True(t, basilplatform.IsErrUnavailable(err))
			must.True(t, basilplatform.IsErrBreakerOpen(err))
		}
		must.EqOp(t, 0, time.Since(before))
		must.EqOp(t, basilplatform.DefaultConsecutiveFailures, f.calls)
	})
}

// An outage of an hour costs few probes, whose intervals differ between entry
// hosts, and its end is noticed within the longest interval.
func TestBreakerProbes(t *testing.T) {
	const hosts = 7
	firstProbes := make(map[time.Duration]bool) // by when they came
	for range hosts {
		synctest.Test(t, func(t *testing.T) {
			var table basilstandin.Table
			table.SetFaults(basilstandin.TableFaults{Down: true})
			b := basilplatform.NewBreaker(&table, basilplatform.BreakerOptions{})
			start := time.Now()
			for b.Openings() < 2 {
				_, err := b.Get(t.Context(), someKey)
				must.True(t, basilplatform.IsErrUnavailable(err))
				time.Sleep(time.Millisecond)
			}
			firstProbes[time.Since(start)] = true
			for time.Since(start) < time.Hour {
				_, err := b.Get(t.Context(), someKey)
				must.True(t, basilplatform.IsErrUnavailable(err))
				time.Sleep(500 * time.Millisecond)
			}
			must.Less(t, 1000, b.Failures())
			table.SetFaults(basilstandin.TableFaults{})
			time.Sleep(time.Duration(1.5 * float64(basilplatform.DefaultProbeIntervalMax)))
			must.EqOp(t, basilplatform.BreakerStateHalfOpen, b.State())
			_, err := b.Get(t.Context(), someKey)
			must.True(t, basilplatform.IsErrItemNotExist(err), must.Sprint(err))
			must.EqOp(t, basilplatform.BreakerStateClosed, b.State())
			table.SetFaults(basilstandin.TableFaults{Down: true}) // intervals start small again
			for range basilplatform.DefaultConsecutiveFailures {
				_, _ = b.Get(t.Context(), someKey)
			}
			must.EqOp(t, basilplatform.BreakerStateOpen, b.State())
			time.Sleep(time.Duration(1.5 * float64(basilplatform.DefaultProbeInterval)))
			must.EqOp(t, basilplatform.BreakerStateHalfOpen, b.State())
		})
	}
	must.Greater(t, hosts/2, len(firstProbes))
}

func TestBreakerLetsOneProbePass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixedTable{err: basilplatform.ErrUnavailable{}}
		b := basilplatform.NewBreaker(f, basilplatform.BreakerOptions{})
		for range basilplatform.DefaultConsecutiveFailures {
			_ = b.Transact(t.Context(), someWrite(1))
		}
		time.Sleep(2 * basilplatform.DefaultProbeInterval)
		f.calls, f.err, f.took = 0, nil, time.Second
		for range 50 {
			go func() { _ = b.Transact(t.Context(), someWrite(1)) }()
		}
		synctest.Wait()
		must.EqOp(t, 1, f.calls)
		time.Sleep(2 * time.Second)
		must.EqOp(t, basilplatform.BreakerStateClosed, b.State())
	})
}

// A probe whose caller leaves must not keep the breaker from probing again.
func TestBreakerProbesAgainAfterAnAbandonedProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixedTable{err: basilplatform.ErrUnavailable{}}
		b := basilplatform.NewBreaker(f, basilplatform.BreakerOptions{})
		for range basilplatform.DefaultConsecutiveFailures {
			_ = b.Transact(t.Context(), someWrite(1))
		}
		time.Sleep(2 * basilplatform.DefaultProbeInterval)
		f.err, f.took = nil, time.Second
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		_ = b.Transact(ctx, someWrite(1))
		must.EqOp(t, basilplatform.BreakerStateHalfOpen, b.State())
		must.NoError(t, b.Transact(t.Context(), someWrite(1)))
		must.EqOp(t, basilplatform.BreakerStateClosed, b.State())
	})
}

func TestBreakerKeepsToItsShare(t *testing.T) {
	const seconds, hosts = 20, 7
	tests := []struct {
		name string
		rate float64
		cost float64 // of one call
		shed bool    // a single caller of small calls is paced, not shed
		call func(*basilplatform.Breaker, context.Context) error
		used func(*basilplatform.Breaker) int64
	}{
		{
			"single writes", basilplatform.WritesPerSecond, 1, false,
			func(b *basilplatform.Breaker, ctx context.Context) error { return b.Transact(ctx, someWrite(1)) },
			(*basilplatform.Breaker).Writes,
		},
		{
			"transactions larger than a burst", basilplatform.WritesPerSecond, 100, true,
			func(b *basilplatform.Breaker, ctx context.Context) error { return b.Transact(ctx, someWrite(100)) },
			(*basilplatform.Breaker).Writes,
		},
		{
			"queries of many items", basilplatform.ReadsPerSecond, 101, true,
			func(b *basilplatform.Breaker, ctx context.Context) error {
				_, err := b.Query(ctx, "p", "", 100)
				return err
			},
			(*basilplatform.Breaker).Reads,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var table basilstandin.Table
				must.NoError(t, table.Transact(t.Context(), someWrite(100)))
				b := basilplatform.NewBreaker(&table, basilplatform.BreakerOptions{Share: 1.0 / hosts})
				start := time.Now()
				for time.Since(start) < seconds*time.Second {
					if err := tt.call(b, t.Context()); err != nil {
						must.True(t, basilplatform.IsErrUnavailable(err))
						must.True(t, basilplatform.IsErrOverBudget(err))
					}
					time.Sleep(5 * time.Millisecond)
				}
				share := tt.rate / hosts
				burst := share
				must.Between(t, share*(seconds-1), float64(tt.used(b)), share*seconds+burst+tt.cost)
				must.EqOp(t, tt.shed, b.Shed() > 0)
				must.EqOp(t, basilplatform.BreakerStateClosed, b.State())
			})
		})
	}
}
