package basilexperiment

import (
	"context"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// Compare plays the load under each policy with each seed, and returns the mean of each policy.
//
// All policies meet the same jobs. It fails only when the context ends.
func Compare(ctx context.Context, l *Load, policies []Policy, seeds []uint64, length time.Duration) ([]*Figures, error) {
	plays := make([][]*Figures, len(policies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, runtime.GOMAXPROCS(0)/2))
	for n, p := range policies {
		plays[n] = make([]*Figures, len(seeds))
		for i, seed := range seeds {
			group.Go(func() error {
				if ctx.Err() == nil {
					plays[n][i] = Play(l, p, seed, length)
				}
				return ctx.Err()
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	means := make([]*Figures, len(policies))
	for n := range policies {
		means[n] = Mean(plays[n])
	}
	return means, nil
}
