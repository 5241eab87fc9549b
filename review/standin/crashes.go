package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

func init() { plays["crashes"] = playCrashes }

// Figures of the case. Of 16 backend servers two are down at a time, for 4.5 s: a share of 0.125, of at most 0.14 in the site file.
const (
	crashPool    = 16
	crashAtOnce  = 2
	crashEvery   = 5 * time.Second
	crashDown    = 4500 * time.Millisecond
	crashRounds  = 14
	crashJobs    = 45
	crashJobTime = 12 * time.Second
)

// playCrashes hands in sound jobs of one task and has backend servers crash and come back. No run ever ends as failed.
func playCrashes(w *world, trouble bool) ([]string, error) {
	w.open(func(string, int) (time.Duration, bool) { return crashJobTime, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.SetRacks(4)
	w.site.AddPool("stretch", crashPool, 16000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	const body = `{"spec":"stretch","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"estimate_ms":12000}]}`
	var ids []string
	var mutex sync.Mutex
	var group sync.WaitGroup
	group.Go(func() {
		for n := range crashJobs {
			id := fmt.Sprintf("%016x", 0xc0de0000+n)
			if w.submit("/quote/", id, body, 4) {
				mutex.Lock()
				ids = append(ids, id)
				mutex.Unlock()
			}
			time.Sleep(time.Second)
		}
	})
	seed := uint64(os.Getpid())
	draws := rand.New(rand.NewPCG(seed, 1))
	w.note("seed of the crashes: %d", seed)
	for range crashRounds {
		time.Sleep(crashEvery)
		if !trouble {
			continue
		}
		list := w.site.Backends("stretch")
		draws.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, b := range list[:min(crashAtOnce, len(list))] {
			w.note("server %s crashes, back in %v", b.ID(), crashDown)
			w.site.CrashFor(b, basilfake.Outage{For: crashDown})
		}
	}
	group.Wait()
	time.Sleep(finishTime)
	failed := make(map[string]bool)
	lost := make(map[string]int)
	for _, r := range w.site.Runs() {
		failed[r.Task[:16]] = failed[r.Task[:16]] || r.How == "failed"
		if r.How == "lost" {
			lost[r.Task[:16]]++
		}
	}
	var broken []string
	for _, id := range ids {
		state := w.state("/quote/", id)
		w.note("GET /quote/%s: %s; runs lost with their server: %d, ended as failed: %v", id, state, lost[id], failed[id])
		if state == "failed" && !failed[id] {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed, and none of its runs has ended as failed (%d were lost with their server)", id, lost[id]))
		}
	}
	return broken, nil
}
