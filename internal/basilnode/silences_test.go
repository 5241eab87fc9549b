package basilnode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilwork"
)

// TestSilentBackendIsUsedOnlyAfterItsSilenceIsRemoved checks that a backend server whose row tells a silence isn't used before a row without
// one is stored, also if the answer to the write of the silence was lost and that write is carried out last.
func TestSilentBackendIsUsedOnlyAfterItsSilenceIsRemoved(t *testing.T) {
	r, s := newTestRecorder()
	used, now := newBackends(3), time.Now()
	writeAll(t, r, used, now)
	r.silences["b001"] = silence{Epoch: 2, Until: 7000}
	must.False(t, r.inUse("b001"))
	late := r.nextWrite(used, now)
	must.Len(t, 1, late.silences)
	must.False(t, r.inUse("b001"), must.Sprint("the write is under way"))
	r.handleResult(late, 0, basilplatform.ErrOutcomeUnknown{Operation: "commit"}, now)
	delete(r.silences, "b001")
	must.False(t, r.inUse("b001"), must.Sprint("the write may be carried out yet"))
	writeAll(t, r, used, now)
	must.True(t, r.inUse("b001"))
	_, err := r.write(t.Context(), late)
	must.True(t, basilplatform.IsErrConditionFailed(err))
	must.Eq(t, 4, s.puts)
	must.True(t, r.inUse("b000"))
}

// TestStoredSilenceIsReadBySuccessor checks that a successor reads the silence, and that it doesn't write it again.
func TestStoredSilenceIsReadBySuccessor(t *testing.T) {
	r, s := newTestRecorder()
	used, now := newBackends(2), time.Now()
	writeAll(t, r, used, now)
	r.silences["b001"] = silence{Epoch: 2, Until: 7000}
	writeAll(t, r, used, now)
	must.Eq(t, 3, s.puts)
	successor, _ := newTestRecorder()
	list, err := successor.load([]basilplatform.Item{
		{Key: r.key("b001"), Version: 3, Body: []byte(`{"id":"b001","service":"s","address":"10.0.0.1:80","silent_epoch":2,"silent_until":7000}`)},
	})
	must.NoError(t, err)
	must.Eq(t, r.rows["b001"].silence, successor.rows["b001"].silence)
	successor.silences["b001"] = successor.rows["b001"].silence
	w := successor.nextWrite(list, now)
	must.True(t, w.empty())
	must.False(t, successor.inUse("b001"))
}

// TestSilenceIsTrustedOnlyIfAllOwnersSinceKeepSilences checks that an owner of a release that doesn't know silences makes those before it void.
func TestSilenceIsTrustedOnlyIfAllOwnersSinceKeepSilences(t *testing.T) {
	local := 10 * time.Second
	clock := basilwork.NewStoreClock(func() time.Duration { return local })
	_, known := silence{Epoch: 4, Until: 1}.left(clock, 4)
	must.False(t, known, must.Sprint("no reading of the store's clock"))
	clock.Record(100*time.Second, local-20*time.Millisecond)
	s := newSilence(clock, 4, 5*time.Second)
	must.Eq(t, silence{Epoch: 4, Until: 105021}, s, must.Sprint("the store's clock may be 20 ms ahead"))
	local += 2 * time.Second
	left, known := s.left(clock, 3)
	must.True(t, known)
	must.Eq(t, 3021*time.Millisecond, left)
	_, known = s.left(clock, 5)
	must.False(t, known)
	_, known = silence{}.left(clock, 0)
	must.False(t, known)
	local += time.Minute
	left, known = s.left(clock, 3)
	must.True(t, known)
	must.Zero(t, left)
}

// TestSilencesFitIntoTransactions checks that silences are stored though many servers of a large service fall silent at once, and each takes two of the
// 100 entries of a transaction.
func TestSilencesFitIntoTransactions(t *testing.T) {
	r, s := newTestRecorder()
	s.maxEntries = 100
	used, now := newBackends(300), time.Now()
	writeAll(t, r, used, now)
	for _, b := range used[:120] {
		r.silences[b.ID] = silence{Epoch: 2, Until: 7000}
	}
	writeAll(t, r, used, now)
	must.Zero(t, s.tooLarge)
	for n, b := range used {
		must.Eq(t, n < 120, r.rows[b.ID].silence == silence{Epoch: 2, Until: 7000})
	}
}
