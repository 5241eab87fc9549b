package basilnode

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	recordTable       = "backends"
	recordKeyPrefix   = "server/"
	legacyListKey     = "used"           // an earlier layout kept all backend servers in this one row
	maxPuts           = 90               // rows per transaction, which may have 100 entries
	maxVersioned      = 45               // half as many of those that name the version that they replace: the precondition is an entry too
	deleteInterval    = 2 * time.Second  // interval between deletes of the rows of gone backend servers
	refusedRetryDelay = 10 * time.Second // delay before a row that the store refused is written again
)

// backendRecord is what the next owner needs to know about a backend server that may have runs.
type backendRecord struct {
	ID        string `json:"id"`
	Service   string `json:"service,omitempty"`
	Address   string `json:"address"`
	Rack      string `json:"rack,omitempty"`
	StartedAt int64  `json:"born,omitempty"` // Unix milliseconds
	silence
	runList
}

func newBackendRecord(b basilwork.Backend) backendRecord {
	return backendRecord{ID: b.ID, Service: b.Service, Address: b.Address, Rack: b.Rack, StartedAt: b.StartedAt}
}

func (r backendRecord) backend() basilwork.Backend {
	return basilwork.Backend{ID: r.ID, Service: r.Service, Address: r.Address, Rack: r.Rack, StartedAt: r.StartedAt}
}

// writtenRecord is a backendRecord as a row has it.
type writtenRecord struct {
	backendRecord
	Writer string `json:"writer,omitempty"` // identifies the write, which is looked for in the store if it has no answer
}

// storedRecord is a backendRecord with the version of its row.
type storedRecord struct {
	backendRecord
	version   int64
	uncertain bool // whether a list of runs is stored that was written since, so that the row has to be put anew
}

// recorder stores a row for each backend server that may have runs, so that the next owner asks them all. Rows are put
// before anything runs on a server, and deleted some time after the server is gone.
//
// A server that does not answer is stored as silent, so that the next owner waits for it only until its leases have run out.
// Nothing may be started or extended there before a row without a silence is stored.
//
// A put needs no version, because a surplus row only makes the next owner ask one more server, and without a list of runs wait for it with
// all tasks. One of a silence or a list and a delete name the version that they replace, so that a delayed one, whose answer was lost, can't
// undo a later put.
type recorder struct {
	store        basilwork.Store
	service      string
	check        basilplatform.Write     // precondition that the shard is still owned
	rows         map[string]storedRecord // rows that are certainly stored
	silences     map[string]silence      // of the backend servers whose rows are to tell one
	lists        map[string]runList      // of the backend servers whose lists of runs have changed under this owner
	writing      map[string]runList      // lists in the write in flight
	listsSince   int64                   // first epoch whose lists of runs can be trusted
	putLast      bool                    // the last write was one of puts
	obsolete     map[string]int64        // versions of the rows to delete; some may be deleted already
	refusedUntil map[string]time.Time    // when to write each row again that the store refused
	putLimit     int                     // rows in the next put; 0 means maxPuts
	legacyList   bool                    // the row of the earlier layout is still stored
	writes       int64                   // writes so far
	inFlight     bool
	lastDelete   time.Time // last delete of rows
	retryAfter   time.Time // next attempt after a failed write
}

func newRecorder(store basilwork.Store, service string, check basilplatform.Write) recorder {
	return recorder{
		store: store, service: service, check: check,
		rows: make(map[string]storedRecord), silences: make(map[string]silence), lists: make(map[string]runList), writing: make(map[string]runList), obsolete: make(map[string]int64), refusedUntil: make(map[string]time.Time),
	}
}

func recordPartition(service string) string { return recordTable + "/" + service }

func (r *recorder) key(id string) basilplatform.Key {
	return basilplatform.Key{Partition: recordPartition(r.service), Sort: recordKeyPrefix + id}
}

// stored reports whether the backend server certainly has a row, which the next owner would read.
func (r *recorder) stored(id string) bool {
	_, ok := r.rows[id]
	return ok
}

// inUse reports whether the backend server certainly has a row that makes the next owner wait for it in full, so that it may be used.
func (r *recorder) inUse(id string) bool {
	e, ok := r.rows[id]
	return ok && e.silence == silence{} && r.silences[id] == silence{}
}

