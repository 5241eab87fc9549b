package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	upkeepSettle = 12 * time.Second       // before, so that the hosts are listed seldom
	upkeepAfter  = 500 * time.Millisecond // from the addition of a host to the wave
	upkeepLate   = 8 * time.Second        // the same without trouble
	upkeepWave   = 1
	upkeepFor    = 20 // seconds that the wave has
)

func init() { plays["upkeep"] = playUpkeep }

// playUpkeep adds a host, and has the operator ask for its upkeep soon after. The wave may be said to be completed only once the upkeep has
// begun.
func playUpkeep(w *world, trouble bool) ([]string, error) {
	w.open(func(string, int) (time.Duration, bool) { return 300 * time.Millisecond, false }, fmt.Sprintf(reserveConfig, 1))
	w.site.AddPool("stretch", 5, 32000, 65536, false)
	w.site.AddPool("spare", 2, 32000, 65536, true)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	time.Sleep(upkeepSettle)
	before := w.site.Machines("stretch")
	w.site.AddPool("stretch", 1, 32000, 65536, false)
	added := slices.DeleteFunc(w.site.Machines("stretch"), func(id string) bool { return slices.Contains(before, id) })
	w.note("host %v is added", added)
	after := upkeepLate
	if trouble {
		after = upkeepAfter
	}
	time.Sleep(after)
	w.site.AskWave(upkeepWave, added, upkeepFor, 1)
	w.note("wave %d asks for the upkeep of %v", upkeepWave, added)
	asked := time.Now()
	var broken []string
	for time.Since(asked) < (upkeepFor+5)*time.Second {
		state := w.site.WaveState(upkeepWave)
		if !strings.Contains(state, "completed") {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		begun := 0
		for _, o := range w.site.Orders() {
			w.note("order for %s of %s, %.2f s after the wave was asked for", o.Machine, o.Holder, o.At.Sub(asked).Seconds())
			if o.Machine == added[0] && o.At.After(asked) {
				begun++
			}
		}
		w.note("status of wave %d, %.2f s after it was asked for: %s", upkeepWave, time.Since(asked).Seconds(), state)
		if begun == 0 {
			broken = append(broken, fmt.Sprintf("MIXED: wave %d is said to be completed %.2f s after it was asked for, and the upkeep of %s hasn't begun", upkeepWave, time.Since(asked).Seconds(), added[0]))
		}
		break
	}
	time.Sleep(15 * time.Second)
	for _, o := range w.site.Orders() {
		w.note("order for %s of %s, %.2f s after the wave was asked for", o.Machine, o.Holder, o.At.Sub(asked).Seconds())
	}
	w.note("status at the end: %s", w.site.WaveState(upkeepWave))
	return broken, nil
}
