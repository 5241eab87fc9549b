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

// rowStore returns a fake store, a client for it, and the stored owner row of a shard.
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

// afterTimeout is a time after which a write is carried out that its writer no longer waits for, or looks for.
const afterTimeout = 1200 * time.Millisecond

var rowKey = basilplatform.Key{Partition: "rows/stretch", Sort: "row"}

// TestRowLateWrite checks that a write that takes effect late doesn't overwrite a later one.
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

// TestRowWriteAfterUnansweredWrite checks that writes succeed after one that took effect without an answer.
func TestRowWriteAfterUnansweredWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake, store, owner := rowStore(t)
		k := rowKey
		r := basilshard.NewRow(store, k, owner.Check("stretch"))
		fake.SetFaults(basilfake.StoreFaults{LateBy: afterTimeout})
		must.Error(t, r.Write(t.Context(), []byte("unknown")))
		fake.SetFaults(basilfake.StoreFaults{})
		time.Sleep(afterTimeout)
		must.Eq(t, "unknown", string(must1(store.Get(t.Context(), k)).Body))
		must.NoError(t, r.Write(t.Context(), []byte("newest")))
		must.NoError(t, r.Write(t.Context(), []byte("after")))
		must.Eq(t, "after", string(must1(store.Get(t.Context(), k)).Body))
	})
}

// TestRowOwnerChanged checks that nothing is written after the shard's owner row has changed.
func TestRowOwnerChanged(t *testing.T) {
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
