package basilshard_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

// rowStore returns a store of the stand-in and a client of it, and the row of the shard's owner.
func rowStore(t *testing.T) (*basilfake.Store, *basilsite.Store, basilshard.OwnerRow) {
	t.Helper()
	network := &basilstandin.Network{}
	fake := &basilfake.Store{}
	network.Listen(basilfake.StoreAddress, http.HandlerFunc(fake.ServeHTTP))
	store := basilsite.NewStore(basilsite.NewClientOn(network), func() string { return basilfake.StoreAddress }, time.Second)
	version := must1(store.Commit(t.Context(), basilplatform.Transaction{Writes: []basilplatform.Write{{
		Kind: basilplatform.WriteKindPut, Key: basilshard.OwnerKey("stretch"), Precondition: basilplatform.PreconditionAbsent, Body: []byte("{}"),
	}}}))
	return fake, store, basilshard.OwnerRow{Version: version}
}

var rowKey = basilplatform.Key{Partition: "rows/stretch", Sort: "row"}

// TestRowLateWrite lets a write take effect after a later one was stored; the later one stays.
func TestRowLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, store, owner := rowStore(t)
		k := rowKey
		r := basilshard.NewRow(store, k, owner.Check("stretch"))
		must.NoError(t, r.Write(t.Context(), []byte("first")))
		fake.SetFaults(basilfake.StoreFaults{LateBy: 3 * time.Second})
		must.Error(t, r.Write(t.Context(), []byte("late")))
		fake.SetFaults(basilfake.StoreFaults{})
		must.NoError(t, r.Write(t.Context(), []byte("newest")))
		time.Sleep(5 * time.Second)
		must.Eq(t, "newest", string(must1(store.Get(t.Context(), k)).Body))
	})
}

// TestRowLateWriteFirst lets a write take effect without an answer before it is repeated.
func TestRowLateWriteFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, store, owner := rowStore(t)
		k := rowKey
		r := basilshard.NewRow(store, k, owner.Check("stretch"))
		fake.SetFaults(basilfake.StoreFaults{LoseAnswers: true})
		must.Error(t, r.Write(t.Context(), []byte("unknown")))
		fake.SetFaults(basilfake.StoreFaults{})
		must.NoError(t, r.Write(t.Context(), []byte("newest")))
		must.NoError(t, r.Write(t.Context(), []byte("after")))
		must.Eq(t, "after", string(must1(store.Get(t.Context(), k)).Body))
	})
}

// TestRowDeposed writes nothing once the shard has another owner.
func TestRowDeposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store, owner := rowStore(t)
		k := rowKey
		r := basilshard.NewRow(store, k, owner.Check("stretch"))
		must.NoError(t, r.Write(t.Context(), []byte("first")))
		must.NoError(t, store.Transact(context.Background(), basilplatform.Transaction{Writes: []basilplatform.Write{{
			Kind: basilplatform.WriteKindPut, Key: basilshard.OwnerKey("stretch"), Precondition: basilplatform.PreconditionNone, Body: []byte("{}"),
		}}}))
		must.True(t, basilplatform.IsErrConditionFailed(r.Write(t.Context(), []byte("second"))))
		must.Eq(t, "first", string(must1(store.Get(t.Context(), k)).Body))
	})
}
