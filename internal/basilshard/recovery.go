package basilshard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basiltimer"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	probeInterval = 100 * time.Millisecond // between probes of a store that doesn't answer
	// Shortest timeout of a probe, and the latencies of reads that it lasts at least; as many probes are sent in one latency.
	minProbeTimeout = 700 * time.Millisecond
	probesAtATime   = 3
	minFailTime     = 300 * time.Millisecond // a call that fails sooner was refused
	overdueMargin   = 20 * time.Millisecond  // added to the time after which a call counts as lost
	// Multiples of the latency of reads after which calls count as lost. A transaction waits for others of its partition and
	// takes up to five times as long as a read without them.
	overdueReads  = 2
	overdueWrites = 16
	// Time that a transaction may take however soon reads are answered; a partition at its limit takes about 600 ms.
	minOverdueWrite = 700 * time.Millisecond
	// Shortest and longest timeout of a call that doesn't wait for changes; a store that has been quick may be slow at once.
	minCallTimeout = 1200 * time.Millisecond
	maxCallTimeout = 4 * time.Second
	// A store of which no call has been answered for this time, and longer on a slow one, counts as unreachable.
	unreachableAfter = time.Second
)

// Recovery notices at once when a store answers again, and ends the calls whose answers are lost.
//
// It answers a store that is silent for seconds: calls that were sent meanwhile are never answered, and without it each part
// of the process would wait for the timeouts of its own calls after the store's return.
type Recovery struct {
	suspected chan struct{} // has room for one signal
	isProbing atomic.Bool
	reads     *basiltimer.AnswerTimeout
	mutex     sync.Mutex // guards the following fields
	calls     map[int64]*openCall
	lastCall  int64
	recovered chan struct{} // closed at the next recovery
	latency   time.Duration // of reads: it rises with the newest one at once and falls by half of the difference
	answered  time.Time     // time of the newest answer
}

type openCall struct {
	sent    time.Time
	heardAt time.Time     // when the newest part of the answer has arrived, or when the call was sent
	latency time.Duration // until the first part of the answer; 0 before it
	isRead  bool
	cancel  context.CancelFunc
}

// NewRecovery returns a recovery without calls; Run has to be called for it to work.
func NewRecovery() *Recovery {
	return &Recovery{
		suspected: make(chan struct{}, 1), calls: make(map[int64]*openCall), recovered: make(chan struct{}),
		reads: basiltimer.NewAnswerTimeout(minCallTimeout, maxCallTimeout),
	}
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
		sent, ok := r.awaitAnswer(ctx, probe)
		if !ok {
			return
		}
		r.readAnswered(time.Since(sent))
		r.isProbing.Store(false)
		log.WithFields(logrus.Fields{
			basillog.FieldDuration: time.Since(suspectedAt).Milliseconds(), "ended_calls": r.recover(sent, interrupt),
		}).Info("store answered a probe; overdue calls ended")
	}
}

// awaitAnswer sends probes, also while others are not answered, and returns when the first answered one was sent. It returns
// false if the context ends.
func (r *Recovery) awaitAnswer(ctx context.Context, probe func(ctx context.Context) error) (sent time.Time, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan time.Time)
	for {
		latency := r.ReadLatency()
		go func() {
			sent := time.Now()
			probeCtx, cancel := context.WithTimeout(ctx, max(minProbeTimeout, probesAtATime*latency))
			defer cancel()
			if probe(probeCtx) != nil {
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
		case <-time.After(max(probeInterval, latency/probesAtATime)):
		}
	}
}

