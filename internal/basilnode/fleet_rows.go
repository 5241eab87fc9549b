package basilnode

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
)

// load reads the rows that predecessors stored, and retries until this succeeds or the shard is lost.
func (f *fleet) load() (version int64, ok bool) {
	for f.ctx.Err() == nil {
		version, err := f.tryLoad()
		if err == nil {
			return version, true
		}
		f.log.WithError(err).Warn("cannot load state of the fleet")
		_ = basiltimer.Wait(f.ctx, storeRetryDelay) // the loop checks the context
	}
	return 0, false
}

// fleetPartition is the partition of a table that belongs to a pool or to the fleet's own shard.
type fleetPartition struct {
	shard, table string
	items        []basilplatform.Item
	version      int64
	err          error
}

// tryLoad reads all partitions concurrently and applies their rows. It returns the version from which to watch the pools'
// answers.
func (f *fleet) tryLoad() (version int64, err error) {
	partitions := []*fleetPartition{{shard: fleetShard, table: fleetTable}}
	for _, pool := range f.node.configuration().Pools() {
		partitions = append(partitions, &fleetPartition{shard: pool, table: fleetTable}, &fleetPartition{shard: pool, table: answersTable})
	}
	var group sync.WaitGroup
	for _, p := range partitions {
		group.Go(func() { p.items, p.version, p.err = f.node.store.Snapshot(f.ctx, p.table+"/"+p.shard) })
	}
	group.Wait()
	version = partitions[0].version
	for _, p := range partitions {
		if p.err != nil {
			return 0, p.err
		}
		version = min(version, p.version)
		for _, i := range p.items {
			f.applyRow(p.shard, i)
			if p.table == fleetTable {
				f.rowOf(i.Key).SetStored(i)
			}
		}
	}
	return version, nil
}

// pendingRow holds the pending write of a row, of which only one write is in flight at a time.
type pendingRow struct {
	*basilshard.Row
	body     []byte
	pending  bool
	inFlight bool
}

// writeRequest stores the request to a pool.
func (f *fleet) writeRequest(pool string, a basilcapacity.EvacuationRequest) {
	a.Epoch = f.row.Epoch
	f.writeRow(pool, requestSort, a)
}

// takeOverRequests stores the requests to all pools anew if the store can't check who owns the fleet. From then on a predecessor that
// doesn't know of its end yet can't change them, and what it has written since they were loaded is replaced.
func (f *fleet) takeOverRequests() {
	if !f.node.options.SinglePartition {
		return
	}
	for pool, a := range f.state.TakeOver(f.row.Epoch, f.node.configuration().Pools()) {
		f.writeRequest(pool, a)
	}
}

// writeRow stores a row of the fleet's shard or of a pool if this entry host still owns the fleet. While a write of the row is
// in flight, only the newest value is kept for the next one.
func (f *fleet) writeRow(shard, sort string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		f.log.WithError(err).Error("cannot encode row")
		return
	}
	w := f.rowOf(fleetKey(shard, sort))
	w.body, w.pending = body, true
	f.flush(w)
}

// writeConditions returns the condition of a write of the row, which is that this entry host still owns the fleet. A store
// without transactions over several partitions can't check that for a pool's row. There a deposed owner still can't overwrite
// a request of its successor, since that states a later epoch.
func (f *fleet) writeConditions(k basilplatform.Key) []basilplatform.Write {
	if f.node.options.SinglePartition && k.Partition != fleetKey(fleetShard, "").Partition {
		return nil
	}
	return []basilplatform.Write{f.row.Check(fleetShard)}
}

func (f *fleet) rowOf(k basilplatform.Key) *pendingRow {
	w := f.rows[k]
	if w == nil {
		w = &pendingRow{Row: basilshard.NewRow(f.node.store, k, f.writeConditions(k)...)}
		f.rows[k] = w
	}
	return w
}

func (f *fleet) flush(w *pendingRow) {
	if w.inFlight || !w.pending {
		return
	}
	w.inFlight, w.pending = true, false
	body := w.body
	go func() {
		err := w.Row.Write(f.ctx, body)
		leave := basilplatform.IsErrConditionFailed(err) || basilshard.IsErrSuperseded(err) // the row is the successor's
		if err != nil {
			f.log.WithError(err).WithFields(logrus.Fields{"row": w.Key().Sort, "left_to_successor": leave}).Warn("cannot store row")
		}
		if err != nil && !leave {
			_ = basiltimer.Wait(f.ctx, storeRetryDelay) // if the context has ended, so has this owner
		}
		f.send(func(time.Time) {
			w.inFlight = false
			w.pending = w.pending || err != nil && !leave
			f.flush(w)
		})
	}()
}
