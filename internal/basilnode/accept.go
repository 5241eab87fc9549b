package basilnode

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
)

// submit stores a new job of the route's queue with the given function, under the service that the queue is assigned to, unless a former
// service has the job. It returns the service that has it, or may have it if the outcome is unknown. It returns the ledger's errors but
// ErrAssignmentChanged.
func (n *Node) submit(ctx context.Context, r queueRoute, job basilledger.Acceptance, store func(ctx context.Context, shard string, a basilledger.Acceptance) error) (string, error) {
	for {
		a, err := n.assign(ctx, r)
		if err != nil {
			return r.service, err
		}
		record := job.Record()
		_, service, err := n.findIn(ctx, a.Former, r.key, record.Job.ID)
		if !basilledger.IsErrJobNotExist(err) {
			return cmp.Or(service, a.Service), err
		}
		err = store(ctx, a.Service, job.WithGate(a.gate))
		if !basilledger.IsErrAssignmentChanged(err) {
			return a.Service, err
		}
		n.log.WithFields(logrus.Fields{
			basillog.FieldJob: record.Job.ID, "queue": r.name, "queue_id": r.key, basillog.FieldPool: a.Service, "generation": a.Generation,
		}).Info("job not stored, as the assignment of its queue has changed; trying again")
		n.assignments.forgetGate(r.key, a.gate)
	}
}

// accept stores a new job: through the shard's owner, which commits it together with others, or directly when no owner
// answers. It returns the ledger's errors.
func (n *Node) accept(ctx context.Context, shard string, a basilledger.Acceptance) error {
	err := n.forward(ctx, shard, a)
	unknown := basilplatform.IsErrOutcomeUnknown(err)
	if !unknown && !IsErrNotForwarded(err) || ctx.Err() != nil {
		return err // a write that the caller doesn't wait for would only hold up others
	}
	err = n.acceptDirectly(ctx, shard, a)
	if unknown && (basilplatform.IsErrUnavailable(err) || basilledger.IsErrAssignmentChanged(err)) {
		return basilledger.NewErrMayBeStored(err) // the owner may have stored it
	}
	return err
}

// relayAttempts is the number of entry hosts besides the shard's owner that are asked to store a job. One is not enough, since
// half of the entry hosts may be cut off from the store as well.
const relayAttempts = 2

// acceptViaPeers stores a job through the shard's owner or another entry host while this one can't reach the store. It
// returns ErrUnavailable when the job is not stored and never will be, and ErrOutcomeUnknown when it may be stored.
func (n *Node) acceptViaPeers(ctx context.Context, r queueRoute, a basilledger.Acceptance) error {
	addresses := n.keeper.RandomPeers(relayAttempts)
	if _, address := n.keeper.Owner(r.service); n.owner(r.service) == nil {
		addresses = slices.Insert(addresses, 0, address)
	}
	for _, address := range addresses {
		if err := n.send(ctx, address, acceptRequest{shard: r.service, revision: r.revision, relay: true, Acceptance: a}); !IsErrNotForwarded(err) {
			return err
		}
	}
	return errors.WithStack(basilplatform.ErrUnavailable{Operation: "accept", RetryAfter: minRetryAfter, Cause: ErrStoreUnreachable{}})
}

// acceptRelayed stores a job for an entry host that can't reach the store, which routes its queue as given. The newer of both entry hosts'
// configurations counts.
func (n *Node) acceptRelayed(ctx context.Context, r queueRoute, a basilledger.Acceptance) error {
	if c := n.configuration(); c.Version > r.revision {
		record := a.Record()
		if q := c.QueueOf(&record.Job); q != nil {
			r.service, r.revision = q.Service, c.Version
		}
	}
	_, err := n.submit(ctx, r, a, func(ctx context.Context, shard string, a basilledger.Acceptance) error {
		if o := n.owner(shard); o != nil {
			return o.acceptor.Accept(ctx, a)
		}
		return n.acceptDirectly(ctx, shard, a)
	})
	return err
}

