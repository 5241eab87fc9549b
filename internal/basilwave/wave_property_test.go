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

// events are the events that may occur during a transaction: a command of an
// operator or a pass of another executor right before it, a fault of the table, or
// the death of the caller.
var events = []string{"none", "none", "operator command", "operator command", "executor pass", "down", "lose response", "lose write", "kill before", "kill after"}

// hostsPerPool is the size of each of the two pools.
const hostsPerPool = 6

// idlePasses is how many successive passes without a step show that no work is
// left. Together they outlast the grace period of a leaving host.
const idlePasses = 5

// heldOrder is an order that its caller executes late, as after a long suspension of the process.
type heldOrder struct{ order basilpool.Order }

// stateMachine is the state machine of the property test: operators, executors and
// faults act on one fleet.
type stateMachine struct {
	*fixture
	ctx       context.Context
	executors []*basilwave.Executor
	held      []heldOrder
	waveCount int
	nested    bool // a command or pass is running inside another one's transaction
}

// withEvents runs the call while drawn events occur during its transactions, and
// reports whether the caller was killed.
func (m *stateMachine) withEvents(t *rapid.T, call func(ctx context.Context) error) (killed bool) {
	pending := rapid.SliceOfN(rapid.SampledFrom(events), 0, 4).Draw(t, "events")
	ctx, kill := context.WithCancel(m.ctx)
	defer kill()
	m.table.SetHook(func(basilplatform.Transaction) basilstandin.TableFaults {
		if m.nested || len(pending) == 0 {
			return basilstandin.TableFaults{}
		}
		event := pending[0]
		pending = pending[1:]
		switch event {
		case "operator command":
			m.nested = true
			m.runCommand(m.ctx, t)
			m.nested = false
		case "executor pass":
			m.nested = true
			_, err := m.executors[0].Step(m.ctx)
			must.NoError(t, err)
			m.nested = false
		case "down":
			return basilstandin.TableFaults{Down: true}
		case "lose response":
			return basilstandin.TableFaults{LoseAnswers: true}
		case "lose write":
			return basilstandin.TableFaults{LoseWrites: true}
		case "kill before":
			killed = true
			kill()
		case "kill after": // the write takes effect, but its caller is gone before it learns so
			killed = true
			m.table.crash = kill
			return basilstandin.TableFaults{LoseAnswers: true}
		}
		return basilstandin.TableFaults{}
	})
	err := call(ctx)
	m.table.SetHook(nil)
	if err != nil && !isExpected(err) {
		t.Fatalf("unexpected error: %+v", err)
	}
	return killed
}

// isExpected reports whether operators and executors must handle the error.
func isExpected(err error) bool {
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

// runCommand runs one randomly drawn command of an operator.
func (m *stateMachine) runCommand(ctx context.Context, t *rapid.T) {
	host := drawHost(t)
	a := basilaudit.Actor{Operator: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "operator")}
	var err error
	switch rapid.SampledFrom([]string{"move", "drain", "return", "fail", "remove", "register", "wave"}).Draw(t, "command") {
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
	case "wave":
		err = m.runWaveCommand(ctx, t)
	case "register":
		_, err = m.pools.Register(ctx, basilplatform.ListedHost{ID: host, DataCentre: "dc0", Rack: "r0", Pool: drawPool(t)}, a)
	}
	if err != nil && !isExpected(err) {
		t.Fatalf("unexpected error: %+v", err)
	}
}

func (m *stateMachine) step(t *rapid.T) {
	n := rapid.IntRange(1, len(m.executors)-1).Draw(t, "executor") // the first one runs inside transactions, see withEvents
	killed := m.withEvents(t, func(ctx context.Context) error {
		_, err := m.executors[n].Step(ctx)
		return err
	})
	if killed { // a new process takes over, without the old one's memory
		m.executors[n] = m.executor()
		m.executors[n].SetGrace(time.Second)
	}
	time.Sleep(time.Second)
}

func (m *stateMachine) operatorCommand(t *rapid.T) {
	m.withEvents(t, func(ctx context.Context) error { m.runCommand(ctx, t); return nil })
}

func (m *stateMachine) failRack(t *rapid.T) {
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

func (m *stateMachine) repair(t *rapid.T) {
	hosts, err := m.pools.Hosts(m.ctx)
	must.NoError(t, err)
	for _, h := range hosts {
		if h.State() == basilmodel.HostStateFailed {
			_, err := m.pools.Return(m.ctx, h.ID(), ann)
			must.NoError(t, err)
		}
	}
}

func (m *stateMachine) createWave(t *rapid.T) {
	m.waveCount++
	r := basilmodel.WaveRecord{
		Name:            fmt.Sprintf("w%d", m.waveCount),
		RackBatch:       rapid.IntRange(0, 2).Draw(t, "rack batch"),
		FailuresAllowed: rapid.IntRange(0, 3).Draw(t, "failures allowed"),
		MaxShare:        rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "max share"),
	}
	m.withEvents(t, func(ctx context.Context) error { return m.start(ctx, r) })
}

