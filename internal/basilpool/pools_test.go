package basilpool_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
)

var ann = basilaudit.Actor{Operator: "ann", Reason: "test"}

// fleet is a set of pools on an in-memory table, with a verifier for its trail.
type fleet struct {
	table    basilstandin.Table
	trail    *basilaudit.Trail
	pools    *basilpool.Pools
	verifier basilpool.Verifier
}

func newFleet() *fleet {
	f := &fleet{}
	f.trail = basilaudit.NewTrail(&f.table)
	f.pools = basilpool.NewPools(f.trail)
	return f
}

func (f *fleet) apply(ctx context.Context, pools []basilmodel.Pool, services ...basilmodel.Service) error {
	c, _, err := basilconfig.Current(ctx, &f.table)
	if err != nil {
		return err
	}
	_, err = basilconfig.Apply(ctx, f.trail, c.Revision(), basilmodel.ConfigurationRecord{Pools: pools, Services: services}, ann)
	return err
}

func (f *fleet) register(ctx context.Context, pool string, ids ...string) error {
	for _, id := range ids {
		if _, err := f.pools.Register(ctx, basilplatform.ListedHost{ID: id, DataCentre: "dc", Rack: "r", Pool: pool}, ann); err != nil {
			return err
		}
	}
	return nil
}

// twoPools returns a fleet with hosts a1 to a3 in pool a, where service s requires 2 available hosts, and b1 in pool b.
func twoPools(t *testing.T) *fleet {
	f := newFleet()
	must.NoError(t, f.apply(t.Context(), []basilmodel.Pool{{Name: "a"}, {Name: "b"}}, basilmodel.Service{Name: "s", Pool: "a", MinAvailable: 2}))
	must.NoError(t, f.register(t.Context(), "a", "a1", "a2", "a3"))
	must.NoError(t, f.register(t.Context(), "b", "b1"))
	return f
}

// verify checks the trail, and that the table matches it.
func (f *fleet) verify(ctx context.Context) error { return f.verifier.Check(ctx, f.pools) }

// command runs one command on the host, with the current epoch if it requires one.
func (f *fleet) command(ctx context.Context, a basilpool.Action, host, target string, by basilaudit.Actor) (basilmodel.Host, error) {
	h, err := f.pools.Host(ctx, host)
	if err != nil {
		return h, err
	}
	switch a {
	case basilpool.ActionRegister:
		return f.pools.Register(ctx, basilplatform.ListedHost{ID: host, DataCentre: "dc", Rack: "r", Pool: "a"}, by)
	case basilpool.ActionMove:
		return f.pools.Move(ctx, host, target, by)
	case basilpool.ActionDrain:
		return f.pools.Drain(ctx, host, by)
	case basilpool.ActionDrained:
		return f.pools.Drained(ctx, host, h.Epoch(), by)
	case basilpool.ActionMaintain:
		return f.pools.Maintain(ctx, host, h.Epoch(), by)
	case basilpool.ActionFinish:
		return f.pools.Finish(ctx, host, h.Epoch(), by)
	case basilpool.ActionReturn:
		return f.pools.Return(ctx, host, by)
	case basilpool.ActionFail:
		return f.pools.Fail(ctx, host, by)
	}
	return f.pools.Remove(ctx, host, by)
}

// TestEachActionInEachState compares the result of every command in every host state with a golden file.
func TestEachActionInEachState(t *testing.T) {
	move, drain, drained := basilpool.ActionMove, basilpool.ActionDrain, basilpool.ActionDrained
	states := []struct {
		name string
		by   []basilpool.Action
	}{
		{"active", nil},
		{"leaving for a move", []basilpool.Action{move}},
		{"leaving for maintenance", []basilpool.Action{drain}},
		{"drained for a move", []basilpool.Action{move, drained}},
		{"drained for maintenance", []basilpool.Action{drain, drained}},
		{"maintenance", []basilpool.Action{drain, drained, basilpool.ActionMaintain}},
		{"failed", []basilpool.Action{basilpool.ActionFail}},
	}
	var text strings.Builder
	for _, w := range states {
		for _, a := range basilpool.ActionValues() {
			f := twoPools(t)
			for _, by := range w.by {
				_, err := f.command(t.Context(), by, "a1", "b", ann)
				must.NoError(t, err)
			}
			h, err := f.command(t.Context(), a, "a1", "b", ann)
			if err != nil {
				fmt.Fprintf(&text, "%s + %s: %s\n", w.name, a, err)
			} else {
				fmt.Fprintf(&text, "%s + %s: %s in pool %s, target %q, cause %s\n", w.name, a, h.State(), h.Pool(), h.Target(), h.Cause())
			}
			must.NoError(t, f.verify(t.Context()))
		}
	}
	goldie.New(t).Assert(t, "actions", []byte(text.String()))
}

