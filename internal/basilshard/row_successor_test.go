package basilshard_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

// written returns the body of a row as the writer of an epoch stores it.
func written(epoch int64, text string) []byte {
	return fmt.Appendf(nil, `{"epoch":%d,"text":%q}`, epoch, text)
}

// successorRows runs a test with the fake store and rows without checks, as on a store without transactions over several partitions.
func successorRows(t *testing.T, f func(t *testing.T, fake *basilfake.Store, store *basilsite.Store, predecessor, successor *basilshard.Row)) {
	synctest.Test(t, func(t *testing.T) {
		fake, store, _ := rowStore(t)
		f(t, fake, store, basilshard.NewRow(store, rowKey), basilshard.NewRow(store, rowKey))
	})
}

// TestRowOfPredecessorDoesNotOverwriteSuccessor checks that a row without checks keeps what a successor has written since.
func TestRowOfPredecessorDoesNotOverwriteSuccessor(t *testing.T) {
	successorRows(t, func(t *testing.T, _ *basilfake.Store, store *basilsite.Store, predecessor, successor *basilshard.Row) {
		must.NoError(t, predecessor.Write(t.Context(), written(1, "predecessor")))
		successor.SetStored(must1(store.Get(t.Context(), rowKey)))
		must.NoError(t, successor.Write(t.Context(), written(2, "successor")))
		for range 2 {
			must.True(t, basilshard.IsErrSuperseded(predecessor.Write(t.Context(), written(1, "predecessor again"))))
			must.Eq(t, written(2, "successor"), must1(store.Get(t.Context(), rowKey)).Body)
		}
		must.NoError(t, successor.Write(t.Context(), written(2, "successor again")))
	})
}

// TestDeposedWriterThatReadsSuccessorsRow checks that a row that was read from a successor isn't overwritten either.
func TestDeposedWriterThatReadsSuccessorsRow(t *testing.T) {
	successorRows(t, func(t *testing.T, _ *basilfake.Store, store *basilsite.Store, predecessor, successor *basilshard.Row) {
		must.NoError(t, successor.Write(t.Context(), written(2, "successor")))
		predecessor.SetStored(must1(store.Get(t.Context(), rowKey)))
		must.True(t, basilshard.IsErrSuperseded(predecessor.Write(t.Context(), written(1, "predecessor"))))
		must.Eq(t, written(2, "successor"), must1(store.Get(t.Context(), rowKey)).Body)
	})
}

// TestSuccessorOverwritesPredecessorsRow checks that a successor replaces what its predecessor has written since it read the row, also
// if an earlier release wrote it, which states no epoch.
func TestSuccessorOverwritesPredecessorsRow(t *testing.T) {
	for _, before := range [][]byte{written(1, "predecessor"), []byte(`{"serial":3}`), []byte("not JSON")} {
		successorRows(t, func(t *testing.T, _ *basilfake.Store, store *basilsite.Store, _, successor *basilshard.Row) {
			must.NoError(t, store.Transact(t.Context(), basilplatform.Transaction{Writes: []basilplatform.Write{{
				Kind: basilplatform.WriteKindPut, Key: rowKey, Precondition: basilplatform.PreconditionNone, Body: before,
			}}}))
			must.NoError(t, successor.Write(t.Context(), written(2, "successor")))
			must.Eq(t, written(2, "successor"), must1(store.Get(t.Context(), rowKey)).Body)
		})
	}
}

// TestRowWithoutChecksAfterUnansweredWrite checks that a writer isn't stopped by its own write that took effect without an answer, and that
// a late one overwrites nothing.
func TestRowWithoutChecksAfterUnansweredWrite(t *testing.T) {
	successorRows(t, func(t *testing.T, fake *basilfake.Store, store *basilsite.Store, predecessor, successor *basilshard.Row) {
		fake.SetFaults(basilfake.StoreFaults{LateBy: afterTimeout})
		must.Error(t, predecessor.Write(t.Context(), written(1, "unknown")))
		fake.SetFaults(basilfake.StoreFaults{})
		time.Sleep(afterTimeout)
		must.Eq(t, written(1, "unknown"), must1(store.Get(t.Context(), rowKey)).Body)
		must.NoError(t, predecessor.Write(t.Context(), written(1, "newest")))
		fake.SetFaults(basilfake.StoreFaults{LateBy: 3 * time.Second})
		must.Error(t, predecessor.Write(t.Context(), written(1, "late")))
		fake.SetFaults(basilfake.StoreFaults{})
		must.NoError(t, successor.Write(t.Context(), written(2, "successor")))
		time.Sleep(5 * time.Second)
		must.Eq(t, written(2, "successor"), must1(store.Get(t.Context(), rowKey)).Body)
	})
}