// load decodes the stored rows, also that of the earlier layout, and returns their backend servers.
func (r *recorder) load(items []basilplatform.Item) ([]basilwork.Backend, error) {
	var list []basilwork.Backend
	for _, i := range items {
		id, isRow := strings.CutPrefix(i.Key.Sort, recordKeyPrefix)
		if !isRow {
			legacy := make(map[string]backendRecord)
			if err := json.Unmarshal(i.Body, &legacy); err != nil {
				return nil, errors.WithStack(basilplatform.ErrRefused{Operation: "read backends", Reason: err.Error()})
			}
			r.legacyList = true
			for _, e := range legacy {
				list = append(list, e.backend())
			}
			continue
		}
		e := storedRecord{version: i.Version}
		if err := json.Unmarshal(i.Body, &e.backendRecord); err != nil {
			return nil, errors.WithStack(basilplatform.ErrRefused{Operation: "read backends", Reason: err.Error()})
		}
		if e.RunsEpoch < r.listsSince {
			e.runList = runList{}
		}
		r.rows[id] = e
		list = append(list, e.backend())
	}
	return list, nil
}

// recordWrite is one transaction of either puts, silences, lists of runs or deletes.
type recordWrite struct {
	puts       []backendRecord
	silences   []storedRecord   // with the versions that they replace
	lists      []storedRecord   // the same
	deletes    map[string]int64 // row versions by backend server
	legacyList bool             // delete the row of the earlier layout
	writer     string
}

func (w *recordWrite) empty() bool {
	return len(w.puts)+len(w.silences)+len(w.lists)+len(w.deletes) == 0 && !w.legacyList
}

// nextWrite returns the next write needed to have a row for exactly the given backend servers. Missing and changed rows
// are put first, in turn with silences and then lists of runs; the row of the earlier layout and those of gone servers are deleted once none is
// due.
func (r *recorder) nextWrite(used []basilwork.Backend, now time.Time) recordWrite {
	r.writes++
	w := recordWrite{writer: fmt.Sprintf("%d.%d", r.check.Version, r.writes)} // no other owner has the version
	most := cmp.Or(r.putLimit, maxPuts)
	known := make(map[string]bool, len(used))
	for _, b := range used {
		known[b.ID] = true
		wanted := newBackendRecord(b)
		wanted.silence = r.silences[b.ID]
		e, ok := r.rows[b.ID]
		wanted.runList = r.wantedList(e)
		isStored := ok && !e.uncertain
		switch versioned := (storedRecord{backendRecord: wanted, version: e.version}); {
		case isStored && e.backendRecord == wanted, now.Before(r.refusedUntil[b.ID]):
		case isStored && wanted.silence != silence{}:
			if len(w.silences) < maxVersioned {
				w.silences = append(w.silences, versioned)
			}
		case isStored && e.backendRecord.withList(wanted.runList) == wanted:
			if len(w.lists) < min(most, maxVersioned) {
				w.lists = append(w.lists, versioned)
			}
		case len(w.puts) < most:
			wanted.silence, wanted.runList = silence{}, runList{}
			w.puts = append(w.puts, wanted)
		}
	}
	if r.chooseKind(&w); !w.empty() {
		return w
	}
	if r.legacyList {
		w.legacyList = true
		return w
	}
	if now.Sub(r.lastDelete) < deleteInterval {
		return w
	}
	for id, e := range r.rows {
		if !known[id] {
			r.obsolete[id] = e.version
			delete(r.rows, id) // no longer certainly stored
		}
	}
	maps.DeleteFunc(r.silences, func(id string, _ silence) bool { return !known[id] })
	maps.DeleteFunc(r.lists, func(id string, _ runList) bool { return !known[id] })
	w.deletes = make(map[string]int64)
	for id, version := range r.obsolete {
		if len(w.deletes) < maxVersioned {
			w.deletes[id] = version
		}
	}
	return w
}

