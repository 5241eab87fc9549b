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

// control is a fake host control whose hosts reboot immediately. It records the
// requested reboots of hosts that are not in maintenance at the given epoch.
type control struct {
	mutex       sync.Mutex
	pools       *basilpool.Pools
	busy        map[string]bool
	rebooted    map[string]int64
	unexpected  []string
	rebootsHang bool // reboots never finish
}

func (c *control) Drained(_ context.Context, host string) (bool, error) { return !c.busy[host], nil }

func (c *control) Reboot(ctx context.Context, host string, epoch int64) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if h, err := c.pools.Host(ctx, host); err != nil || h.State() != basilmodel.HostStateMaintenance || h.Epoch() != epoch {
		c.unexpected = append(c.unexpected, host)
	}
	c.rebooted[host] = max(c.rebooted[host], epoch)
	return nil
}

func (c *control) Rebooted(_ context.Context, host string, epoch int64) (bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.rebooted[host] >= epoch && !c.rebootsHang, nil
}

// acks is a fake of the entry hosts' acknowledgements. Entry hosts in a cut-off
// data centre acknowledge nothing; all others have applied every epoch.
type acks struct{ cutOff map[string]bool }

func (a acks) Applied(h basilmodel.Host) bool { return !a.cutOff[h.DataCentre()] }

// crashTable is a table that can cancel its caller's context right after a write.
type crashTable struct {
	basilstandin.Table
	crash func() // called after the next transaction
}

func (c *crashTable) Transact(ctx context.Context, x basilplatform.Transaction) error {
	err := c.Table.Transact(ctx, x)
	if c.crash != nil {
		c.crash()
		c.crash = nil
	}
	return err
}

// fixture is a fleet with two pools in two data centres, stored in an in-memory table.
type fixture struct {
	table    crashTable
	trail    *basilaudit.Trail
	pools    *basilpool.Pools
	waves    *basilwave.Waves
	control  *control
	acks     acks
	verifier basilpool.Verifier
	running  map[string]bool // by wave, according to the audit trail
}

func newFixture(ctx context.Context, perPool, minAvailable int) (*fixture, error) {
	f := &fixture{acks: acks{cutOff: make(map[string]bool)}, running: make(map[string]bool)}
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

// configure sets the minimum of available hosts of both services and the pool of the second service.
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

// verifyEntry checks that the audit entry takes no host for a wave that isn't
// running, and records no host of a cut-off data centre as drained.
func (f *fixture) verifyEntry(e basilaudit.Entry) error {
	if len(e.Record().Detail) > 0 {
		var w basilmodel.Wave
		if err := json.Unmarshal(e.Record().Detail, &w); err != nil {
			return err
		}
		f.running[w.Name()] = w.State() == basilmodel.WaveStateRunning
	}
	for _, h := range e.Hosts() {
		forWave := h.Action() == basilpool.ActionDrain.String() || h.Action() == basilpool.ActionMaintain.String()
		if forWave && h.Wave() != "" && !f.running[h.Wave()] {
			return fmt.Errorf("host %s was drained or maintained for wave %s, which is not running", h.ID(), h.Wave())
		}
		if f.acks.cutOff[h.DataCentre()] && h.Action() == basilpool.ActionDrained.String() {
			return fmt.Errorf("host %s was recorded as drained while its data centre %s was cut off", h.ID(), h.DataCentre())
		}
	}
	return nil
}

// verify checks the new audit entries, and that the hosts in the table match the audit trail.
func (f *fixture) verify(ctx context.Context) error {
	entries, err := f.trail.After(ctx, f.verifier.Sequence(), 0)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := f.verifier.Add(e); err != nil {
			return err
		}
		if err := f.verifyEntry(e); err != nil {
			return err
		}
	}
	if len(f.control.unexpected) > 0 {
		return fmt.Errorf("hosts were rebooted while not in maintenance: %v", f.control.unexpected)
	}
	if len(entries) == 0 {
		return nil
	}
	return f.verifier.Compare(ctx, f.pools)
}
