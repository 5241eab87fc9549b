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

func runPasses(t *testing.T, passes int, executors ...*basilwave.Executor) {
	for range passes {
		for _, x := range executors {
			_, err := x.Step(t.Context())
			must.NoError(t, err)
		}
		time.Sleep(time.Second)
	}
}

func TestWaveAndMoveComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 6)
		must.NoError(t, err)
		_, err = f.pools.Move(t.Context(), "h00", "b", ann)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		runPasses(t, 120, f.executor(), f.executor())
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

// putIntoMaintenance drains the host as an operator and puts it into maintenance.
func (f *fixture) putIntoMaintenance(ctx context.Context, id string) (basilmodel.Host, error) {
	h, err := f.pools.Drain(ctx, id, ann)
	if err != nil {
		return h, err
	}
	if h, err = f.pools.Drained(ctx, id, h.Epoch(), ann); err != nil {
		return h, err
	}
	return f.pools.Maintain(ctx, id, h.Epoch(), ann)
}

// atNextTransaction runs call at the next transaction and injects the faults that it returns.
func (f *fixture) atNextTransaction(call func() basilstandin.TableFaults) {
	f.table.SetHook(func(basilplatform.Transaction) basilstandin.TableFaults {
		f.table.SetHook(nil)
		return call()
	})
}

// TestFailuresDuringWave injects each failure while a wave and a move are
// in progress and each service has two hosts more than its minimum. It checks that
// no budget is exceeded and how far the wave and the move get.
func TestFailuresDuringWave(t *testing.T) {
	t.Parallel()
	failRack := func(f *fixture, t *testing.T) {
		for _, id := range []string{"h00", "h01", "h02", "h03"} { // h00 is leaving for the wave
			_, err := f.pools.Fail(t.Context(), id, ann)
			must.NoError(t, err)
		}
	}
	tests := []struct {
		name   string
		inject func(f *fixture, t *testing.T)
		passes int
		wave   basilmodel.WaveState
		out    int // hosts out of service for the wave or a move after the passes
		moved  bool
	}{
		{"nothing", func(*fixture, *testing.T) {}, 150, basilmodel.WaveStateDone, 0, true},
		{"a rack fails: leaving hosts return, the wave pauses", failRack, 3, basilmodel.WaveStatePaused, 0, false},
		{"the table loses a response", func(f *fixture, _ *testing.T) {
			f.atNextTransaction(func() basilstandin.TableFaults { return basilstandin.TableFaults{LoseAnswers: true} })
		}, 150, basilmodel.WaveStateDone, 0, true},
		{"the table loses a write", func(f *fixture, _ *testing.T) {
			f.atNextTransaction(func() basilstandin.TableFaults { return basilstandin.TableFaults{LoseWrites: true} })
		}, 150, basilmodel.WaveStateDone, 0, true},
		{"a data centre is cut off: its hosts wait", func(f *fixture, _ *testing.T) { f.acks.cutOff["dc0"] = true }, 30, basilmodel.WaveStateRunning, 2, true},
		{"a host doesn't drain: it waits", func(f *fixture, _ *testing.T) { f.control.busy["h00"] = true }, 80, basilmodel.WaveStateRunning, 1, true},
		{"the configured minimum rises: leaving hosts return", func(f *fixture, t *testing.T) {
			must.NoError(t, f.configure(t.Context(), 8, "b"))
		}, 3, basilmodel.WaveStateRunning, 0, false},
		{"an operator pauses the wave: hosts return", func(f *fixture, t *testing.T) {
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
				runPasses(t, 1, first) // starts to drain h00
				tt.inject(f, t)
				runPasses(t, tt.passes, first, second)
				must.NoError(t, f.verify(t.Context()))
				f.checkProgress(t, tt.wave, tt.out, tt.moved)
			})
		})
	}
}

func (f *fixture) checkProgress(t *testing.T, state basilmodel.WaveState, out int, moved bool) {
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

// TestExecutorKilledAfterEachTransaction kills the executor after every transaction
// of a wave. A new executor without memory must continue each time until the wave is done.
func TestExecutorKilledAfterEachTransaction(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 4, 3)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		for range 200 {
			x := f.executor()
			for range 5 { // outlasts the grace period of one leaving host
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
		f.checkWaveDone(t)
	})
}

func (f *fixture) checkWaveDone(t *testing.T) {
	w, err := f.waves.Wave(t.Context(), "w")
	must.NoError(t, err)
	must.EqOp(t, basilmodel.WaveStateDone, w.State())
}

func TestHostsKeepStateWhileTableIsDown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 6)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		x := f.executor()
		runPasses(t, 2, x)
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
		runPasses(t, 150, x)
		f.checkWaveDone(t)
	})
}

func TestOutdatedPlanDoesNotRebootChangedHost(t *testing.T) {
	f, err := newFixture(t.Context(), 8, 4)
	must.NoError(t, err)
	h, err := f.putIntoMaintenance(t.Context(), "h00")
	must.NoError(t, err)
	f.control.rebooted["h00"] = h.Epoch()
	_, err = f.putIntoMaintenance(t.Context(), "h01")
	must.NoError(t, err)
	f.atNextTransaction(func() basilstandin.TableFaults { // runs between the plan and the reboot of h01
		_, err := f.pools.Fail(t.Context(), "h01", ann)
		must.NoError(t, err)
		_, err = f.pools.Return(t.Context(), "h01", ann)
		must.NoError(t, err)
		return basilstandin.TableFaults{}
	})
	s, err := f.executor().Step(t.Context())
	must.NoError(t, err)
	must.Eq(t, basilwave.Summary{Planned: 2, Done: 1, Outdated: 1}, s)
	must.NoError(t, f.verify(t.Context()))
}

func TestOverdueRebootFailsHostAndPausesWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := newFixture(t.Context(), 8, 6)
		must.NoError(t, err)
		must.NoError(t, f.start(t.Context(), basilmodel.WaveRecord{Name: "w"}))
		f.control.rebootsHang = true
		x := f.executor()
		runPasses(t, 20, x)
		time.Sleep(3 * time.Hour)
		runPasses(t, 3, x)
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

func TestExecutorMovesSurplusToSparePool(t *testing.T) {
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
		runPasses(t, 60, x)
		b, err := f.pools.Budget(t.Context(), "sa")
		must.NoError(t, err)
		must.EqOp(t, 8, b.Hosts()) // the demand is still unknown
		time.Sleep(time.Hour)
		runPasses(t, 60, x)
		b, err = f.pools.Budget(t.Context(), "sa")
		must.NoError(t, err)
		must.EqOp(t, 6, b.Hosts()) // the hosts that it needs and a surplus of one
		must.NoError(t, f.verify(t.Context()))
	})
}

func TestConcurrentExecutorsCompleteOneWave(t *testing.T) {
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
		f.checkWaveDone(t)
	})
}
