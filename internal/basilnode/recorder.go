package basilnode

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	recordTable  = "backends"
	recordPrefix = "server/"        // of the keys of rows
	recordList   = "used"           // key of the one list of an earlier layout
	recordPuts   = 90               // rows of one transaction, out of 100 entries
	recordDrops  = 45               // as above; each takes a precondition too
	recordEvery  = 2 * time.Second  // between removals of rows of backend servers that are gone
	refusedAgain = 10 * time.Second // until a row that the store refused is tried again
)

// record is what a successor has to know of a backend server that may have runs.
type record struct {
	ID      string `json:"id"`
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	Rack    string `json:"rack,omitempty"`
	Born    int64  `json:"born,omitempty"` // Unix milliseconds
}

func recordOf(b basilwork.Backend) record {
	return record{ID: b.ID, Service: b.Service, Address: b.Address, Rack: b.Rack, Born: b.Born}
}

func (r record) backend() basilwork.Backend {
	return basilwork.Backend{ID: r.ID, Service: r.Service, Address: r.Address, Rack: r.Rack, Born: r.Born}
}

// storedRecord is a record with the version of its row.
type storedRecord struct {
	record
	version int64
}

// recorder keeps a row of each backend server that may have runs. Rows are put before anything runs there, and removed
// some time after the backend server is gone.
//
// A put needs no version: a row too many only has the successor hear from one more. A removal names the version that it
// removes, so that one without an answer can't undo a later put.
type recorder struct {
	store    basilwork.Store
	service  string
	check    basilplatform.Write     // that the shard is still owned
	rows     map[string]storedRecord // that are certainly stored
	gone     map[string]int64        // versions of rows that are to be removed, or may be removed already
	refused  map[string]time.Time    // rows that the store took for wrong, and when to try again
	most     int                     // rows of the next put, 0 for recordPuts
	list     bool                    // the list of an earlier layout is still stored
	inFlight bool
	dropped  time.Time // when rows were last removed
	after    time.Time // no try before
}

func newRecorder(store basilwork.Store, service string, check basilplatform.Write) recorder {
	return recorder{
		store: store, service: service, check: check,
		rows: make(map[string]storedRecord), gone: make(map[string]int64), refused: make(map[string]time.Time),
	}
}

func recordPartition(service string) string { return recordTable + "/" + service }

func (r *recorder) key(id string) basilplatform.Key {
	return basilplatform.Key{Partition: recordPartition(r.service), Sort: recordPrefix + id}
}

// keeps tells whether the backend server has a row that a successor would read.
func (r *recorder) keeps(id string) bool {
	_, ok := r.rows[id]
	return ok
}

// load takes in the stored rows and returns the backend servers that they name.
func (r *recorder) load(items []basilplatform.Item) ([]basilwork.Backend, error) {
	var list []basilwork.Backend
	for _, i := range items {
		id, isRow := strings.CutPrefix(i.Key.Sort, recordPrefix)
		if !isRow {
			old := make(map[string]record)
			if err := json.Unmarshal(i.Body, &old); err != nil {
				return nil, errors.WithStack(basilplatform.ErrRefused{Operation: "read backends", Reason: err.Error()})
			}
			r.list = true
			for _, e := range old {
				list = append(list, e.backend())
			}
			continue
		}
		e := storedRecord{version: i.Version}
		if err := json.Unmarshal(i.Body, &e.record); err != nil {
			return nil, errors.WithStack(basilplatform.ErrRefused{Operation: "read backends", Reason: err.Error()})
		}
		r.rows[id] = e
		list = append(list, e.backend())
	}
	return list, nil
}

// recordWrite is one transaction of puts or of removals.
type recordWrite struct {
	puts  []record
	drops map[string]int64 // versions by backend server
	list  bool             // the list of an earlier layout is removed
}

func (w *recordWrite) empty() bool { return len(w.puts) == 0 && len(w.drops) == 0 && !w.list }

