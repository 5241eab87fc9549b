package basilnode

import (
	"encoding/json"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basiltimer"
)

// load reads what a predecessor left.
func (f *fleet) load() (version int64, ok bool) {
	for f.ctx.Err() == nil {
		version, err := f.tryLoad()
		if err == nil {
			return version, true
		}
		f.log.WithError(err).Warn("hosts' state not read")
		_ = basiltimer.Wait(f.ctx, storeRetry) // an ended context ends the loop
	}
	return 0, false
}

// fleetPart is what a table holds of a pool, or of the fleet's own shard.
type fleetPart struct {
	part, table string
	items       []basilplatform.Item
	version     int64
	err         error
}

// tryLoad reads all parts at once and takes them in; pools' answers are followed from the version.
func (f *fleet) tryLoad() (version int64, err error) {
	parts := []*fleetPart{{part: fleetShard, table: fleetTable}}
	for _, pool := range f.node.configuration().Pools() {
		parts = append(parts, &fleetPart{part: pool, table: fleetTable}, &fleetPart{part: pool, table: answerTable})
	}
	var group sync.WaitGroup
	for _, p := range parts {
		group.Go(func() { p.items, p.version, p.err = f.node.store.Snapshot(f.ctx, p.table+"/"+p.part) })
	}
	group.Wait()
	version = parts[0].version
	for _, p := range parts {
		if p.err != nil {
			return 0, p.err
		}
		version = min(version, p.version)
		for _, i := range p.items {
			f.take(p.part, i)
			if p.table == fleetTable {
				f.rowOf(i.Key).SetVersion(i.Version)
			}
		}
	}
	return version, nil
}

// rowWrite is what waits to be written to a row; one write of it is in flight at a time.
type rowWrite struct {
	*basilshard.Row
	body     []byte
	waits    bool
	inFlight bool
}

// write stores a row of the fleet's shard or of a pool's, if this entry host still owns the fleet.
// Of writes that wait for an earlier one only the newest is made.
func (f *fleet) write(part, sort string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		f.log.WithError(err).Error("row not encoded")
		return
	}
	w := f.rowOf(fleetKey(part, sort))
	w.body, w.waits = body, true
	f.flush(w)
}

// checks returns what a write of the row rests on: that this entry host still owns the fleet. Where the store can't check
// that beside a pool's row, an ask of an owner that was replaced replaces none of its successor's, for versions differ.
func (f *fleet) checks(k basilplatform.Key) []basilplatform.Write {
	if f.node.options.SinglePart && k.Partition != fleetKey(fleetShard, "").Partition {
		return nil
	}
	return []basilplatform.Write{f.row.Check(fleetShard)}
}

func (f *fleet) rowOf(k basilplatform.Key) *rowWrite {
	w := f.rows[k]
	if w == nil {
		w = &rowWrite{Row: basilshard.NewRow(f.node.store, k, f.checks(k)...)}
		f.rows[k] = w
	}
	return w
}

func (f *fleet) flush(w *rowWrite) {
	if w.inFlight || !w.waits {
		return
	}
	w.inFlight, w.waits = true, false
	body := w.body
	go func() {
		err := w.Row.Write(f.ctx, body)
		if err != nil && !basilplatform.IsErrConditionFailed(err) {
			f.log.WithError(err).WithField("row", w.Key().Sort).Warn("row not stored")
			_ = basiltimer.Wait(f.ctx, storeRetry) // an ended context ends the owner
		}
		f.send(func(time.Time) {
			w.inFlight = false
			if err != nil && !basilplatform.IsErrConditionFailed(err) {
				w.waits = true // an owner that was replaced leaves the row to its successor
			}
			f.flush(w)
		})
	}()
}
