// Package basiltimer waits on the runtime's clock, which tests can control with testing/synctest.
package basiltimer

import (
	"context"
	"time"
)

// Wait waits for the duration and returns nil, or the context's error if the context ends first. If d isn't positive, it
// returns at once with the context's error, if any.
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
