package basilshard

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	probeInterval = 100 * time.Millisecond // between probes of a store that doesn't answer
	minFailTime   = 300 * time.Millisecond // a call that fails sooner was refused
	overdueFactor = 2                      // multiple of a probe's latency after which an earlier call counts as lost
	overdueMargin = 20 * time.Millisecond  // added to it
)

// Recovery notices at once when a store answers again, and ends the calls whose answers are lost.
//
// It answers a store that is silent for seconds: calls that were sent meanwhile are never answered, and without it each part
// of the process would wait for the timeouts of its own calls after the store's return.
type Recovery struct {
	suspected chan struct{} // has room for one signal
	mutex     sync.Mutex    // guards the following fields
	calls     map[int64]openCall
	lastCall  int64
	recovered chan struct{} // closed at the next recovery
}

type openCall struct {
	sent   time.Time
	cancel context.CancelFunc
}

// NewRecovery returns a recovery without calls; Run has to be called for it to work.
func NewRecovery() *Recovery {
	return &Recovery{suspected: make(chan struct{}, 1), calls: make(map[int64]openCall), recovered: make(chan struct{})}
}

// Recovered returns a channel that is closed when the store has answered again. A nil Recovery never does that.
func (r *Recovery) Recovered() <-chan struct{} {
	if r == nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.recovered
}

// Run probes the store after each call without an answer until one probe is answered, and then also calls interrupt, which
// ends calls that Recovery doesn't know. It returns when the context ends.
func (r *Recovery) Run(ctx context.Context, log *logrus.Logger, probe func(ctx context.Context) error, interrupt func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.suspected:
		}
		suspectedAt := time.Now()
		sent, ok := awaitAnswer(ctx, probe)
		if !ok {
			return
		}
		log.WithFields(logrus.Fields{
			basillog.FieldDuration: time.Since(suspectedAt).Milliseconds(), "ended_calls": r.recover(sent, interrupt),
		}).Info("store answered a probe; overdue calls ended")
	}
}

// awaitAnswer sends probes, also while others are not answered, and returns when the first answered one was sent. It returns
// false if the context ends.
func awaitAnswer(ctx context.Context, probe func(ctx context.Context) error) (sent time.Time, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan time.Time)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		go func() {
			sent := time.Now()
			if probe(ctx) != nil {
				return
			}
			select {
			case answered <- sent:
			case <-ctx.Done():
			}
		}()
		select {
		case <-ctx.Done():
			return time.Time{}, false
		case sent := <-answered:
			return sent, true
		case <-ticker.C:
		}
	}
}

// recover ends the calls that are overdue, given a later call that was sent at the given time and answered now. It returns
// their number.
func (r *Recovery) recover(sent time.Time, interrupt func()) (ended int) {
	overdue := overdueFactor*time.Since(sent) + overdueMargin
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range r.calls {
		if c.sent.Before(sent) && time.Since(c.sent) > overdue {
			c.cancel()
			ended++
		}
	}
	close(r.recovered)
	r.recovered = make(chan struct{})
	interrupt()
	return ended
}

// begin registers a call; the returned function has to be called with its result.
func (r *Recovery) begin(ctx context.Context) (context.Context, func(err error)) {
	callCtx, cancel := context.WithCancel(ctx)
	sent := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastCall++
	id := r.lastCall
	r.calls[id] = openCall{sent: sent, cancel: cancel}
	return callCtx, func(err error) {
		unanswered := !errors.Is(callCtx.Err(), context.Canceled) && isUnanswered(err, time.Since(sent))
		cancel()
		r.mutex.Lock()
		delete(r.calls, id)
		r.mutex.Unlock()
		if unanswered {
			r.suspect()
		}
	}
}

// isUnanswered reports whether the error is that of a call without an answer. A store that refuses calls at once is not
// probed, because it may be overloaded.
func isUnanswered(err error, took time.Duration) bool {
	return took > minFailTime && (basilplatform.IsErrUnavailable(err) || basilplatform.IsErrOutcomeUnknown(err))
}

func (r *Recovery) suspect() {
	select {
	case r.suspected <- struct{}{}:
	default: // it is being probed, or about to be
	}
}

// Probe returns a function that makes a call to the store, which is answered at once unless the store is away.
func Probe(s basilwork.Store, node string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := s.Get(ctx, memberKey(node))
		if basilplatform.IsErrItemNotExist(err) {
			return nil
		}
		return err
	}
}

// Wrap returns a store whose calls are ended at a recovery if they are overdue.
func (r *Recovery) Wrap(s basilwork.Store) basilwork.Store {
	return recoveringStore{Store: s, recovery: r}
}

// recoveringStore is a store whose calls a Recovery knows, but Watch, which Follow ends at a recovery.
type recoveringStore struct {
	basilwork.Store
	recovery *Recovery
}

// call makes a call of the store that a Recovery knows.
func call[T any](ctx context.Context, r *Recovery, f func(ctx context.Context) (T, error)) (T, error) {
	ctx, done := r.begin(ctx)
	result, err := f(ctx)
	done(err)
	return result, err
}

// Get implements basilplatform.Table.
func (s recoveringStore) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	return call(ctx, s.recovery, func(ctx context.Context) (basilplatform.Item, error) { return s.Store.Get(ctx, k) })
}

// Query implements basilplatform.Table.
func (s recoveringStore) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	return call(ctx, s.recovery, func(ctx context.Context) ([]basilplatform.Item, error) {
		return s.Store.Query(ctx, partition, after, limit)
	})
}

// Transact implements basilplatform.Table.
func (s recoveringStore) Transact(ctx context.Context, t basilplatform.Transaction) error {
	_, err := s.Commit(ctx, t)
	return err
}

// Commit implements basilwork.Store.
func (s recoveringStore) Commit(ctx context.Context, t basilplatform.Transaction) (int64, error) {
	return call(ctx, s.recovery, func(ctx context.Context) (int64, error) { return s.Store.Commit(ctx, t) })
}

// Snapshot implements basilwork.Store.
func (s recoveringStore) Snapshot(ctx context.Context, partition string) ([]basilplatform.Item, int64, error) {
	var version int64
	items, err := call(ctx, s.recovery, func(ctx context.Context) (items []basilplatform.Item, err error) {
		items, version, err = s.Store.Snapshot(ctx, partition)
		return items, err
	})
	return items, version, err
}

// Count implements basilwork.Store.
func (s recoveringStore) Count(ctx context.Context, partition, from, to string, limit int) (int, error) {
	return call(ctx, s.recovery, func(ctx context.Context) (int, error) { return s.Store.Count(ctx, partition, from, to, limit) })
}
