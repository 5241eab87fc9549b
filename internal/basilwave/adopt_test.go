package basilwave_test

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilmodel"
)

func TestWaveAdoptsHostsDrainedByOperator(t *testing.T) {
	tests := []struct {
		name    string
		wave    basilmodel.WaveRecord
		adopted bool
	}{
		{"selected", basilmodel.WaveRecord{Name: "w"}, true},
		{"in another pool", basilmodel.WaveRecord{Name: "w", Pools: []string{"b"}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, err := newFixture(t.Context(), 8, 6)
				must.NoError(t, err)
				_, err = f.pools.Drain(t.Context(), "h00", ann)
				must.NoError(t, err)
				must.NoError(t, f.start(t.Context(), tt.wave))
				x := f.executor()
				runPasses(t, 200, x)
				must.NoError(t, f.verify(t.Context()))
				h, err := f.pools.Host(t.Context(), "h00")
				must.NoError(t, err)
				must.EqOp(t, tt.adopted, h.Serviced() == "w")
				must.EqOp(t, tt.adopted, h.InService())
				w, err := f.waves.Wave(t.Context(), "w")
				must.NoError(t, err)
				must.EqOp(t, basilmodel.WaveStateDone, w.State())
			})
		})
	}
}
