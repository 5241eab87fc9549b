package basilwave_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilwave"
)

func TestProgressWaitReasons(t *testing.T) {
	tests := []struct {
		name         string
		minAvailable int
		start        bool // start the wave and run one executor pass
		drained      string
		wave         basilmodel.WaveRecord
		want         []basilwave.Wait
	}{
		{"created", 0, false, "", basilmodel.WaveRecord{Pools: []string{"a"}}, []basilwave.Wait{{Pool: "a", Hosts: 8, Reason: "the wave is created"}}},
		{"budget", 8, true, "", basilmodel.WaveRecord{Pools: []string{"a"}}, []basilwave.Wait{{Pool: "a", Hosts: 8, Reason: "budget: 8 hosts in service, 8 must stay"}}},
		{"reserve", 6, true, "", basilmodel.WaveRecord{Pools: []string{"a"}}, []basilwave.Wait{
			{Pool: "a", Hosts: 6, Reason: "racks in progress come first"},
			{Pool: "a", Hosts: 1, Reason: "reserve: 1 could leave, 2 are kept for the loss of a rack"},
		}},
		{"share", 0, true, "", basilmodel.WaveRecord{Pools: []string{"a"}, MaxShare: 0.125}, []basilwave.Wait{
			{Pool: "a", Hosts: 6, Reason: "racks in progress come first"},
			{Pool: "a", Hosts: 1, Reason: "share: 1 of 8 hosts are out for the wave"},
		}},
		{"drained by an operator", 0, false, "h00", basilmodel.WaveRecord{Pools: []string{"a"}}, []basilwave.Wait{
			{Pool: "a", Hosts: 1, Reason: "an operator took it out by hand and it is leaving"},
			{Pool: "a", Hosts: 7, Reason: "the wave is created"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, err := newFixture(t.Context(), 8, tt.minAvailable)
			must.NoError(t, err)
			tt.wave.Name = "w"
			_, err = f.waves.Create(t.Context(), tt.wave, ann)
			must.NoError(t, err)
			if tt.drained != "" {
				_, err = f.pools.Drain(t.Context(), tt.drained, ann)
				must.NoError(t, err)
			}
			if tt.start {
				_, err = f.waves.Start(t.Context(), "w", ann)
				must.NoError(t, err)
				_, err = f.executor().Step(t.Context())
				must.NoError(t, err)
			}
			w, err := f.waves.Wave(t.Context(), "w")
			must.NoError(t, err)
			hosts, err := f.pools.Hosts(t.Context())
			must.NoError(t, err)
			c, _, err := basilconfig.Current(t.Context(), &f.table)
			must.NoError(t, err)
			progress := basilwave.Planner{}.Progress(basilwave.State{Hosts: hosts, Configuration: c, Waves: []basilmodel.Wave{w}}, w, time.Now())
			must.Eq(t, tt.want, progress.Waits)
			must.EqOp(t, 8, progress.Done+progress.Busy+progress.Pending)
		})
	}
}