func (m *stateMachine) switchWaveState(t *rapid.T) {
	m.withEvents(t, func(ctx context.Context) error { return m.runWaveCommand(ctx, t) })
}

func (m *stateMachine) runWaveCommand(ctx context.Context, t *rapid.T) error {
	name := fmt.Sprintf("w%d", rapid.IntRange(1, max(m.waveCount, 1)).Draw(t, "wave"))
	commands := []func(context.Context, string, basilaudit.Actor) (basilmodel.Wave, error){m.waves.Start, m.waves.Pause, m.waves.Resume, m.waves.Abort}
	n := rapid.IntRange(0, len(commands)-1).Draw(t, "transition")
	_, err := commands[n](ctx, name, ann)
	return err
}

func (m *stateMachine) reconfigure(t *rapid.T) {
	available := rapid.IntRange(2, hostsPerPool+1).Draw(t, "min available")
	pool := drawPool(t)
	m.withEvents(t, func(ctx context.Context) error { return m.configure(ctx, available, pool) })
}

func (m *stateMachine) toggleCutOff(t *rapid.T) {
	name := rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(t, "data centre")
	m.acks.cutOff[name] = !m.acks.cutOff[name]
}

func (m *stateMachine) toggleBusy(t *rapid.T) {
	host := drawHost(t)
	m.control.busy[host] = !m.control.busy[host]
}

func (m *stateMachine) holdOrder(t *rapid.T) {
	h, err := m.pools.Host(m.ctx, drawHost(t))
	if basilpool.IsErrHostNotExist(err) {
		return
	}
	must.NoError(t, err)
	action := rapid.SampledFrom([]basilpool.Action{basilpool.ActionDrain, basilpool.ActionMaintain, basilpool.ActionFinish}).Draw(t, "action")
	m.held = append(m.held, heldOrder{order: basilpool.Order{Action: action, Host: h.ID(), Epoch: h.Epoch()}})
}

// useHeldOrder executes an old order, which must be refused if the host has changed since.
func (m *stateMachine) useHeldOrder(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.held)-1).Draw(t, "held order")
	o := m.held[n].order
	before, err := m.pools.Host(m.ctx, o.Host)
	if err != nil {
		return // removed meanwhile
	}
	_, err = m.pools.Do(m.ctx, o, basilaudit.Actor{Operator: "late caller"})
	if before.Epoch() != o.Epoch {
		must.True(t, basilpool.IsErrHostStale(err), must.Sprint(err))
	}
}

// settle ends all faults, and checks that a new executor then completes all waves and moves.
func (m *stateMachine) settle(t *rapid.T) {
	clear(m.acks.cutOff)
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
	x := m.executor() // has no memory of earlier passes
	for idle := 0; idle < idlePasses; idle++ {
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

func (m *stateMachine) checkSettled(t *rapid.T) {
	hosts, err := m.pools.Hosts(m.ctx)
	must.NoError(t, err)
	drainedByOperator := false
	for _, h := range hosts {
		if h.State() != basilmodel.HostStateActive {
			drainedByOperator = true
			must.True(t, h.State() == basilmodel.HostStateDrained && h.Wave() == "" && h.Target() == "", must.Sprintf("%+v", h.Record()))
		}
	}
	waves, err := m.waves.List(m.ctx)
	must.NoError(t, err)
	for _, w := range waves {
		if !drainedByOperator && w.State() == basilmodel.WaveStateRunning {
			t.Fatalf("wave %s is still running", w.Name())
		}
	}
}

func TestPropertyInvariantsDuringMovesAndWaves(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			f, err := newFixture(t.Context(), hostsPerPool, rapid.IntRange(3, hostsPerPool).Draw(rt, "min available"))
			must.NoError(rt, err)
			m := &stateMachine{fixture: f, ctx: t.Context(), executors: []*basilwave.Executor{f.executor(), f.executor(), f.executor()}}
			rt.Repeat(map[string]func(*rapid.T){
				"step": m.step, "step again": m.step, "step once more": m.step,
				"operator": m.operatorCommand, "fail rack": m.failRack, "repair": m.repair,
				"create wave": m.createWave, "switch wave state": m.switchWaveState, "reconfigure": m.reconfigure,
				"cut off": m.toggleCutOff, "occupy host": m.toggleBusy, "hold order": m.holdOrder, "use held order": m.useHeldOrder,
				"": func(rt *rapid.T) { must.NoError(rt, m.verify(t.Context())) },
			})
			m.settle(rt)
		})
	})
}
