package basilwave_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilwave"
)

var ann = basilaudit.Actor{Operator: "ann", Reason: "test"}

// control is a host control whose hosts reboot at once; it notes reboots of hosts that are not in maintenance.
type control struct {
	mutex    sync.Mutex
	pools    *basilpool.Pools
	busy     map[string]bool
	rebooted map[string]int64
	wrong    []string
	stuck    bool // reboots never end
}

func (c *control) Drained(_ context.Context, host string) (bool, error) { return !c.busy[host], nil }

func (c *control) Reboot(ctx context.Context, host string, epoch int64) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if h, err := c.pools.Host(ctx, host); err != nil || h.State() != basilmodel.HostStateMaintenance || h.Epoch() != epoch {
		c.wrong = append(c.wrong, host)
	}
	c.rebooted[host] = max(c.rebooted[host], epoch)
	return nil
}

func (c *control) Rebooted(_ context.Context, host string, epoch int64) (bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rebooted[host] >= epoch && !c.stuck, nil
}

// acks answers for the entry members; those of a cut-off data centre have applied nothing.
type acks struct{ cut map[string]bool }

func (a acks) Applied(h basilmodel.Host) bool { return !a.cut[h.DataCentre()] }

// crashTable is a table that can end its caller right after a write has taken effect.
type crashTable struct {
	basilstandin.Table
	crash func() // called once
}

func (c *crashTable) Transact(ctx context.Context, x basilplatform.Transaction) error {
	err := c.Table.Transact(ctx, x)
	if c.crash != nil {
		c.crash()
		c.crash = nil
	}
	return err
}

// fixture is a fleet of two pools in two data centres on an in-memory table.
type fixture struct {
	table    crashTable
	trail    *basilaudit.Trail
	pools    *basilpool.Pools
	waves    *basilwave.Waves
	control  *control
	acks     acks
	verifier basilpool.Verifier
	running  map[string]bool // waves, as the trail tells
}

func newFixture(ctx context.Context, perPool, minAvailable int) (*fixture, error) {
	f := &fixture{acks: acks{cut: make(map[string]bool)}, running: make(map[string]bool)}
	f.trail = basilaudit.NewTrail(&f.table)
	f.pools = basilpool.NewPools(f.trail)
	f.waves = basilwave.NewWaves(f.trail)
	f.control = &control{pools: f.pools, busy: make(map[string]bool), rebooted: make(map[string]int64)}
	if err := f.configure(ctx, minAvailable, "b"); err != nil {
		return nil, err
	}
	for n := range 2 * perPool {
		_, err := f.pools.Register(ctx, basilplatform.ListedHost{
			ID: fmt.Sprintf("h%02d", n), DataCentre: fmt.Sprintf("dc%d", n/4%2), Rack: fmt.Sprintf("r%d", n/4), Pool: []string{"a", "b"}[n/2%2],
		}, ann)
		if err != nil {
			return nil, err
		}
	}
	return f, nil
}

// configure sets what the services keep and the pool of the second one.
func (f *fixture) configure(ctx context.Context, minAvailable int, second string) error {
	c, _, err := basilconfig.Current(ctx, &f.table)
	if err != nil {
		return err
	}
	_, err = basilconfig.Apply(ctx, f.trail, c.Revision(), basilmodel.ConfigurationRecord{
		Pools: []basilmodel.Pool{{Name: "a"}, {Name: "b"}},
		Services: []basilmodel.Service{
			{Name: "sa", Pool: "a", MinAvailable: minAvailable}, {Name: "sb", Pool: second, MinAvailable: minAvailable},
		},
	}, ann)
	return err
}

func (f *fixture) executor() *basilwave.Executor {
	return basilwave.NewExecutor(f.pools, f.waves, f.control, f.acks)
}

func (f *fixture) start(ctx context.Context, r basilmodel.WaveRecord) error {
	if _, err := f.waves.Create(ctx, r, ann); err != nil {
		return err
	}
	_, err := f.waves.Start(ctx, r.Name, ann)
	return err
}

// verifyWave checks what the trail's entry says of waves and of data centres that are cut off.
func (f *fixture) verifyWave(e basilaudit.Entry) error {
	if len(e.Record().Detail) > 0 {
		var w basilmodel.Wave
		if err := json.Unmarshal(e.Record().Detail, &w); err != nil {
			return err
		}
		f.running[w.Name()] = w.State() == basilmodel.WaveStateRunning
	}
	for _, h := range e.Hosts() {
		takes := h.Action() == basilpool.ActionDrain.String() || h.Action() == basilpool.ActionMaintain.String()
		if takes && h.Wave() != "" && !f.running[h.Wave()] {
			return fmt.Errorf("host %s was taken on by wave %s, which did not run", h.ID(), h.Wave())
		}
		if f.acks.cut[h.DataCentre()] && h.Action() == basilpool.ActionDrained.String() {
			return fmt.Errorf("host %s of the cut-off %s was drained", h.ID(), h.DataCentre())
		}
	}
	return nil
}

// verify checks the trail's new entries and that the table agrees with the trail.
func (f *fixture) verify(ctx context.Context) error {
	entries, err := f.trail.After(ctx, f.verifier.Sequence(), 0)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := f.verifier.Add(e); err != nil {
			return err
		}
		if err := f.verifyWave(e); err != nil {
			return err
		}
	}
	if len(f.control.wrong) > 0 {
		return fmt.Errorf("rebooted while not in maintenance: %v", f.control.wrong)
	}
	if len(entries) == 0 {
		return nil
	}
	return f.verifier.Compare(ctx, f.pools)
}
