package basilwave_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilwave"
)

// events are what may befall a transaction on its way to the table.
var events = []string{"none", "none", "race", "race", "rival", "down", "lose answer", "lose write", "kill before", "kill after"}

// hostsPerPool is the size of each of the two pools.
const hostsPerPool = 6

// settledPasses is how many passes with nothing done show that nothing is left
// to do; they outlast the grace of a leaving host.
const settledPasses = 5

// frozen is an order that its holder froze with.
type frozen struct{ order basilpool.Order }

// machine is the state machine of operators, executors and faults on one fleet.
type machine struct {
	*fixture
	ctx       context.Context
	executors []*basilwave.Executor
	asleep    []frozen
	waveCount int
	racing    bool // a rival's command runs inside a transaction
}

// under runs the call with the drawn events befalling its transactions, and
// reports whether the caller was killed on the way.
func (m *machine) under(t *rapid.T, call func(ctx context.Context) error) (killed bool) {
	plan := rapid.SliceOfN(rapid.SampledFrom(events), 0, 4).Draw(t, "events")
	ctx, kill := context.WithCancel(m.ctx)
	defer kill()
	m.table.SetHook(func(basilplatform.Transaction) basilstandin.TableFaults {
		if m.racing || len(plan) == 0 {
			return basilstandin.TableFaults{}
		}
		event := plan[0]
		plan = plan[1:]
		switch event {
		case "race":
			m.racing = true
			m.operate(m.ctx, t)
			m.racing = false
		case "rival":
			m.racing = true
			_, err := m.executors[0].Step(m.ctx)
			must.NoError(t, err)
			m.racing = false
		case "down":
			return basilstandin.TableFaults{Down: true}
		case "lose answer":
			return basilstandin.TableFaults{LoseAnswers: true}
		case "lose write":
			return basilstandin.TableFaults{LoseWrites: true}
		case "kill before":
			killed = true
			kill()
		case "kill after": // the write takes effect, and nobody is left to resolve it
			killed = true
			m.table.crash = kill
			return basilstandin.TableFaults{LoseAnswers: true}
		}
		return basilstandin.TableFaults{}
	})
	err := call(ctx)
	m.table.SetHook(nil)
	if err != nil && !expected(err) {
		t.Fatalf("unexpected failure: %+v", err)
	}
	return killed
}

// expected tells whether operators and executors are prepared for the error.
func expected(err error) bool {
	for _, is := range []func(error) bool{
		basilplatform.IsErrUnavailable, basilaudit.IsErrChangeUnknown, basilaudit.IsErrContended,
		basilpool.IsErrBudgetExceeded, basilpool.IsErrHostConflict, basilpool.IsErrHostNotExist, basilpool.IsErrHostStale,
		basilpool.IsErrPoolSame, basilpool.IsErrPoolTooSmall, basilwave.IsErrWaveConflict, basilwave.IsErrWaveNotExist,
		basilconfig.IsErrRevisionConflict,
	} {
		if is(err) {
			return true
		}
	}
	return false
}

func drawHost(t *rapid.T) string {
	return fmt.Sprintf("h%02d", rapid.IntRange(0, 2*hostsPerPool-1).Draw(t, "host"))
}

