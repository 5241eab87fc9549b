package basilnode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// rowStore keeps the versions of rows in memory, and refuses writes of one configurable key.
type rowStore struct {
	basilwork.Store
	rows       map[string]int64
	version    int64
	refusedKey string
	puts       int
	tooLarge   int // transactions that were refused for their number of entries
	maxEntries int // of a transaction, in which preconditions on versions count too; 0 for no limit
}

func (s *rowStore) Commit(_ context.Context, t basilplatform.Transaction) (int64, error) {
	entries := len(t.Writes)
	for _, w := range t.Writes {
		if w.Kind != basilplatform.WriteKindCheck && w.Precondition == basilplatform.PreconditionVersion {
			entries++
		}
	}
	if s.maxEntries > 0 && entries > s.maxEntries {
		s.tooLarge++
		return 0, basilplatform.ErrRefused{Operation: "commit", Reason: "too many entries"}
	}
	for _, w := range t.Writes {
		if s.refusedKey != "" && w.Key.Sort == s.refusedKey {
			return 0, basilplatform.ErrRefused{Operation: "commit", Reason: "too long"}
		}
		if w.Kind != basilplatform.WriteKindCheck && w.Precondition == basilplatform.PreconditionVersion && s.rows[w.Key.Sort] != w.Version {
			return 0, basilplatform.ErrConditionFailed{Key: w.Key, Version: s.rows[w.Key.Sort]}
		}
	}
	s.version++
	for _, w := range t.Writes {
		switch w.Kind {
		case basilplatform.WriteKindPut:
			s.rows[w.Key.Sort] = s.version
			s.puts++
		case basilplatform.WriteKindDelete:
			delete(s.rows, w.Key.Sort)
		}
	}
	return s.version, nil
}

func newBackends(count int) []basilwork.Backend {
	list := make([]basilwork.Backend, 0, count)
	for n := range count {
		list = append(list, basilwork.Backend{ID: fmt.Sprintf("b%03d", n), Service: "s", Address: "10.0.0.1:80"})
	}
	return list
}

// writeAll commits transactions until nothing is left to write.
func writeAll(t *testing.T, r *recorder, used []basilwork.Backend, now time.Time) {
	for range 100 {
		w := r.nextWrite(used, now)
		if w.empty() {
			return
		}
		version, err := r.write(t.Context(), w)
		r.handleResult(w, version, err, now)
	}
	t.Fatal("rows are left to write after 100 transactions")
}

func newTestRecorder() (*recorder, *rowStore) {
	s := &rowStore{rows: make(map[string]int64)}
	r := newRecorder(s, "s", basilplatform.Write{Kind: basilplatform.WriteKindCheck})
	return &r, s
}

// TestRefusedRowDoesNotBlockOthers checks that all rows are stored except the one that the store refuses, and that this
// one is retried later.
func TestRefusedRowDoesNotBlockOthers(t *testing.T) {
	r, s := newTestRecorder()
	s.refusedKey = recordKeyPrefix + "b123"
	used, now := newBackends(700), time.Now()
	writeAll(t, r, used, now)
	must.Eq(t, 699, len(r.rows))
	must.False(t, r.stored("b123"))
	s.refusedKey = ""
	writeAll(t, r, used, now.Add(refusedRetryDelay))
	must.Eq(t, 700, len(r.rows))
}

// TestUnchangedRowsAreNotWrittenAgain checks that a row is written once, and again only after its backend server restarted.
func TestUnchangedRowsAreNotWrittenAgain(t *testing.T) {
	r, s := newTestRecorder()
	used, now := newBackends(10), time.Now()
	writeAll(t, r, used, now)
	writeAll(t, r, used, now.Add(deleteInterval))
	must.Eq(t, 10, s.puts)
	used[3].StartedAt = 1
	writeAll(t, r, used, now.Add(deleteInterval))
	must.Eq(t, 11, s.puts)
}

// TestRowsOfGoneBackendsAreDeletedLater checks that the rows of gone backend servers are deleted after a delay, and that
// the row of one that came back survives, even if a delete whose answer was lost is applied late.
func TestRowsOfGoneBackendsAreDeletedLater(t *testing.T) {
	r, s := newTestRecorder()
	used, now := newBackends(100), time.Now()
	writeAll(t, r, used, now)
	later := now.Add(deleteInterval)
	unanswered := r.nextWrite(used[:50], later)
	must.Eq(t, maxVersioned, len(unanswered.deletes))
	r.handleResult(unanswered, 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}, later)
	must.Eq(t, 50, len(r.rows))
	writeAll(t, r, used, later)
	must.Eq(t, 100, len(r.rows))
	_, err := r.write(t.Context(), unanswered)
	must.True(t, basilplatform.IsErrConditionFailed(err))
	writeAll(t, r, used[:50], later.Add(deleteInterval))
	writeAll(t, r, used[:50], later.Add(2*deleteInterval))
	must.Eq(t, 50, len(s.rows))
	must.Eq(t, 0, len(r.obsolete))
}

// TestEarlierLayoutIsMigrated checks that the single row of the earlier layout is read, and deleted once each of its
// backend servers has its own row.
func TestEarlierLayoutIsMigrated(t *testing.T) {
	r, s := newTestRecorder()
	s.rows[legacyListKey] = 1
	legacy := `{"b000":{"ID":"b000","Service":"s","Address":"10.0.0.1:80","Zone":"","Rack":"","Labels":null,"Room":{},"Born":7,"Clock":0,"Draining":false}}`
	list, err := r.load([]basilplatform.Item{{Key: basilplatform.Key{Partition: recordPartition("s"), Sort: legacyListKey}, Body: []byte(legacy)}})
	must.NoError(t, err)
	must.Eq(t, []basilwork.Backend{{ID: "b000", Service: "s", Address: "10.0.0.1:80", StartedAt: 7}}, list)
	must.False(t, r.stored("b000"))
	writeAll(t, r, list, time.Now())
	must.MapContainsKey(t, s.rows, recordKeyPrefix+"b000")
	must.MapNotContainsKey(t, s.rows, legacyListKey)
}

// TestLeaveKeepsRowsOfBackendsWithRuns checks that all other rows are deleted, which takes several transactions.
func TestLeaveKeepsRowsOfBackendsWithRuns(t *testing.T) {
	r, s := newTestRecorder()
	writeAll(t, r, newBackends(300), time.Now())
	must.NoError(t, r.deleteFinished(t.Context(), map[string]bool{"b007": true}))
	must.Eq(t, 1, len(s.rows))
	must.MapContainsKey(t, s.rows, recordKeyPrefix+"b007")
}
