package basilwave_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilpool"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilwave"
)

func run(t *testing.T, passes int, executors ...*basilwave.Executor) {
	for range passes {
		for _, x := range executors {
			_, err := x.Step(t.Context())
			must.NoError(t, err)
		}
		time.Sleep(time.Second)
	}
}

func TestWaveAndMoveRunToTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 6)
		must.NoError(t, err)
		_, err = f.pools.Move(t.Context(), "h00", "b", ann)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		run(t, 120, f.executor(), f.executor())
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
		must.NoError(t, f.verify(t.Context()))
	})
}

// inMaintenance takes the host through a drain into maintenance by hand.
func (f *fixture) inMaintenance(ctx context.Context, id string) (basilmodel.Host, error) {
	h, err := f.pools.Drain(ctx, id, ann)
	if err != nil {
		return h, err
	}
	if h, err = f.pools.Drained(ctx, id, h.Epoch(), ann); err != nil {
		return h, err
	}
	return f.pools.Maintain(ctx, id, h.Epoch(), ann)
}

// faultOnce lets the call befall the next transaction and answers with its faults.
func (f *fixture) faultOnce(call func() basilstandin.TableFaults) {
	f.table.SetHook(func(basilplatform.Transaction) basilstandin.TableFaults {
		f.table.SetHook(nil)
		return call()
	})
}

// TestFailuresInTheMiddleOfAWave lets each failure strike while a wave and a move
// are under way on services with two hosts to spare, and checks how they go on.
func TestFailuresInTheMiddleOfAWave(t *testing.T) {
	t.Parallel()
	failRack := func(f *fixture, t *testing.T) {
		for _, id := range []string{"h00", "h01", "h02", "h03"} { // h00 is out for the wave
			_, err := f.pools.Fail(t.Context(), id, ann)
			must.NoError(t, err)
		}
	}
	tests := []struct {
		name   string
		strike func(f *fixture, t *testing.T)
		passes int
		wave   basilmodel.WaveState
		out    int // hosts on their way out, after the passes
		moved  bool
	}{
		{"nothing", func(*fixture, *testing.T) {}, 150, basilmodel.WaveStateDone, 0, true},
		{"a rack fails: planned hosts come back, the wave pauses", failRack, 3, basilmodel.WaveStatePaused, 0, false},
		{"the store loses an answer", func(f *fixture, _ *testing.T) {
			f.faultOnce(func() basilstandin.TableFaults { return basilstandin.TableFaults{LoseAnswers: true} })
		}, 150, basilmodel.WaveStateDone, 0, true},
		{"the store loses a write", func(f *fixture, _ *testing.T) {
			f.faultOnce(func() basilstandin.TableFaults { return basilstandin.TableFaults{LoseWrites: true} })
		}, 150, basilmodel.WaveStateDone, 0, true},
		{"a data centre is cut off: its hosts wait", func(f *fixture, _ *testing.T) { f.acks.cut["dc0"] = true }, 30, basilmodel.WaveStateRunning, 2, true},
		{"a host keeps its work: it waits", func(f *fixture, _ *testing.T) { f.control.busy["h00"] = true }, 80, basilmodel.WaveStateRunning, 1, true},
		{"the configuration asks for more: planned hosts come back", func(f *fixture, t *testing.T) {
			must.NoError(t, f.configure(t.Context(), 8, "b"))
		}, 3, basilmodel.WaveStateRunning, 0, false},
		{"an operator pauses: hosts come back", func(f *fixture, t *testing.T) {
			_, err := f.waves.Pause(t.Context(), "w", ann)
			must.NoError(t, err)
		}, 30, basilmodel.WaveStatePaused, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, err := newFixture(t.Context(), 8, 6)
				must.NoError(t, err)
				must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
				_, err = f.pools.Move(t.Context(), "h06", "a", ann)
				must.NoError(t, err)
				first, second := f.executor(), f.executor()
				run(t, 1, first) // takes h00 out
				tt.strike(f, t)
				run(t, tt.passes, first, second)
				must.NoError(t, f.verify(t.Context()))
				f.check(t, tt.wave, tt.out, tt.moved)
			})
		})
	}
}

func (f *fixture) check(t *testing.T, state basilmodel.WaveState, out int, moved bool) {
	w, err := f.waves.Wave(t.Context(), "w")
	must.NoError(t, err)
	must.EqOp(t, state, w.State())
	hosts, err := f.pools.Hosts(t.Context())
	must.NoError(t, err)
	for _, h := range hosts {
		if h.Cause() == basilmodel.OutCauseMove || h.Cause() == basilmodel.OutCauseWave {
			out--
		}
	}
	must.EqOp(t, 0, out)
	must.EqOp(t, moved, hosts[6].Pool() == "a")
}

