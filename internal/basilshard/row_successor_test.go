package basilshard_test

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilshard"
)

// TestRowOfPredecessorDoesNotOverwriteSuccessor checks that a row without checks, as on a store without transactions over several
// partitions, keeps what a successor has written since.
func TestRowOfPredecessorDoesNotOverwriteSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store, _ := rowStore(t)
		predecessor := basilshard.NewRow(store, rowKey)
		must.NoError(t, predecessor.Write(t.Context(), []byte("predecessor")))
		successor := basilshard.NewRow(store, rowKey)
		successor.SetVersion(must1(store.Get(t.Context(), rowKey)).Version)
		must.NoError(t, successor.Write(t.Context(), []byte("successor")))
		_ = predecessor.Write(t.Context(), []byte("predecessor again"))
		must.Eq(t, "successor", string(must1(store.Get(t.Context(), rowKey)).Body))
	})
}