// recover ends the calls that are overdue, given a later call that was sent at the given time and answered now. It returns
// their number.
func (r *Recovery) recover(sent time.Time, interrupt func()) (ended int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	overdueRead := overdueReads*time.Since(sent) + overdueMargin
	overdueWrite := max(minOverdueWrite, overdueWrites*r.latency)
	for _, c := range r.calls {
		if c.sent.Before(sent) && (time.Since(c.heardAt) > overdueWrite || c.isRead && time.Since(c.heardAt) > overdueRead) {
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
func (r *Recovery) begin(ctx context.Context, isRead bool) (context.Context, func(err error)) {
	callCtx, cancelCause := context.WithCancelCause(ctx)
	cancel := func() { cancelCause(context.Canceled) }
	sent := time.Now()
	c := &openCall{sent: sent, heardAt: sent, isRead: isRead, cancel: cancel}
	stop := r.endAfterTimeout(c, func() { cancelCause(context.DeadlineExceeded) })
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastCall++
	id := r.lastCall
	r.calls[id] = c
	return basiltimer.WithProgress(callCtx, func() { r.recordPart(c) }), func(err error) {
		unanswered := !errors.Is(context.Cause(callCtx), context.Canceled) && isUnanswered(err, time.Since(sent))
		switch {
		case isAnswered(err):
			r.recordAnswer(c)
		case unanswered && isRead:
			r.reads.Missed()
		}
		stop()
		cancel()
		r.mutex.Lock()
		delete(r.calls, id)
		r.mutex.Unlock()
		if unanswered {
			r.Suspect()
		}
	}
}

// endAfterTimeout calls cancel after the timeout of a call. That of a write follows the latency of reads, since writes are queued.
// A read lasts as long as parts of its answer arrive: a slow link takes seconds to carry all rows of a pool.
func (r *Recovery) endAfterTimeout(c *openCall, cancel func()) (stop func() bool) {
	if c.isRead {
		return cancelAfter(r.reads.Get(), func() time.Duration { return r.reads.Get() - r.silence(c) }, cancel)
	}
	return r.CancelAfterWriteTime(cancel, minCallTimeout)
}

// recordPart records that a part of the call's answer has arrived.
func (r *Recovery) recordPart(c *openCall) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c.heardAt = time.Now()
	r.answered = c.heardAt
	if c.latency == 0 {
		c.latency = c.heardAt.Sub(c.sent)
	}
}

// silence returns the time since the newest part of the call's answer.
func (r *Recovery) silence(c *openCall) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(c.heardAt)
}

// recordAnswer records the latency of an answered call, which is the time until the first part of the answer.
func (r *Recovery) recordAnswer(c *openCall) {
	r.mutex.Lock()
	r.answered = time.Now()
	latency := c.latency
	if latency == 0 {
		latency = time.Since(c.sent)
	}
	r.mutex.Unlock()
	if c.isRead {
		r.readAnswered(latency)
	}
}

func (r *Recovery) readAnswered(latency time.Duration) {
	r.reads.Answered(latency)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.answered = time.Now()
	r.latency = max(latency, (r.latency+latency)/2)
}

// Probing reports whether the store has been suspected and no probe has been answered since. A nil Recovery never probes.
func (r *Recovery) Probing() bool {
	return r != nil && (len(r.suspected) > 0 || r.isProbing.Load())
}

// ReadLatency returns the latency of the newest answered reads. Reads aren't queued, so that it tells how slow the store is
// whatever waits there. A nil Recovery returns 0.
func (r *Recovery) ReadLatency() time.Duration {
	if r == nil {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.latency
}

// WriteTime returns the time that a write may take on the store as it is now.
func (r *Recovery) WriteTime() time.Duration {
	return min(overdueWrites*r.ReadLatency(), maxCallTimeout)
}

// CancelAfterWriteTime calls cancel once a write that begins now should have been answered, as slow as the store turns out to be
// meanwhile, but not before the shortest time has passed. The returned function ends the wait.
func (r *Recovery) CancelAfterWriteTime(cancel func(), shortest time.Duration) (stop func() bool) {
	began := time.Now()
	return cancelAfter(shortest, func() time.Duration { return max(shortest, r.WriteTime()) - time.Since(began) }, cancel)
}

// cancelAfter calls cancel after the duration, or later as long as some time is left then. The returned function ends the wait.
func cancelAfter(d time.Duration, left func() time.Duration, cancel func()) (stop func() bool) {
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(d, func() {
		<-armed
		if rest := left(); rest > 0 {
			timer.Reset(rest)
			return
		}
		cancel()
	})
	close(armed)
	return timer.Stop
}

// Unreachable reports whether no call has been answered for a while.
func (r *Recovery) Unreachable() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.answered) > unreachableAfter+overdueReads*r.latency
}

// isAnswered reports whether a call with the error was carried out, or not for a reason that lies in the data.
func isAnswered(err error) bool {
	return err == nil || basilplatform.IsErrItemNotExist(err) || basilplatform.IsErrConditionFailed(err)
}

// isUnanswered reports whether the error is that of a call without an answer. A store that refuses calls at once is not
// probed, because it may be overloaded.
func isUnanswered(err error, took time.Duration) bool {
	return took > minFailTime && (basilplatform.IsErrUnavailable(err) || basilplatform.IsErrOutcomeUnknown(err))
}

// Suspect has the store probed, because a call is late. A nil Recovery doesn't do that.
func (r *Recovery) Suspect() {
	if r == nil {
		return
	}
	r.isProbing.Store(true)
	select {
	case r.suspected <- struct{}{}:
	default: // it is being probed, or about to be
	}
}

// Probe returns a function that makes a call to the store, which is answered at once unless the store is away.
func Probe(s basilwork.Store, node string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
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

// recoveringStore is a store whose calls a Recovery knows and bounds; of a watch it sets the timeout only, since Follow ends
// watches at a recovery.
type recoveringStore struct {
	basilwork.Store
	recovery *Recovery
}

// call makes a call of the store that a Recovery knows.
func call[T any](ctx context.Context, r *Recovery, isRead bool, f func(ctx context.Context) (T, error)) (T, error) {
	ctx, done := r.begin(ctx, isRead)
	result, err := f(ctx)
	done(err)
	return result, err
}

// Get implements basilplatform.Table.
func (s recoveringStore) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	return call(ctx, s.recovery, true, func(ctx context.Context) (basilplatform.Item, error) { return s.Store.Get(ctx, k) })
}

// Query implements basilplatform.Table.
func (s recoveringStore) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	return call(ctx, s.recovery, true, func(ctx context.Context) ([]basilplatform.Item, error) {
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
	return call(ctx, s.recovery, false, func(ctx context.Context) (int64, error) { return s.Store.Commit(ctx, t) })
}

// Snapshot implements basilwork.Store.
func (s recoveringStore) Snapshot(ctx context.Context, partition string) ([]basilplatform.Item, int64, error) {
	var version int64
	items, err := call(ctx, s.recovery, true, func(ctx context.Context) (items []basilplatform.Item, err error) {
		items, version, err = s.Store.Snapshot(ctx, partition)
		return items, err
	})
	return items, version, err
}

// Page implements basilwork.Store.
func (s recoveringStore) Page(ctx context.Context, partition, after string) (basilwork.Page, error) {
	return call(ctx, s.recovery, true, func(ctx context.Context) (basilwork.Page, error) { return s.Store.Page(ctx, partition, after) })
}

// Count implements basilwork.Store.
func (s recoveringStore) Count(ctx context.Context, partition, from, to string, limit int) (int, error) {
	return call(ctx, s.recovery, true, func(ctx context.Context) (int, error) { return s.Store.Count(ctx, partition, from, to, limit) })
}

// Watch implements basilwork.Store.
func (s recoveringStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) (basilwork.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+max(minCallTimeout, s.recovery.WriteTime()))
	defer cancel()
	return s.Store.Watch(ctx, table, after, wait)
}