// write commits the transaction and returns the version of the rows that it has put.
func (r *recorder) write(ctx context.Context, w recordWrite) (int64, error) {
	t := basilplatform.Transaction{Writes: []basilplatform.Write{r.check}}
	for _, e := range w.puts {
		body, err := json.Marshal(writtenRecord{e, w.writer})
		if err != nil {
			return 0, errors.WithStack(basilplatform.ErrRefused{Operation: "record backend", Reason: err.Error()})
		}
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: r.key(e.ID), Precondition: basilplatform.PreconditionNone, Body: body,
		})
	}
	for _, e := range slices.Concat(w.silences, w.lists) {
		body, err := json.Marshal(writtenRecord{e.backendRecord, w.writer})
		if err != nil {
			return 0, errors.WithStack(basilplatform.ErrRefused{Operation: "update backend", Reason: err.Error()})
		}
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindPut, Key: r.key(e.ID), Precondition: basilplatform.PreconditionVersion, Version: e.version, Body: body,
		})
	}
	for id, version := range w.deletes {
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindDelete, Key: r.key(id), Precondition: basilplatform.PreconditionVersion, Version: version,
		})
	}
	if w.legacyList {
		t.Writes = append(t.Writes, basilplatform.Write{
			Kind: basilplatform.WriteKindDelete, Key: basilplatform.Key{Partition: recordPartition(r.service), Sort: legacyListKey},
			Precondition: basilplatform.PreconditionNone,
		})
	}
	return basilwork.CommitOrReadBack(ctx, r.store, t, basilwork.LateInterval)
}

// handleResult updates the state after a transaction.
func (r *recorder) handleResult(w recordWrite, version int64, err error, now time.Time) {
	r.inFlight = false
	clear(r.writing)
	if err != nil {
		r.doubt(w.lists)
	}
	var failed basilplatform.ErrConditionFailed
	switch {
	case err == nil:
		r.applySuccess(w, version, now)
	case errors.As(err, &failed) && r.correctVersion(w, failed):
	case basilplatform.IsErrRefused(err) && len(w.puts) > 0:
		r.bisect(w.puts, now)
	case basilplatform.IsErrRefused(err) && len(w.lists) > 0:
		r.bisect(recordsOf(w.lists), now)
	default:
		r.retryAfter = now.Add(storeRetryDelay)
	}
}

func (r *recorder) applySuccess(w recordWrite, version int64, now time.Time) {
	for _, e := range w.puts {
		r.rows[e.ID] = storedRecord{backendRecord: e, version: version}
		delete(r.obsolete, e.ID)
		delete(r.refusedUntil, e.ID)
	}
	for _, e := range slices.Concat(w.silences, w.lists) {
		r.rows[e.ID] = storedRecord{backendRecord: e.backendRecord, version: version}
	}
	for id := range w.deletes {
		delete(r.obsolete, id)
	}
	switch {
	case len(w.silences)+len(w.lists) > 0:
	case len(w.puts) > 0:
		r.putLimit = min(2*cmp.Or(r.putLimit, maxPuts), maxPuts)
	default:
		r.lastDelete = now
	}
	r.legacyList = r.legacyList && !w.legacyList
}

// correctVersion adopts the actual version of a row to delete from a failed precondition. It reports whether the
// precondition was on such a row.
func (r *recorder) correctVersion(w recordWrite, f basilplatform.ErrConditionFailed) bool {
	id, ok := strings.CutPrefix(f.Key.Sort, recordKeyPrefix)
	if !ok || f.Key.Partition != recordPartition(r.service) {
		return false
	}
	if _, deleted := w.deletes[id]; !deleted {
		return false
	}
	r.obsolete[id] = f.Version
	if f.Version == 0 {
		delete(r.obsolete, id)
	}
	return true
}

// bisect finds the row that makes the store refuse a write, by halving the number of rows of the next one. A row that is
// refused by itself is delayed, so that it doesn't block the others.
func (r *recorder) bisect(puts []backendRecord, now time.Time) {
	r.putLimit = max(1, len(puts)/2)
	if len(puts) == 1 {
		r.refusedUntil[puts[0].ID] = now.Add(refusedRetryDelay)
	}
}

// deleteFinished deletes all rows except those of the unfinished backend servers, which the next owner has to ask. It must not run
// while a write is in flight. Since nothing is put any more, the deletes need no versions.
func (r *recorder) deleteFinished(ctx context.Context, unfinished map[string]bool) error {
	var ids []string
	for _, id := range slices.Concat(slices.Collect(maps.Keys(r.rows)), slices.Collect(maps.Keys(r.obsolete))) {
		if !unfinished[id] {
			ids = append(ids, id)
		}
	}
	for chunk := range slices.Chunk(ids, maxPuts) {
		t := basilplatform.Transaction{Writes: []basilplatform.Write{r.check}}
		for _, id := range chunk {
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