func TestPlannedChangesKeepBudgets(t *testing.T) {
	pools := []basilmodel.Pool{{Name: "a"}, {Name: "b"}}
	service := func(pool string, available int) basilmodel.Service {
		return basilmodel.Service{Name: "s", Pool: pool, MinAvailable: available}
	}
	drain := func(f *fleet, ctx context.Context, id string) error {
		_, err := f.pools.Drain(ctx, id, ann)
		return err
	}
	tests := []struct {
		name   string
		before func(f *fleet, ctx context.Context) error
		then   func(f *fleet, ctx context.Context) error
		check  func(error) bool
	}{
		{"one host may be drained", nil, func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a1") }, nil},
		{
			"a second host may not be drained", func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a1") },
			func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a2") }, basilpool.IsErrBudgetExceeded,
		},
		{
			"moves and drains share the budget", func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a1") },
			func(f *fleet, ctx context.Context) error { _, err := f.pools.Move(ctx, "a2", "b", ann); return err }, basilpool.IsErrBudgetExceeded,
		},
		{
			"a failure counts against planned work", func(f *fleet, ctx context.Context) error { _, err := f.pools.Fail(ctx, "a1", ann); return err },
			func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a2") }, basilpool.IsErrBudgetExceeded,
		},
		{
			"a failure is recorded even if it exceeds the budget", func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a1") },
			func(f *fleet, ctx context.Context) error { _, err := f.pools.Fail(ctx, "a2", ann); return err }, nil,
		},
		{
			"a raised budget stops planned work", func(f *fleet, ctx context.Context) error { return f.apply(ctx, pools, service("a", 4)) },
			func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a1") }, basilpool.IsErrBudgetExceeded,
		},
		{
			"a service reassigned to the pool counts", func(f *fleet, ctx context.Context) error { return f.apply(ctx, pools, service("b", 1)) },
			func(f *fleet, ctx context.Context) error { return drain(f, ctx, "b1") }, basilpool.IsErrBudgetExceeded,
		},
		{
			"a service reassigned to another pool does not count", func(f *fleet, ctx context.Context) error { return f.apply(ctx, pools, service("b", 1)) },
			func(f *fleet, ctx context.Context) error { return drain(f, ctx, "a1") }, nil,
		},
		{"a move must leave the pool its minimum size", func(f *fleet, ctx context.Context) error {
			return f.apply(ctx, []basilmodel.Pool{{Name: "a", MinHosts: 3}, {Name: "b"}}, service("a", 0))
		}, func(f *fleet, ctx context.Context) error { _, err := f.pools.Move(ctx, "a1", "b", ann); return err }, basilpool.IsErrPoolTooSmall},
		{
			"a move needs a declared pool", nil,
			func(f *fleet, ctx context.Context) error { _, err := f.pools.Move(ctx, "a1", "c", ann); return err }, basilpool.IsErrPoolNotExist,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := twoPools(t)
			if tt.before != nil {
				must.NoError(t, tt.before(f, t.Context()))
			}
			err := tt.then(f, t.Context())
			if tt.check == nil {
				must.NoError(t, err)
			} else {
				must.True(t, tt.check(err), must.Sprint(err))
			}
			must.NoError(t, f.verify(t.Context()))
		})
	}
}

func TestOnlyOneConcurrentCommandSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := twoPools(t)
		var group sync.WaitGroup
		results := make([]error, 6)
		for n := range results {
			group.Go(func() {
				a := basilaudit.Actor{Operator: fmt.Sprintf("operator %d", n)}
				_, results[n] = f.command(t.Context(), []basilpool.Action{basilpool.ActionMove, basilpool.ActionDrain}[n%2], "a1", "b", a)
			})
		}
		group.Wait()
		won := 0
		for _, err := range results {
			if err == nil {
				won++
				continue
			}
			must.True(t, basilpool.IsErrHostConflict(err), must.Sprint(err))
		}
		must.EqOp(t, 1, won)
		must.NoError(t, f.verify(t.Context()))
	})
}

func TestRepeatedCommandIsOneChange(t *testing.T) {
	f := twoPools(t)
	a := basilaudit.Actor{Operator: "ann", Command: "c1"}
	first, err := f.pools.Drain(t.Context(), "a1", a)
	must.NoError(t, err)
	again, err := f.pools.Drain(t.Context(), "a1", a) // it would be refused as a new command
	must.NoError(t, err)
	must.Eq(t, first.Record(), again.Record())
	_, err = f.pools.Return(t.Context(), "a1", a)
	must.True(t, basilconfig.IsErrCommandReused(err), must.Sprint(err))
	must.NoError(t, f.verify(t.Context()))
}

func TestCommandWithStaleEpochIsRefused(t *testing.T) {
	f := twoPools(t)
	h, err := f.pools.Move(t.Context(), "a1", "b", ann)
	must.NoError(t, err)
	stale := h.Epoch()
	_, err = f.pools.Return(t.Context(), "a1", ann)
	must.NoError(t, err)
	_, err = f.pools.Drain(t.Context(), "a1", ann) // leaving again, now for maintenance
	must.NoError(t, err)
	for _, call := range []func(context.Context, string, int64, basilaudit.Actor) (basilmodel.Host, error){
		f.pools.Drained, f.pools.Maintain, f.pools.Finish,
	} {
		for _, epoch := range []int64{stale, 0} {
			_, err := call(t.Context(), "a1", epoch, ann)
			must.True(t, basilpool.IsErrHostStale(err), must.Sprint(err))
		}
	}
	must.NoError(t, f.verify(t.Context()))
}

func TestReregisteredHostContinuesAboveItsEpochs(t *testing.T) {
	f := twoPools(t)
	before, err := f.pools.Fail(t.Context(), "a1", ann)
	must.NoError(t, err)
	_, err = f.pools.Remove(t.Context(), "a1", ann)
	must.NoError(t, err)
	must.NoError(t, f.register(t.Context(), "b", "a1"))
	after, err := f.pools.Host(t.Context(), "a1")
	must.NoError(t, err)
	must.Greater(t, before.Epoch(), after.Epoch())
	must.NoError(t, f.verify(t.Context()))
}
