package basilshard

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilplatform"
)

const (
	renewalLatencies   = 4                      // latencies of a renewal between two of them: the renewals of all members are made one after the other
	maxOpenRenewals    = 4                      // unanswered renewals at a time
	minRenewalWait     = 100 * time.Millisecond // shortest time after which an unanswered renewal is followed by another, so that a lease outlasts several lost answers
	maxRenewalWait     = 2500 * time.Millisecond
	firstRenewalWait   = 700 * time.Millisecond // the same before the first answer; a slow store takes about 400 ms
	overdueRenewals    = 6                      // multiple of the latency of reads after which an unanswered renewal is followed by another; its latency is about two of theirs
	answerPoll         = 20 * time.Millisecond  // between looks at whether an unanswered renewal is overdue
	maxRefusedDoubling = 2                      // doublings of roundRetryDelay after renewals that the store refused
)

// memberWrites are the writes of this entry host's member row. Several may be unanswered at a time, since the store may be
// slow or have lost an answer.
//
// Each write has the version that it replaces as a precondition, so that one that takes effect late can't overwrite a later one,
// of this process or of its successor.
type memberWrites struct {
	mutex   sync.Mutex
	version int64          // newest known version of the stored row; 0 for no row
	renewed int64          // version of the newest answered renewal
	open    []*memberWrite // writes that may still change the row
}

// memberWrite is one write of the member row.
type memberWrite struct {
	version int64         // that it replaces
	sentAt  time.Duration // on the keeper's clock
	lease   time.Duration // that the row states
	until   time.Duration // when this entry host has to stop starting work if the write takes effect
	cancel  context.CancelFunc
}

// keepLease renews the lease until the context ends. A renewal that isn't answered in time is not ended, since its answer
// still counts; the next one is sent beside it.
func (k *Keeper) keepLease(ctx context.Context) {
	slots := make(chan struct{}, maxOpenRenewals)
	for refusals := 0; ctx.Err() == nil; {
		recovered := k.options.Recovery.Recovered()
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		sentAt := k.options.Clock()
		done := make(chan bool, 1)
		go func() {
			defer func() { <-slots }()
			done <- k.renew(ctx)
		}()
		var wait time.Duration
		switch ok, answered := k.awaitAnswer(ctx, done, sentAt); {
		case !answered:
			k.options.Log.WithFields(logrus.Fields{
				"since_renewal_ms": k.SinceRenewal().Milliseconds(), "read_latency_ms": k.options.Recovery.ReadLatency().Milliseconds(),
			}).Warn("renewal not answered in time, sending another")
			k.roundFailed(recovered)
		case ok:
			refusals = 0
			wait = k.renewalDue(sentAt)
		default:
			k.roundFailed(recovered)
			wait = roundRetryDelay << min(refusals, maxRefusedDoubling)
			refusals++
		}
		k.awaitRenewal(ctx, wait, recovered)
	}
}

// awaitAnswer waits for the result of a renewal. It returns false for answered once another has to be sent beside it: when the
// store answers reads so soon that the answer is probably lost.
func (k *Keeper) awaitAnswer(ctx context.Context, done <-chan bool, sentAt time.Duration) (ok, answered bool) {
	timer := time.NewTimer(k.renewalWait())
	defer timer.Stop()
	for suspected := false; ; {
		select {
		case <-ctx.Done():
			return false, false
		case ok := <-done:
			return ok, true
		case <-timer.C:
		}
		if !suspected {
			k.options.Recovery.Suspect() // the probe tells how soon reads are answered now
			suspected = true
		} else if !k.options.Recovery.Probing() && k.options.Clock()-sentAt >= overdueRenewals*k.options.Recovery.ReadLatency() {
			return false, false
		}
		timer.Reset(answerPoll)
	}
}

// awaitRenewal waits until the next renewal is due. It returns early if the store has answered again while the lease is late.
func (k *Keeper) awaitRenewal(ctx context.Context, wait time.Duration, recovered <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if k.SinceRenewal() < k.pace() {
		recovered = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-recovered:
	}
}

// renewalWait returns the time after which an unanswered renewal is followed by another.
func (k *Keeper) renewalWait() time.Duration {
	if _, ok := k.timeout.Latency(); !ok {
		return firstRenewalWait
	}
	return k.timeout.Get()
}

// announce renews the lease once, which tells the other members what has changed about this one.
func (k *Keeper) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.renewalWait())
	defer cancel()
	k.renew(ctx)
}

