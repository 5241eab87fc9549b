package basilwave_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilmodel"
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
