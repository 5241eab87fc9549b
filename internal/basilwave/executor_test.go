package basilwave_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilwave"
)

// control is a host control whose hosts hold no work and reboot at once.
type control struct{ rebooted map[string]int64 }

func (c *control) Drained(context.Context, string) (bool, error) { return true, nil }

func (c *control) Reboot(_ context.Context, host string, epoch int64) error {
	c.rebooted[host] = max(c.rebooted[host], epoch)
	return nil
}

func (c *control) Rebooted(_ context.Context, host string, epoch int64) (bool, error) {
	return c.rebooted[host] >= epoch, nil
}

type acks struct{ cut map[string]bool }

func (a acks) Applied(h basilmodel.Host) bool { return !a.cut[h.DataCentre()] }

// fixture is a fleet of two pools on an in-memory table.
type fixture struct {
	table   basilstandin.Table
	pools   *basilpool.Pools
	waves   *basilwave.Waves
	control *control
	acks    acks
}

var ann = basilaudit.Actor{Operator: "ann", Reason: "test"}

func newFixture(t *testing.T, perPool, minAvailable int) *fixture {
	f := &fixture{control: &control{rebooted: make(map[string]int64)}, acks: acks{cut: make(map[string]bool)}}
	trail := basilaudit.NewTrail(&f.table)
	f.pools = basilpool.NewPools(trail)
	f.waves = basilwave.NewWaves(trail)
	_, err := basilconfig.Apply(t.Context(), trail, 0, basilmodel.ConfigurationRecord{
		Pools:    []basilmodel.Pool{{Name: "a"}, {Name: "b"}},
		Services: []basilmodel.Service{{Name: "sa", Pool: "a", MinAvailable: minAvailable}, {Name: "sb", Pool: "b", MinAvailable: minAvailable}},
	}, ann)
	must.NoError(t, err)
	for n := range 2 * perPool {
		_, err := f.pools.Register(t.Context(), basilplatform.ListedHost{
			ID: fmt.Sprintf("h%02d", n), DataCentre: fmt.Sprintf("dc%d", n%2), Rack: fmt.Sprintf("r%d", n/4), Pool: []string{"a", "b"}[n/2%2],
		}, ann)
		must.NoError(t, err)
	}
	return f
}

func (f *fixture) executor() *basilwave.Executor {
	return basilwave.NewExecutor(f.pools, f.waves, f.control, f.acks)
}

func (f *fixture) run(t *testing.T, passes int, x ...*basilwave.Executor) {
	for range passes {
		for _, e := range x {
			_, err := e.Step(t.Context())
			must.NoError(t, err)
		}
		time.Sleep(time.Second)
	}
}

func TestWaveAndMoveRunToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 8, 6)
		_, err := f.pools.Move(t.Context(), "h00", "b", ann)
		must.NoError(t, err)
		_, err = f.waves.Create(t.Context(), basilmodel.WaveRecord{Name: "w"}, ann)
		must.NoError(t, err)
		_, err = f.waves.Start(t.Context(), "w", ann)
		must.NoError(t, err)
		f.run(t, 120, f.executor(), f.executor())
		w, err := f.waves.Wave(t.Context(), "w")
		must.NoError(t, err)
		must.EqOp(t, basilmodel.WaveStateDone, w.State())
		hosts, err := f.pools.Hosts(t.Context())
		must.NoError(t, err)
		for _, h := range hosts {
			must.EqOp(t, "w", h.Serviced())
			must.EqOp(t, basilmodel.HostStateActive, h.State())
		}
		must.EqOp(t, "b", hosts[0].Pool())
	})
}
