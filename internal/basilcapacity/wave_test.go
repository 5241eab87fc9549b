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

// TestWaveAwaitsHostThatListLacks checks that a wave isn't completed while the lists of hosts don't show that its other hosts are gone: a list
// that was requested before the wave was known, or one alone, may lack a host that is there.
func TestWaveAwaitsHostThatListLacks(t *testing.T) {
	wave := basilwork.Wave{ID: "1", Machines: []string{"m00", "m03"}, Duration: time.Minute, MaxCount: 2, Version: 1}
	start := func() *world {
		w := newWorld(t)
		w.addHosts("spare", 3)
		return w
	}
	list := func(w *world, hosts []basilwork.Machine) Plan {
		w.now = w.now.Add(time.Second)
		w.SetMachines(hosts, w.now)
		return w.decide(0)
	}
	finish := func(w *world, p Plan) {
		must.Len(t, 1, maintenanceOrders(p))
		w.SetOrderOutcome(maintenanceOrders(p)[0], nil, w.now)
	}
	t.Run("added before the wave", func(t *testing.T) {
		w := start()
		before, requestedAt := w.list, w.now
		w.now = w.now.Add(time.Second)
		w.SetWaves([]basilwork.Wave{wave}, nil, w.now)
		finish(w, w.decide(0))
		must.False(t, completes(w.decide(0)))
		w.SetMachines(before, requestedAt)
		w.SetMachines(before, requestedAt.Add(time.Millisecond))
		must.False(t, completes(w.decide(0)), must.Sprint("lists of before the wave"))
		w.addHosts("spare", 1)
		finish(w, w.decide(0))
		must.True(t, completes(w.decide(0)))
	})
	t.Run("new owner", func(t *testing.T) {
		w := newWorld(t)
		w.SetWaves([]basilwork.Wave{wave}, nil, w.now)
		must.SliceEmpty(t, w.decide(0).WaveStates)
		w.addHosts("spare", 4)
		p := w.decide(0)
		must.Len(t, 2, maintenanceOrders(p))
		must.False(t, completes(p))
	})
	t.Run("missing in one list", func(t *testing.T) {
		w := start()
		w.addHosts("spare", 1)
		w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m03"}, Duration: time.Minute, MaxCount: 2, Version: 1}}, nil, w.now)
		must.False(t, completes(list(w, w.list[:3])))
		finish(w, list(w, w.list))
		must.True(t, completes(w.decide(0)))
	})
	t.Run("added to the wave", func(t *testing.T) {
		w := start()
		w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m00", "m02"}, Duration: time.Minute, MaxCount: 1, Version: 1}}, nil, w.now)
		finish(w, w.decide(0))
		must.False(t, completes(list(w, w.list[1:2])))
		wave := basilwork.Wave{ID: "1", Machines: []string{"m00", "m02", "m03"}, Duration: time.Minute, MaxCount: 1, Version: 2}
		w.now = w.now.Add(time.Second)
		w.SetWaves([]basilwork.Wave{wave}, nil, w.now)
		must.False(t, completes(list(w, w.list[1:2])))
		must.True(t, completes(list(w, w.list[1:2])))
	})
	t.Run("earlier definition read late", func(t *testing.T) {
		w := start()
		w.addHosts("spare", 1)
		earlier := wave
		earlier.Machines = wave.Machines[:1]
		wave := wave
		wave.Version, wave.MaxCount = 2, 1
		w.SetWaves([]basilwork.Wave{wave}, nil, w.now)
		w.SetWaves([]basilwork.Wave{earlier}, nil, w.now)
		finish(w, w.decide(0))
		must.False(t, completes(w.decide(0)))
	})
	t.Run("gone", func(t *testing.T) {
		w := start()
		w.SetWaves([]basilwork.Wave{wave}, nil, w.now)
		finish(w, w.decide(0))
		must.False(t, completes(list(w, w.list)))
		must.True(t, completes(list(w, w.list)))
		must.False(t, completes(list(w, w.list)), must.Sprint("stored once"))
	})
}

// TestMaintenanceOfUnlistedHostCounts checks that a wave is completed when its last host isn't listed as its order is accepted.
func TestMaintenanceOfUnlistedHostCounts(t *testing.T) {
	w := newWorld(t)
	w.addHosts("spare", 2)
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m01"}, Duration: time.Minute, MaxCount: 1, Version: 1}}, nil, w.now)
	orders := maintenanceOrders(w.decide(time.Second))
	must.Len(t, 1, orders)
	w.SetMachines(w.list[:1], w.now)
	w.SetOrderOutcome(orders[0], nil, w.now)
	must.True(t, completes(w.decide(0)))
}

// completes reports whether the plan says that a wave is completed.
func completes(p Plan) bool {
	return slices.ContainsFunc(p.WaveStates, func(u WaveUpdate) bool { return u.Completed })
}
