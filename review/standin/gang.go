package main

import (
	"fmt"
	"time"
)

func init() { plays["gang"] = playGang }

// Figures of the case. Two of 15 backend servers are lost for good: a share of 0.133, of at most 0.14 in the site file.
const (
	gangSmall   = 3
	gangLarge   = 12
	gangLost    = 2
	gangMembers = 3
	gangJobs    = 5
)

// playGang hands in gangs of three tasks of which at most one may run on a server, and has two of 15 servers lost for good between.
func playGang(w *world, trouble bool) ([]string, error) {
	w.open(func(string, int) (time.Duration, bool) { return time.Second, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool("stretch", gangSmall, 2000, 8192, false)
	small := w.site.Backends("stretch")
	w.site.AddPool("stretch", gangLarge, 16000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`{"spec":"pair","steps":[{"count":%d,"cpu":1500,"mem_mb":512,"estimate_ms":1000,"gang":true,"anti_affinity":1}]}`, gangMembers)
	accepted := make(map[string]time.Time)
	submit := func(from int) {
		for n := range gangJobs {
			id := fmt.Sprintf("%016x", 0x9a460000+from+n)
			if w.submit("/quote/", id, body, 4) {
				accepted[id] = time.Now()
			}
			time.Sleep(2 * time.Second)
		}
	}
	submit(0)
	if trouble {
		for _, b := range small[:gangLost] {
			w.note("server %s is lost for good", b.ID())
			w.site.Crash(b, time.Hour)
		}
	}
	time.Sleep(12 * time.Second) // the entries of lost servers are gone
	submit(gangJobs)
	time.Sleep(finishTime)
	started := make(map[string]int)
	live := 0
	for _, r := range w.site.Runs() {
		started[r.Task[:16]]++
		if r.Ended.IsZero() {
			live++
		}
	}
	idle := len(w.site.Backends("stretch"))
	w.note("servers: %d, runs at work: %d", idle, live)
	var broken []string
	for id, at := range accepted {
		w.note("GET /quote/%s: %s, starts: %d", id, w.state("/quote/", id), started[id])
		if started[id] == 0 && live == 0 {
			broken = append(broken, fmt.Sprintf("LOST: gang %s has not started %.0f s after it was accepted, while %d servers are idle", id, time.Since(at).Seconds(), idle))
		}
	}
	return broken, nil
}
