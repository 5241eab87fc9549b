package basilnode

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilwork"
)

// newSucceedingOwner returns an owner of the epoch 6 without a loop, whose predecessor has ended and stored the silence of the backend server.
func newSucceedingOwner(t *testing.T, local func() time.Duration, silentUntil time.Duration) (*owner, basilwork.Backend) {
	t.Helper()
	b := basilwork.Backend{ID: "b1", Service: "stretch"}
	o, _ := newLoggingOwner(time.Now())
	o.row = basilshard.OwnerRow{Epoch: 6, Since: 1, PreviousEnded: true}
	o.node.options = Options{MaxHold: 6 * time.Second, HoldLimit: 3500 * time.Millisecond, Lease: 1250 * time.Millisecond, StoreClock: basilwork.NewStoreClock(local)}
	o.node.options.StoreClock.Record(100*time.Second, o.node.options.StoreClock.Local())
	o.pool = basilscheduler.New(basilscheduler.Options{Epoch: 6, Grace: o.node.predecessorGrace(o.row)}, time.Now())
	o.connections = map[string]*connection{b.ID: {}} // none has to be opened
	o.records = newRecorder(nil, "stretch", basilplatform.Write{})
	e := storedRecord{backendRecord: newBackendRecord(b), version: 1}
	e.silence = silence{Epoch: 5, Until: (100*time.Second + silentUntil).Milliseconds()}
	o.records.rows[b.ID] = e
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	o.ctx = ctx
	return o, b
}

// TestWaitForSilentBackendOutlastsOwnerBeforePredecessor checks that a silent backend server is waited for until the leases have run out that an
// owner may have extended which the predecessor followed before it had ended: the predecessor's own end 1.2 s later says nothing of that one.
func TestWaitForSilentBackendOutlastsOwnerBeforePredecessor(t *testing.T) {
	local := 10 * time.Second
	n := &Node{options: Options{MaxHold: 6 * time.Second, HoldLimit: 3500 * time.Millisecond, Lease: 1250 * time.Millisecond}}
	left := n.predecessorGrace(basilshard.OwnerRow{Epoch: 5, Since: 1}) - 1200*time.Millisecond
	o, b := newSucceedingOwner(t, func() time.Duration { return local }, left)
	must.False(t, o.addPredecessor(b))
	must.GreaterEq(t, left-100*time.Millisecond, time.Until(o.pool.PredecessorUntil(b.ID)))
}

// TestPauseWhileLoadingDoesNotShortenWaitForSilentBackend checks that an owner whose process stands still while it reads its rows waits for a silent
// backend server as long as its row tells.
func TestPauseWhileLoadingDoesNotShortenWaitForSilentBackend(t *testing.T) {
	began := time.Now()
	pause := time.Duration(0)
	o, b := newSucceedingOwner(t, func() time.Duration {
		time.Sleep(pause)
		return 10*time.Second + time.Since(began)
	}, 5*time.Second)
	pause = 300 * time.Millisecond
	must.False(t, o.addPredecessor(b))
	must.False(t, o.pool.PredecessorUntil(b.ID).Before(began.Add(5*time.Second)), must.Sprint(o.pool.PredecessorUntil(b.ID).Sub(began)))
}

// TestExpiredSilenceIsKeptUntilBackendAnswers checks that successors need not wait for a backend server that has stayed silent for longer than its
// leases and is listed still: its row tells the silence until it answers, or is no longer listed.
func TestExpiredSilenceIsKeptUntilBackendAnswers(t *testing.T) {
	local := 10 * time.Second
	o, b := newSucceedingOwner(t, func() time.Duration { return local }, -time.Second)
	must.True(t, o.addPredecessor(b))
	o.pool.SetBackends([]basilwork.Backend{b})
	must.Zero(t, o.pool.PredecessorBackends())
	now := time.Now()
	o.records.lastDelete = now
	w := o.records.nextWrite(o.pool.Backends(), now)
	must.True(t, w.empty())
	must.False(t, o.records.inUse(b.ID))
	o.records.lastDelete = time.Time{}
	w = o.records.nextWrite(nil, now)
	must.MapContainsKey(t, w.deletes, b.ID)
	must.MapEmpty(t, o.records.silences)
}
