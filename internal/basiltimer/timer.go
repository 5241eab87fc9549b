// Package basiltimer waits on the runtime's clock, which tests pause and advance.
package basiltimer

import (
	"context"
	"time"
)

// Wait waits for the time, or returns the context's error when it ends first; no time is no wait.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
