package basilnode

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilledger"
	"basilstage.example/basilstage/internal/basilplatform"
)

// accept stores a new job, with others by the shard's owner where there is one that answers, and by itself otherwise. It
// fails as the ledger does.
func (n *Node) accept(ctx context.Context, shard string, a basilledger.Acceptance) error {
	err := n.forward(ctx, shard, a)
	unknown := basilplatform.IsErrOutcomeUnknown(err)
	if !unknown && !IsErrNotForwarded(err) {
		return err
	}
	err = n.write(ctx, shard, a)
	if unknown && basilplatform.IsErrUnavailable(err) {
		return basilledger.NewErrMayBeStored(err) // by the owner
	}
	return err
}

// relayTries is how many entry hosts beside the shard's owner are asked to store a job: half of them may be cut off too.
const relayTries = 2

// acceptByOthers has the shard's owner store a job, or another entry host, while the store does not answer this one. It fails
// with ErrUnavailable when the job is not stored and never will be, and with ErrOutcomeUnknown when it may be.
func (n *Node) acceptByOthers(ctx context.Context, shard string, a basilledger.Acceptance) error {
	err := error(ErrNotForwarded{Shard: shard})
	if n.owner(shard) == nil {
		err = n.forward(ctx, shard, a)
	}
	for _, address := range n.keeper.Others(relayTries) {
		if !IsErrNotForwarded(err) {
			return err
		}
		err = n.sendTo(ctx, address, shard, true, a)
	}
	if IsErrNotForwarded(err) {
		return errors.WithStack(basilplatform.ErrUnavailable{Operation: "accept", RetryAfter: retrySoon, Cause: ErrStoreAway{}})
	}
	return err
}

// write stores a new job by itself, within the window of its shard.
func (n *Node) write(ctx context.Context, shard string, a basilledger.Acceptance) error {
	w := n.direct.of(shard)
	if !w.begin() {
		return basilledger.NewErrLineFull(shard)
	}
	began := time.Now()
	err := n.ledger.Accept(ctx, shard, a)
	w.end(time.Since(began), err)
	return err
}

const (
	windowFirst = 8                      // writes in flight at the start; an entry host of thirty takes some six jobs a second at a peak
	windowMost  = 32                     // as above, at most
	windowSlow  = 300 * time.Millisecond // of a write: a third of what a part has wait before it refuses
)

// windows bound the jobs that this entry host writes by itself, by shard, so that the line at the shard's part stays
// short: renewals, claims and the commits of an owner wait there too. The zero value works.
type windows struct {
	mutex sync.Mutex
	all   map[string]*window
}

func (w *windows) of(shard string) *window {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.all == nil {
		w.all = make(map[string]*window)
	}
	if w.all[shard] == nil {
		w.all[shard] = &window{size: windowFirst}
	}
	return w.all[shard]
}

// window is how many writes may be in flight: fewer after slow ones, more after others.
type window struct {
	mutex    sync.Mutex
	size     float64
	inFlight int
}

// begin tells whether a write may be made; end is to follow then.
func (w *window) begin() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inFlight >= int(w.size) {
		return false
	}
	w.inFlight++
	return true
}

func (w *window) end(took time.Duration, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.inFlight--
	if took > windowSlow || basilplatform.IsErrUnavailable(err) {
		w.size = max(1, w.size/2)
		return
	}
	w.size = min(w.size+1/w.size, windowMost)
}

// hints are the rows that the owner has written itself, so that it need not read them from the watch. The zero value works.
type hints struct {
	mutex    sync.Mutex
	versions map[string]int64 // of rows, by job
}

// add notes the versions of rows that the owner has written, by job.
func (h *hints) add(versions map[string]int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.versions == nil {
		h.versions = make(map[string]int64)
	}
	maps.Copy(h.versions, versions)
}

// forget drops what was noted of jobs.
func (h *hints) forget(ids []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range ids {
		delete(h.versions, id)
	}
}

// unknown returns the items but those that were hinted at, each of which is met once.
func (h *hints) unknown(items []basilplatform.Item) []basilplatform.Item {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	list := make([]basilplatform.Item, 0, len(items))
	for _, i := range items {
		version, ok := h.versions[i.Key.Sort]
		if ok && i.Version >= version {
			delete(h.versions, i.Key.Sort)
		}
		if !ok || i.Version != version {
			list = append(list, i)
		}
	}
	return list
}

// accepted takes up jobs that were stored here. When the control goroutine is behind, the watch brings them.
func (o *owner) accepted(list []basilledger.Acceptance, version int64) {
	jobs := make([]storedJob, 0, len(list))
	versions := make(map[string]int64, len(list))
	for n := range list {
		r := list[n].Record()
		versions[r.Job.ID] = version
		jobs = append(jobs, storedJob{Record: r, id: r.Job.ID, version: version})
	}
	select {
	case o.events <- event{take: func(time.Time) { o.takeJobs(jobs) }, sent: time.Now()}:
		o.hints.add(versions)
	default:
	}
}