// next returns what to store so that each of the backend servers has its row. Rows that are missing come first.
func (r *recorder) next(used []basilwork.Backend, now time.Time) recordWrite {
	var w recordWrite
	most := cmp.Or(r.most, recordPuts)
	known := make(map[string]bool, len(used))
	for _, b := range used {
		known[b.ID] = true
		if e, ok := r.rows[b.ID]; ok && e.record == recordOf(b) || len(w.puts) == most || now.Before(r.refused[b.ID]) {
			continue
		}
		w.puts = append(w.puts, recordOf(b))
	}
	if len(w.puts) > 0 {
		return w
	}
	if r.list {
		w.list = true
		return w
	}
	if now.Sub(r.dropped) < recordEvery {
		return w
	}
	for id, e := range r.rows {
		if !known[id] {
			r.gone[id] = e.version
			delete(r.rows, id) // from now on it may be missing
		}
	}
	w.drops = make(map[string]int64)
	for id, version := range r.gone {
		if len(w.drops) < recordDrops {
			w.drops[id] = version
		}
	}
	return w
}

// write makes the transaction and returns the version of the rows that it has put.
func (r *recorder) write(ctx context.Context, w recordWrite) (int64, error) {
	t := basilplatform.Transaction{Writes: []basilplatform.Write{r.check}}
	for _, e := range w.puts {
		body, err := json.Marshal(e)
		if err != nil {
			return 0, errors.WithStack(basilplatform.ErrRefused{Operation: "record backend", Reason: err.Error()})
		}
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: r.key(e.ID), Precondition: basilplatform.PreconditionNone, Body: body,
		})
	}
	for id, version := range w.drops {
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindDelete, Key: r.key(id), Precondition: basilplatform.PreconditionVersion, Version: version,
		})
	}
	if w.list {
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindDelete, Key: basilplatform.Key{Partition: recordPartition(r.service), Sort: recordList},
			Precondition: basilplatform.PreconditionNone,
		})
	}
	return r.store.Commit(ctx, t)
}

// written takes in the outcome of a transaction.
func (r *recorder) written(w recordWrite, version int64, err error, now time.Time) {
	r.inFlight = false
	var differs basilplatform.ErrConditionFailed
	switch {
	case err == nil:
		r.succeeded(w, version, now)
	case errors.As(err, &differs) && r.correct(differs):
	case basilplatform.IsErrRefused(err) && len(w.puts) > 0:
		r.refuse(w.puts, now)
	default:
		r.after = now.Add(storeRetry)
	}
}

func (r *recorder) succeeded(w recordWrite, version int64, now time.Time) {
	for _, e := range w.puts {
		r.rows[e.ID] = storedRecord{record: e, version: version}
		delete(r.gone, e.ID)
		delete(r.refused, e.ID)
	}
	for id := range w.drops {
		delete(r.gone, id)
	}
	if len(w.puts) > 0 {
		r.most = min(2*cmp.Or(r.most, recordPuts), recordPuts)
	} else {
		r.dropped = now
	}
	r.list = r.list && !w.list
}

// correct takes in the version that a row to be removed really has, and tells whether the failure was one of those.
func (r *recorder) correct(f basilplatform.ErrConditionFailed) bool {
	id, ok := strings.CutPrefix(f.Key.Sort, recordPrefix)
	if !ok || f.Key.Partition != recordPartition(r.service) {
		return false
	}
	r.gone[id] = f.Version
	if f.Version == 0 {
		delete(r.gone, id)
	}
	return true
}

// refuse finds the row that the store takes for wrong, by writing half as many at a time; that one waits, the others don't.
func (r *recorder) refuse(puts []record, now time.Time) {
	r.most = max(1, len(puts)/2)
	if len(puts) == 1 {
		r.refused[puts[0].ID] = now.Add(refusedAgain)
	}
}

// leave removes all rows but those of the backend servers that a successor has to hear of, when nothing is in flight.
//
// Nothing is put any more, so that no versions are needed.
func (r *recorder) leave(ctx context.Context, unfinished map[string]bool) error {
	var ids []string
	for _, id := range slices.Concat(slices.Collect(maps.Keys(r.rows)), slices.Collect(maps.Keys(r.gone))) {
		if !unfinished[id] {
			ids = append(ids, id)
		}
	}
	for part := range slices.Chunk(ids, recordPuts) {
		t := basilplatform.Transaction{Writes: []basilplatform.Write{r.check}}
		for _, id := range part {
			t.Writes = append(t.Writes, basilplatform.Write{
				Kind: basilplatform.WriteKindDelete, Key: r.key(id), Precondition: basilplatform.PreconditionNone,
			})
		}
		if _, err := r.store.Commit(ctx, t); err != nil {
			return err
		}
	}
	return nil
}
