package basilcapacity

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestHostAddedToWaveIsNotDoneAfterTakeover checks that a host that an operator added to a wave after its progress was stored still awaits
// its maintenance when another entry host has taken over.
func TestHostAddedToWaveIsNotDoneAfterTakeover(t *testing.T) {
	wave := basilwork.Wave{ID: "1", Machines: []string{"m00", "m01", "m02"}, Duration: time.Minute, MaxCount: 2, Version: 1}
	first := newWorld(t)
	first.addHosts("a", 6)
	first.SetWaves([]basilwork.Wave{wave}, nil, first.now)
	for _, id := range wave.Machines[:2] {
		first.waves["1"].begun[id] = true
	}
	records := first.Records()
	wave.Machines, wave.Version = append(wave.Machines, "m03"), 2
	first.SetWaves([]basilwork.Wave{wave}, nil, first.now)
	must.Len(t, 2, first.remaining(first.waves["1"]))

	second := newWorld(t)
	second.addHosts("a", 6)
	second.SetRecords(records)
	second.SetWaves([]basilwork.Wave{wave}, nil, second.now)
	must.True(t, slices.Contains(second.remaining(second.waves["1"]), second.machines["m03"]))
}
