package basilwork

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
)

// Intervals after which a write without an answer is looked for in the store, and between further reads. The timeout of a write is at least 1.2 s,
// half of the time that most callers wait.
const (
	// SoonInterval is for writes that callers wait for and for rare ones. Most are answered sooner, so that reads are few.
	SoonInterval = 200 * time.Millisecond
	// LateInterval is for an owner's many writes. On a slow store most of these take longer than SoonInterval, and reads would slow them further. Two
	// fit into the shortest timeout.
	LateInterval = 500 * time.Millisecond
)

const (
	// maxReadBacks is the number of writes of the process that are looked for at a time: as many as a client has connections to the store, so
	// that these are all that are under way.
	maxReadBacks = 24
)

var readBacks atomic.Int32

// Find looks for what a transaction stores. It returns the version of the rows that shows that the transaction was carried out, or an error if
// it can't be any more.
type Find func(ctx context.Context) (version int64, found bool, err error)

// CommitOrFind makes a transaction and returns the version that it gives to its rows. While it has no answer, find is called time and again: the
// answer may be lost or late, and what the store shows is sooner known than the timeout is over. Once find reports what it looks for, or an
// error, that is returned; found is true in the former case.
func CommitOrFind(ctx context.Context, s Store, t basilplatform.Transaction, find Find) (version int64, found bool, err error) {
	return commitOrFind(ctx, s, t, SoonInterval, find)
}

func commitOrFind(ctx context.Context, s Store, t basilplatform.Transaction, interval time.Duration, find Find) (version int64, found bool, err error) {
	type result struct {
		version int64
		found   bool
		err     error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	go func() {
		if version, found, err := readBack(ctx, interval, find); found || err != nil {
			results <- result{version, found, err}
		}
	}()
	go func() {
		version, err := s.Commit(ctx, t)
		results <- result{version, false, err}
	}()
	r := <-results
	return r.version, r.found, r.err
}

// readBack calls find at intervals until it has a result or the context ends.
func readBack(ctx context.Context, interval time.Duration, find Find) (version int64, found bool, err error) {
	if !awaitReadBack(ctx, interval) {
		return 0, false, nil
	}
	defer readBacks.Add(-1)
	for {
		version, found, err = find(ctx)
		if found || err != nil || basiltimer.Wait(ctx, interval) != nil {
			return version, found, err
		}
	}
}

// awaitReadBack waits until a write is to be looked for that is sent now: an interval, and longer while too many others are looked for. It returns
// false if the context has ended before.
func awaitReadBack(ctx context.Context, interval time.Duration) bool {
	for basiltimer.Wait(ctx, interval) == nil {
		if readBacks.Add(1) <= maxReadBacks {
			return true
		}
		readBacks.Add(-1)
	}
	return false
}

// CommitOrReadBack makes a transaction like Store.Commit, and reads the row of its first put at the interval while it has no answer. The body of that put must be
// one that no other transaction stores, or the version that it replaces its precondition.
//
// It fails with ErrConditionFailed also if the row has another version than the precondition says: either the transaction was not
// carried out and can't be any more, or a later write has replaced the row.
func CommitOrReadBack(ctx context.Context, s Store, t basilplatform.Transaction, interval time.Duration) (int64, error) {
	put, ok := firstPut(t)
	if !ok {
		return s.Commit(ctx, t)
	}
	version, _, err := commitOrFind(ctx, s, t, interval, func(ctx context.Context) (int64, bool, error) {
		i, err := s.Get(ctx, put.Key)
		if err != nil && !basilplatform.IsErrItemNotExist(err) {
			return 0, false, nil // the next read, or the answer, tells
		}
		switch {
		case i.Version == put.Version:
			return 0, false, nil
		case bytes.Equal(i.Body, put.Body):
			return i.Version, true, nil
		case put.Precondition == basilplatform.PreconditionNone:
			return 0, false, nil
		}
		return 0, false, basilplatform.ErrConditionFailed{Key: put.Key, Version: i.Version}
	})
	return version, err
}

// firstPut returns the first put of a transaction, and false if it has none.
func firstPut(t basilplatform.Transaction) (basilplatform.Write, bool) {
	for _, w := range t.Writes {
		if w.Kind == basilplatform.WriteKindPut {
			return w, true
		}
	}
	return basilplatform.Write{}, false
}