// acceptDirectly stores a new job directly, subject to the write window of its shard.
func (n *Node) acceptDirectly(ctx context.Context, shard string, a basilledger.Acceptance) error {
	return n.directWrites.write(shard, func() error { return n.ledger.Accept(ctx, shard, a) })
}

const (
	initialWindow = 8                      // initial limit of writes in flight; one of thirty entry hosts takes about six jobs a second at peak
	maxWindow     = 32                     // maximum limit of writes in flight
	slowWrite     = 300 * time.Millisecond // a write that takes longer is slow: a third of the wait at which a partition starts to refuse writes
)

// writeWindows limit the jobs that this entry host writes directly, by shard. This keeps the queue at the shard's partition of
// the store short, in which lease renewals, claims and the owner's commits wait too. The zero value is ready to use.
type writeWindows struct {
	mutex   sync.Mutex
	byShard map[string]*writeWindow
}

// write makes a write to the shard, or returns ErrQueueFull if as many are in flight as may be.
func (w *writeWindows) write(shard string, f func() error) error {
	window := w.forShard(shard)
	if !window.tryAcquire() {
		return basilledger.NewErrQueueFull(shard)
	}
	start := time.Now()
	err := f()
	window.release(time.Since(start), err)
	return err
}

func (w *writeWindows) forShard(shard string) *writeWindow {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.byShard == nil {
		w.byShard = make(map[string]*writeWindow)
	}
	if w.byShard[shard] == nil {
		w.byShard[shard] = &writeWindow{limit: initialWindow}
	}
	return w.byShard[shard]
}

// writeWindow limits the writes in flight. The limit is halved after a write that is slow or finds the store unavailable,
// and grows by about one per window of others (additive increase, multiplicative decrease).
type writeWindow struct {
	mutex    sync.Mutex
	limit    float64
	inFlight int
}

// tryAcquire reports whether a write may be made. If so, the caller must call release after it.
func (w *writeWindow) tryAcquire() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inFlight >= int(w.limit) {
		return false
	}
	w.inFlight++
	return true
}

func (w *writeWindow) release(took time.Duration, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inFlight--
	if took > slowWrite || basilplatform.IsErrUnavailable(err) {
		w.limit = max(1, w.limit/2)
		return
	}
	w.limit = min(w.limit+1/w.limit, maxWindow)
}

// ownWrites are the versions of rows that the owner wrote itself, so that it can skip them in the watch. The zero value is
// ready to use.
type ownWrites struct {
	mutex    sync.Mutex
	versions map[string]int64 // of rows, by job
}

// add records the versions of rows that the owner wrote, by job.
func (h *ownWrites) add(versions map[string]int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.versions == nil {
		h.versions = make(map[string]int64)
	}
	maps.Copy(h.versions, versions)
}

// forget removes the versions of the jobs.
func (h *ownWrites) forget(ids []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range ids {
		delete(h.versions, id)
	}
}

// unknown returns the items that the owner did not write itself. A recorded version is removed once it is seen.
func (h *ownWrites) unknown(items []basilplatform.Item) []basilplatform.Item {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	rest := make([]basilplatform.Item, 0, len(items))
	for _, item := range items {
		version, ok := h.versions[item.Key.Sort]
		if ok && item.Version >= version {
			delete(h.versions, item.Key.Sort)
		}
		if !ok || item.Version != version {
			rest = append(rest, item)
		}
	}
	return rest
}

// addStoredJobs passes jobs that this owner stored to the control goroutine. If its queue is full they are left to the watch.
func (o *owner) addStoredJobs(list []basilledger.Acceptance, version int64) {
	jobs := make([]storedJob, 0, len(list))
	versions := make(map[string]int64, len(list))
	for i := range list {
		record := list[i].Record()
		versions[record.Job.ID] = version
		jobs = append(jobs, storedJob{Record: record, id: record.Job.ID, version: version})
	}
	select {
	case o.events <- event{handle: func(time.Time) { o.applyJobs(jobs) }, queuedAt: time.Now()}:
		o.ownWrites.add(versions)
	default:
	}
}