// renew writes the member row, which renews the lease, and reports whether that succeeded.
func (k *Keeper) renew(ctx context.Context) bool {
	for {
		w, body, err := k.beginWrite()
		if err != nil {
			k.options.Log.WithError(err).Error("failed to encode the member row")
			return false
		}
		version, err := k.writeMember(ctx, w, body)
		if err == nil {
			k.timeout.Answered(k.options.Clock() - w.sentAt)
			return k.renewed(ctx, w, version)
		}
		var failed basilplatform.ErrConditionFailed
		if errors.As(err, &failed) && failed.Key == memberKey(k.options.Self.Node) && failed.Version != w.version {
			k.timeout.Answered(k.options.Clock() - w.sentAt)
			k.memberWrites.replaced(w, failed.Version)
			continue
		}
		if basilplatform.IsErrUnavailable(err) {
			k.memberWrites.end(w)
		}
		if k.memberWrites.superseded(w) {
			return true // by a later renewal, which has ended it
		}
		k.options.Log.WithError(err).Warn("failed to renew the lease")
		return false
	}
}

// beginWrite registers the next write of the member row and returns it with the row's body.
func (k *Keeper) beginWrite() (*memberWrite, []byte, error) {
	self := k.options.Self
	self.Stopping = k.stopping.Load()
	self.Slow = k.Slow()
	lease := k.lease()
	self.Lease = lease.Milliseconds()
	body, err := json.Marshal(self)
	if err != nil {
		return nil, nil, err
	}
	k.memberWrites.mutex.Lock()
	defer k.memberWrites.mutex.Unlock()
	sentAt := k.options.Clock()
	w := &memberWrite{
		version: k.memberWrites.version, sentAt: sentAt, lease: lease, until: sentAt + lease - k.options.Margin, cancel: func() {},
	}
	k.memberWrites.open = append(k.memberWrites.open, w)
	k.startUntil.Store(min(int64(w.until), k.startUntil.Load())) // the others may see a shorter lease than before, also if no answer comes
	return w, body, nil
}

// writeMember makes a write of the member row. It is ended once its lease would have expired.
func (k *Keeper) writeMember(ctx context.Context, w *memberWrite, body []byte) (version int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, w.lease)
	defer cancel()
	k.memberWrites.mutex.Lock()
	w.cancel = cancel
	k.memberWrites.mutex.Unlock()
	return k.options.Store.Commit(ctx, basilplatform.Transaction{Writes: []basilplatform.Write{{
		Kind: basilplatform.WriteKindPut, Key: memberKey(k.options.Self.Node), Precondition: basilplatform.PreconditionVersion, Version: w.version, Body: body,
	}}})
}

// renewed records an answered renewal, from whose sending the lease counts. If the lease had expired, it reads the owner rows
// again before work may be started.
func (k *Keeper) renewed(ctx context.Context, w *memberWrite, version int64) bool {
	ended := k.memberWrites.stored(w, version)
	for _, cancel := range ended {
		cancel()
	}
	if !k.MayStart() && !k.readOwners(ctx) {
		return false
	}
	k.memberWrites.mutex.Lock()
	defer k.memberWrites.mutex.Unlock()
	if version < k.memberWrites.renewed {
		return true
	}
	k.memberWrites.renewed = version
	until := w.until
	for _, o := range k.memberWrites.open { // each may have replaced this one
		until = min(until, o.until)
	}
	k.renewedAt.Store(int64(w.sentAt))
	k.startUntil.Store(int64(until))
	return true
}

// stored records that the write was carried out as the version. It returns the functions that end earlier writes, which can
// no longer take effect.
func (m *memberWrites) stored(w *memberWrite, version int64) (ended []context.CancelFunc) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.version = max(m.version, version)
	return m.settle(w, version)
}

// replaced records that the write was refused because the row has the version.
func (m *memberWrites) replaced(w *memberWrite, version int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if version > m.version || version < w.version { // an older one: the row was deleted
		m.version = version
	}
	m.settle(w, 0)
}

// end records that the write was not carried out and never will be.
func (m *memberWrites) end(w *memberWrite) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.settle(w, 0)
}

// settle removes a write, and those that replace an older version than the given one. The caller holds the mutex.
func (m *memberWrites) settle(w *memberWrite, version int64) (ended []context.CancelFunc) {
	var open []*memberWrite
	for _, o := range m.open {
		switch {
		case o == w:
		case o.version < version:
			ended = append(ended, o.cancel)
		default:
			open = append(open, o)
		}
	}
	m.open = open
	return ended
}

// superseded reports whether a later write than the given one was carried out.
func (m *memberWrites) superseded(w *memberWrite) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.renewed > w.version
}
