package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	firstTask  = "j.0.0.0"
	secondTask = "j.0.0.1"
)

// newListed returns a recorder whose row of b000 lists the first task.
func newListed(t *testing.T) (*recorder, []basilwork.Backend, time.Time) {
	t.Helper()
	r, _ := newTestRecorder()
	used, now := newBackends(1), time.Now()
	writeAll(t, r, used, now)
	must.True(t, r.admits("b000", secondTask), must.Sprint("a row without a list makes successors wait with all tasks"))
	r.lists["b000"] = newRunList(2, []basilwork.TaskID{{Job: "j"}})
	writeAll(t, r, used, now)
	must.True(t, r.admits("b000", firstTask))
	must.False(t, r.admits("b000", secondTask))
	must.True(t, r.inUse("b000"))
	return r, used, now
}

// TestRunIsNotStartedBeforeSuccessorsKnowOfIt checks that a task isn't started on a backend server whose stored list may lack it: while a write adds
// or removes it, and after one whose outcome isn't known, which may be carried out late.
func TestRunIsNotStartedBeforeSuccessorsKnowOfIt(t *testing.T) {
	r, used, now := newListed(t)
	r.lists["b000"] = newRunList(2, []basilwork.TaskID{{Job: "j", Index: 1}})
	late := r.nextWrite(used, now)
	must.Len(t, 1, late.lists)
	must.False(t, r.admits("b000", firstTask), must.Sprint("the write removes it"))
	must.False(t, r.admits("b000", secondTask), must.Sprint("the write may fail"))
	must.True(t, r.inUse("b000"), must.Sprint("leases are extended meanwhile"))
	r.handleResult(late, 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}, now)
	must.False(t, r.admits("b000", firstTask))
	must.False(t, r.admits("b000", secondTask))
	must.True(t, r.inUse("b000"))
	w := r.nextWrite(used, now.Add(storeRetryDelay))
	must.Len(t, 1, w.puts)
	must.Eq(t, runList{}, w.puts[0].runList)
	writeAll(t, r, used, now.Add(storeRetryDelay))
	must.True(t, r.admits("b000", secondTask))
	must.False(t, r.admits("b000", firstTask))
	_, err := r.write(t.Context(), late)
	must.True(t, basilplatform.IsErrConditionFailed(err))
}

// TestRowOfRestartedBackendListsItsRuns checks that a row that is put anew, which delayed writes may replace, has no list at first.
func TestRowOfRestartedBackendListsItsRuns(t *testing.T) {
	r, used, now := newListed(t)
	used[0].StartedAt = 1
	w := r.nextWrite(used, now)
	must.Len(t, 1, w.puts)
	must.Eq(t, runList{}, w.puts[0].runList)
	writeAll(t, r, used, now)
	must.Eq(t, firstTask, r.rows["b000"].Runs)
}

// TestListsAreWrittenWhileRowsArePut checks that lists don't wait until no backend server is without a row.
func TestListsAreWrittenWhileRowsArePut(t *testing.T) {
	r, _, now := newListed(t)
	r.lists["b000"] = newRunList(2, []basilwork.TaskID{{Job: "j", Index: 1}})
	used := newBackends(3 * maxPuts)
	for range 2 {
		w := r.nextWrite(used, now)
		version, err := r.write(t.Context(), w)
		r.handleResult(w, version, err, now)
	}
	must.True(t, r.admits("b000", secondTask))
}

// TestListsAreTrustedOnlyIfAllOwnersSinceKeepThem checks that an owner of a release that doesn't know the lists makes those before it void.
func TestListsAreTrustedOnlyIfAllOwnersSinceKeepThem(t *testing.T) {
	for _, c := range []struct {
		since  int64
		listed bool
	}{{2, true}, {4, true}, {5, false}} {
		r, _ := newTestRecorder()
		r.listsSince = c.since
		_, err := r.load([]basilplatform.Item{{Key: r.key("b000"), Version: 3, Body: []byte(`{"id":"b000","address":"a","runs_epoch":4,"runs":"j.0.0.0 j.0.0.1"}`)}})
		must.NoError(t, err)
		tasks, listed := r.rows["b000"].tasks()
		must.Eq(t, c.listed, listed)
		if listed {
			must.Eq(t, []basilwork.TaskID{{Job: "j"}, {Job: "j", Index: 1}}, tasks)
		}
	}
}

// TestLongListIsNotStored checks that the row of a backend server with too many tasks makes successors wait with all.
func TestLongListIsNotStored(t *testing.T) {
	tasks := make([]basilwork.TaskID, maxListedRuns+1)
	_, listed := newRunList(2, tasks).tasks()
	must.False(t, listed)
	_, listed = newRunList(2, nil).tasks()
	must.True(t, listed)
}

// TestListsFitIntoTransactions checks that the lists of a large service are stored though each takes two of the 100 entries of a transaction.
func TestListsFitIntoTransactions(t *testing.T) {
	r, s := newTestRecorder()
	s.maxEntries = 100
	used, now := newBackends(300), time.Now()
	writeAll(t, r, used, now)
	for _, b := range used {
		r.lists[b.ID] = newRunList(2, []basilwork.TaskID{{Job: "j"}})
	}
	writeAll(t, r, used, now)
	must.Zero(t, s.tooLarge)
	for _, b := range used {
		must.False(t, r.admits(b.ID, secondTask))
		must.True(t, r.admits(b.ID, firstTask))
	}
}
