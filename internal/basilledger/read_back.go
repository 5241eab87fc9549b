package basilledger

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

// readBackInterval is the time after which a write without an answer is looked for in the store, and the interval between further reads. Most
// writes are answered sooner, so that reads are few; the timeout of a write is at least 1.2 s, half of the time that most callers wait.
const readBackInterval = 200 * time.Millisecond

// commitOrFind makes a transaction and returns the version that it gives to its rows. While it has no answer, find is called time and again: the
// answer may be lost or late, and what the store shows is sooner known than the timeout is over. Once find reports what it looks for, that
// version is returned, and found is true.
func commitOrFind(ctx context.Context, s basilwork.Store, t basilplatform.Transaction, find func(ctx context.Context) (version int64, found bool)) (version int64, found bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	seen := make(chan int64, 1)
	go func() {
		for basiltimer.Wait(ctx, readBackInterval) == nil {
			if version, found := find(ctx); found {
				seen <- version
				return
			}
		}
	}()
	type result struct {
		version int64
		err     error
	}
	committed := make(chan result, 1)
	go func() {
		version, err := s.Commit(ctx, t)
		committed <- result{version, err}
	}()
	select {
	case r := <-committed:
		return r.version, false, r.err
	case version := <-seen:
		return version, true, nil
	}
}