func drawPool(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b"}).Draw(t, "pool") }

// operate runs one drawn command of an operator.
func (m *machine) operate(ctx context.Context, t *rapid.T) {
	host := drawHost(t)
	a := basilaudit.Actor{Operator: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator")}
	var err error
	switch rapid.SampledFrom([]string{"move", "drain", "return", "fail", "remove", "register", "turn"}).Draw(t, "command") {
	case "move":
		_, err = m.pools.Move(ctx, host, drawPool(t), a)
	case "drain":
		_, err = m.pools.Drain(ctx, host, a)
	case "return":
		_, err = m.pools.Return(ctx, host, a)
	case "fail":
		_, err = m.pools.Fail(ctx, host, a)
	case "remove":
		_, err = m.pools.Remove(ctx, host, a)
	case "turn":
		err = m.turn(ctx, t)
	case "register":
		_, err = m.pools.Register(ctx, basilplatform.ListedHost{ID: host, DataCentre: "dc0", Rack: "r0", Pool: drawPool(t)}, a)
	}
	if err != nil && !expected(err) {
		t.Fatalf("unexpected failure: %+v", err)
	}
}

func (m *machine) step(t *rapid.T) {
	n := rapid.IntRange(1, len(m.executors)-1).Draw(t, "executor") // the first is the rival
	killed := m.under(t, func(ctx context.Context) error {
		_, err := m.executors[n].Step(ctx)
		return err
	})
	if killed { // another process takes over, with nothing in memory
		m.executors[n] = m.executor()
		m.executors[n].SetGrace(time.Second)
	}
	time.Sleep(time.Second)
}

func (m *machine) operator(t *rapid.T) {
	m.under(t, func(ctx context.Context) error { m.operate(ctx, t); return nil })
}

func (m *machine) failRack(t *rapid.T) {
	rack := fmt.Sprintf("r%d", rapid.IntRange(0, hostsPerPool/2-1).Draw(t, "rack"))
	hosts, err := m.pools.Hosts(m.ctx)
	must.NoError(t, err)
	for _, h := range hosts {
		if h.Rack() == rack {
			_, err := m.pools.Fail(m.ctx, h.ID(), ann)
			must.NoError(t, err)
		}
	}
}

func (m *machine) repair(t *rapid.T) {
	hosts, err := m.pools.Hosts(m.ctx)
	must.NoError(t, err)
	for _, h := range hosts {
		if h.State() == basilmodel.HostStateFailed {
			_, err := m.pools.Return(m.ctx, h.ID(), ann)
			must.NoError(t, err)
		}
	}
}

func (m *machine) createWave(t *rapid.T) {
	m.waveCount++
	r := basilmodel.WaveRecord{
		Name:            fmt.Sprintf("w%d", m.waveCount),
		RackBatch:       rapid.IntRange(0, 2).Draw(t, "rack batch"),
		FailuresAllowed: rapid.IntRange(0, 3).Draw(t, "failures allowed"),
		MaxShare:        rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "max share"),
	}
	m.under(t, func(ctx context.Context) error { return m.start(ctx, r) })
}

func (m *machine) turnWave(t *rapid.T) {
	m.under(t, func(ctx context.Context) error { return m.turn(ctx, t) })
}

func (m *machine) turn(ctx context.Context, t *rapid.T) error {
	name := fmt.Sprintf("w%d", rapid.IntRange(1, max(m.waveCount, 1)).Draw(t, "wave"))
	turns := []func(context.Context, string, basilaudit.Actor) (basilmodel.Wave, error){m.waves.Start, m.waves.Pause, m.waves.Resume, m.waves.Abort}
	n := rapid.IntRange(0, len(turns)-1).Draw(t, "turn")
	_, err := turns[n](ctx, name, ann)
	return err
}

func (m *machine) reconfigure(t *rapid.T) {
	available := rapid.IntRange(2, hostsPerPool+1).Draw(t, "min available")
	pool := drawPool(t)
	m.under(t, func(ctx context.Context) error { return m.configure(ctx, available, pool) })
}

func (m *machine) cutOff(t *rapid.T) {
	name := rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(t, "data centre")
	m.acks.cut[name] = !m.acks.cut[name]
}

func (m *machine) occupy(t *rapid.T) {
	host := drawHost(t)
	m.control.busy[host] = !m.control.busy[host]
}

func (m *machine) freeze(t *rapid.T) {
	h, err := m.pools.Host(m.ctx, drawHost(t))
	if basilpool.IsErrHostNotExist(err) {
		return
	}
	must.NoError(t, err)
	action := rapid.SampledFrom([]basilpool.Action{basilpool.ActionDrain, basilpool.ActionMaintain, basilpool.ActionFinish}).Draw(t, "action")
	m.asleep = append(m.asleep, frozen{order: basilpool.Order{Action: action, Host: h.ID(), Epoch: h.Epoch()}})
}

// wake runs an old order: on a host that has changed since, it must have no effect.
func (m *machine) wake(t *rapid.T) {
	if len(m.asleep) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.asleep)-1).Draw(t, "sleeper")
	o := m.asleep[n].order
	before, err := m.pools.Host(m.ctx, o.Host)
	if err != nil {
		return // removed meanwhile
	}
	_, err = m.pools.Do(m.ctx, o, basilaudit.Actor{Operator: "sleeper"})
	if before.Epoch() != o.Epoch {
		must.True(t, basilpool.IsErrHostStale(err), must.Sprint(err))
	}
}

// settle ends all faults and checks that the executors then bring everything to its end.
func (m *machine) settle(t *rapid.T) {
	clear(m.acks.cut)
	clear(m.control.busy)
	must.NoError(t, m.configure(m.ctx, 0, "b"))
	m.repair(t)
	waves, err := m.waves.List(m.ctx)
	must.NoError(t, err)
	for _, w := range waves {
		if w.State() == basilmodel.WaveStatePaused {
			_, err := m.waves.Resume(m.ctx, w.Name(), ann)
			must.NoError(t, err)
		}
	}
	x := m.executor() // one that has seen nothing of what went before
	for idle := 0; idle < settledPasses; idle++ {
		s, err := x.Step(m.ctx)
		must.NoError(t, err)
		if s.Done > 0 {
			idle = 0
		}
		time.Sleep(time.Second)
	}
	must.NoError(t, m.verify(m.ctx))
	m.checkSettled(t)
}

func (m *machine) checkSettled(t *rapid.T) {
	hosts, err := m.pools.Hosts(m.ctx)
	must.NoError(t, err)
	byHand := false
	for _, h := range hosts {
		if h.State() != basilmodel.HostStateActive {
			byHand = true
			must.True(t, h.State() == basilmodel.HostStateDrained && h.Wave() == "" && h.Target() == "", must.Sprintf("%+v", h.Record()))
		}
	}
	waves, err := m.waves.List(m.ctx)
	must.NoError(t, err)
	for _, w := range waves {
		if !byHand && w.State() == basilmodel.WaveStateRunning {
			t.Fatalf("wave %s has not ended", w.Name())
		}
	}
}

func TestPropertyHostsAndBudgetsHoldThroughMovesAndWaves(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			f, err := newFixture(t.Context(), hostsPerPool, rapid.IntRange(3, hostsPerPool).Draw(rt, "min available"))
			must.NoError(rt, err)
			m := &machine{fixture: f, ctx: t.Context(), executors: []*basilwave.Executor{f.executor(), f.executor(), f.executor()}}
			rt.Repeat(map[string]func(*rapid.T){
				"step": m.step, "step again": m.step, "step once more": m.step,
				"operator": m.operator, "fail rack": m.failRack, "repair": m.repair,
				"create wave": m.createWave, "turn wave": m.turnWave, "reconfigure": m.reconfigure,
				"cut off": m.cutOff, "occupy": m.occupy, "freeze": m.freeze, "wake": m.wake,
				"": func(rt *rapid.T) { must.NoError(rt, m.verify(t.Context())) },
			})
			m.settle(rt)
		})
	})
}