// TestExecutorKilledAfterAnyTransaction ends the executor after each transaction of
// a whole wave in turn; a new one takes over each time.
func TestExecutorKilledAfterAnyTransaction(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 4, 3)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		for range 200 {
			x := f.executor()
			for range 5 { // long enough for the grace of one leaving host
				ctx, kill := context.WithCancel(t.Context())
				f.table.crash = kill
				if _, err := x.Step(ctx); ctx.Err() != nil && err != nil {
					must.True(t, basilplatform.IsErrUnavailable(err), must.Sprint(err))
				}
				kill()
				f.table.crash = nil
				time.Sleep(time.Second)
			}
			must.NoError(t, f.verify(t.Context()))
		}
		f.checkDone(t)
	})
}

func (f *fixture) checkDone(t *testing.T) {
	w, err := f.waves.Wave(t.Context(), "w")
	must.NoError(t, err)
	must.EqOp(t, basilmodel.WaveStateDone, w.State())
}

func TestStoreDownKeepsHostsWhereTheyAre(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 6)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		x := f.executor()
		run(t, 2, x)
		before, err := f.pools.Hosts(t.Context())
		must.NoError(t, err)
		f.table.SetFaults(basilstandin.TableFaults{Down: true})
		for range 10 {
			_, err := x.Step(t.Context())
			must.True(t, basilplatform.IsErrUnavailable(err), must.Sprint(err))
			time.Sleep(time.Minute)
		}
		f.table.SetFaults(basilstandin.TableFaults{})
		after, err := f.pools.Hosts(t.Context())
		must.NoError(t, err)
		must.Eq(t, before, after, must.Cmp(cmp.AllowUnexported(basilmodel.Host{})))
		run(t, 150, x)
		f.checkDone(t)
	})
}

func TestWokenExecutorRebootsNoHostThatWentOn(t *testing.T) {
	f, err := newFixture(t.Context(), 8, 4)
	must.NoError(t, err)
	h, err := f.inMaintenance(t.Context(), "h00")
	must.NoError(t, err)
	f.control.rebooted["h00"] = h.Epoch()
	_, err = f.inMaintenance(t.Context(), "h01")
	must.NoError(t, err)
	f.faultOnce(func() basilstandin.TableFaults { // between the plan and the reboot of h01
		_, err := f.pools.Fail(t.Context(), "h01", ann)
		must.NoError(t, err)
		_, err = f.pools.Return(t.Context(), "h01", ann)
		must.NoError(t, err)
		return basilstandin.TableFaults{}
	})
	s, err := f.executor().Step(t.Context())
	must.NoError(t, err)
	must.Eq(t, basilwave.Summary{Planned: 2, Done: 1, Raced: 1}, s)
	must.NoError(t, f.verify(t.Context()))
}

func TestOverdueRebootFailsTheHostAndPausesTheWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 6)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		f.control.stuck = true
		x := f.executor()
		run(t, 20, x)
		time.Sleep(3 * time.Hour)
		run(t, 3, x)
		w, err := f.waves.Wave(t.Context(), "w")
		must.NoError(t, err)
		must.EqOp(t, basilmodel.WaveStatePaused, w.State())
		hosts, err := f.pools.Hosts(t.Context())
		must.NoError(t, err)
		must.EqOp(t, basilmodel.HostStateFailed, hosts[0].State())
		must.EqOp(t, 0, hosts[0].Maintained())
		must.NoError(t, f.verify(t.Context()))
	})
}

func TestExecutorGathersSurplusInTheSparePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 4)
		must.NoError(t, err)
		_, err = basilconfig.Apply(t.Context(), f.trail, 1, basilmodel.ConfigurationRecord{
			Pools:    []basilmodel.Pool{{Name: "a"}, {Name: "b", Spare: true}},
			Services: []basilmodel.Service{{Name: "sa", Pool: "a", MinAvailable: 4}, {Name: "sb", Pool: "b", MinAvailable: 4}},
		}, ann)
		must.NoError(t, err)
		x := f.executor()
		var demand basilpool.DemandSketch
		demand.Observe(basilpool.Demand{}, time.Now())
		x.SetDemand(&demand)
		run(t, 60, x)
		b, err := f.pools.Budget(t.Context(), "sa")
		must.NoError(t, err)
		must.EqOp(t, 8, b.Hosts()) // demand is not yet known
		time.Sleep(time.Hour)
		run(t, 60, x)
		b, err = f.pools.Budget(t.Context(), "sa")
		must.NoError(t, err)
		must.EqOp(t, 6, b.Hosts()) // what it needs and one in the band
		must.NoError(t, f.verify(t.Context()))
	})
}

func TestExecutorsAtOnceFinishOneWave(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 5)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w", RackBatch: 2}))
		_, err = f.pools.Move(t.Context(), "h00", "b", ann)
		must.NoError(t, err)
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				x := f.executor()
				for range 150 {
					_, err := x.Step(t.Context())
					must.True(t, err == nil || basilaudit.IsErrContended(err), must.Sprint(err))
					time.Sleep(time.Second)
				}
			})
		}
		group.Wait()
		must.NoError(t, f.verify(t.Context()))
		f.checkDone(t)
	})
}
