package main

import (
	"fmt"
	"time"
)

func init() { plays["dropped"] = playDropped }

const (
	droppedConfig = `{"version":%d,"routes":[%s{"name":"other","host":"shop.example","path_prefix":"/other/","kind":"unsafe","service":"stretch","timeout_ms":3000,
"slo_ms":600,"priority":0,"stretch":1.6,"max_attempts":4}],
"services":[{"name":"stretch","health_path":"/health","max_connections":64,"enforces_capacity":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	droppedRoute = `{"name":"quote","host":"shop.example","path_prefix":"/quote/","kind":"unsafe","service":"stretch","timeout_ms":3000,
"slo_ms":600,"priority":0,"stretch":1.6,"max_attempts":4},`
	droppedJobs    = 4
	droppedRunTime = 5 * time.Second
	droppedFails   = 3 // runs of each task that fail, one fewer than allowed
)

// playDropped hands in jobs whose tasks fail three times and then succeed, of a queue that allows four attempts. A manifest drops the
// queue's route, the entry hosts are stopped and started in turn, and a later manifest adds the route again.
func playDropped(w *world, trouble bool) ([]string, error) {
	starts := make(map[string]int) // by task; the site calls the function under its mutex
	w.open(func(task string, _ int) (time.Duration, bool) {
		starts[task]++
		return droppedRunTime, starts[task] <= droppedFails
	}, fmt.Sprintf(droppedConfig, 1, droppedRoute))
	w.site.AddPool("stretch", 6, 16000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	const body = `{"spec":"stretch","steps":[{"count":1,"cpu":2000,"mem_mb":1024,"estimate_ms":5000}]}`
	var ids []string
	for n := range droppedJobs {
		id := fmt.Sprintf("%016x", 0xd409ed00+n)
		if w.submit("/quote/", id, body, 4) {
			ids = append(ids, id)
		}
	}
	began := time.Now()
	time.Sleep(time.Second)
	if trouble {
		w.note("manifest 4 has no route of the queue")
		w.site.Configure(fmt.Sprintf(droppedConfig, 4, ""))
		time.Sleep(2 * time.Second)
		for _, h := range w.hosts {
			if err := w.restart(h); err != nil {
				return nil, err
			}
			if err := w.awaitReady(h); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Until(began.Add(30 * time.Second)))
	if trouble {
		w.note("manifest 9 has the route again")
		w.site.Configure(fmt.Sprintf(droppedConfig, 9, droppedRoute))
	}
	time.Sleep(finishTime)
	ends := make(map[string]map[string]int)
	for _, r := range w.site.Runs() {
		id := r.Task[:16]
		if ends[id] == nil {
			ends[id] = make(map[string]int)
		}
		ends[id][r.How]++
	}
	var broken []string
	for _, id := range ids {
		state := w.state("/quote/", id)
		w.note("GET /quote/%s: %s, ends of its runs: %v", id, state, ends[id])
		if state == "failed" && ends[id]["failed"] < 4 {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed after %d ends as failed, while its queue has max_attempts 4 in each manifest that has it", id, ends[id]["failed"]))
		}
	}
	return broken, nil
}
