package basilnode

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilshard"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilwork"
	"basilstage.example/basilstage/platform"
	"basilstage.example/basilstage/platform/basilfake"
)

// fleetOwners returns owners of the fleet in two epochs on a store without transactions over several partitions.
func fleetOwners(ctx context.Context) (deposed, successor *fleet) {
	network := &basilstandin.Network{}
	fake := &basilfake.Store{}
	fake.SetSinglePart()
	network.Listen(basilfake.StoreAddress, http.HandlerFunc(fake.ServeHTTP))
	store := basilsite.NewStore(basilsite.NewClientOn(network), func() string { return basilfake.StoreAddress }, time.Second)
	owner := func(epoch int64) *fleet {
		n := &Node{ctx: ctx, log: basillog.Discard(), metrics: newMetrics(nil), store: store, options: Options{SinglePartition: true}}
		n.activeConfiguration.Store(&basilwork.Configuration{Services: []basilwork.Service{{Name: "stretch"}}})
		return newFleet(n, basilshard.OwnerRow{Epoch: epoch, Version: epoch})
	}
	return owner(1), owner(2)
}

// request stores a request to the pool and returns the stored one once the owner has nothing left to write.
func (f *fleet) request(t *testing.T, a basilcapacity.EvacuationRequest) basilcapacity.EvacuationRequest {
	f.writeRequest("stretch", a)
	return f.stored(t)
}

// stored returns the stored request to the pool once the owner has nothing left to write.
func (f *fleet) stored(t *testing.T) basilcapacity.EvacuationRequest {
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		f.drain()
	}
	i, err := f.node.store.Get(t.Context(), fleetKey("stretch", requestSort))
	must.NoError(t, err)
	var stored basilcapacity.EvacuationRequest
	must.NoError(t, json.Unmarshal(i.Body, &stored))
	return stored
}

// TestDeposedFleetOwnerDoesNotUndoRequest checks that a deposed owner of the fleet that doesn't know of it yet can't replace its successor's
// request to a pool on a store without transactions over several partitions. Otherwise the pool would fill servers whose hosts are about
// to be ordered away.
func TestDeposedFleetOwnerDoesNotUndoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		deposed, successor := fleetOwners(ctx)
		asked := basilcapacity.EvacuationRequest{Serial: 1, Backends: map[string]int64{"i-1": 1}}
		must.Eq(t, 1, deposed.request(t, asked).Epoch)
		_, err := successor.tryLoad()
		must.NoError(t, err)
		asked.Serial, asked.Backends["i-2"] = 2, 2
		must.MapLen(t, 2, successor.request(t, asked).Backends)
		stored := deposed.request(t, basilcapacity.EvacuationRequest{Serial: 2})
		must.Eq(t, 2, stored.Epoch)
		must.MapLen(t, 2, stored.Backends)
		_, err = deposed.tryLoad()
		must.NoError(t, err)
		must.MapLen(t, 2, deposed.request(t, basilcapacity.EvacuationRequest{Serial: 3}).Backends)
	})
}

// TestSuccessorReplacesLateRequestOfDeposedFleetOwner checks that what a deposed owner of the fleet writes after its successor has loaded the
// requests doesn't last until the successor happens to write to the same pool, and that it can't add a request where there was none.
func TestSuccessorReplacesLateRequestOfDeposedFleetOwner(t *testing.T) {
	for _, late := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			deposed, successor := fleetOwners(ctx)
			_, err := successor.tryLoad()
			must.NoError(t, err)
			asked := basilcapacity.EvacuationRequest{Serial: 5, Backends: map[string]int64{"i-1": 5}}
			if late {
				must.MapLen(t, 1, deposed.request(t, asked).Backends)
			}
			successor.takeOverRequests()
			must.MapEmpty(t, successor.stored(t).Backends)
			stored := deposed.request(t, asked)
			must.MapEmpty(t, stored.Backends)
			must.Eq(t, 2, stored.Epoch)
			must.Greater(t, 5, stored.Serial)
		})
	}
}

// TestRequestOfEarlierRelease checks that a request that states no epoch is read and replaced.
func TestRequestOfEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, successor := fleetOwners(ctx)
		must.NoError(t, successor.node.store.Transact(ctx, basilplatform.Transaction{Writes: []basilplatform.Write{{
			Kind: basilplatform.WriteKindPut, Key: fleetKey("stretch", requestSort), Precondition: basilplatform.PreconditionNone,
			Body: []byte(`{"serial":7,"backends":{"i-1":7}}`),
		}}}))
		_, err := successor.tryLoad()
		must.NoError(t, err)
		must.Eq(t, 8, successor.request(t, basilcapacity.EvacuationRequest{Serial: 8}).Serial)
	})
}
