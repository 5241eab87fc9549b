package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

func init() { plays["advice"] = playAdvice }

// Figures of the case. A quarter of empty backend servers is added, the share of the site files for that.
const (
	oldLarge     = 80
	oldSmall     = 16
	added        = 24
	adviceJobs   = 10
	decideTime   = 20 * time.Millisecond
	perItemTime  = time.Millisecond
	validMS      = 3000
	adviceConfig = `{"version":1,"routes":[{"name":"quote","host":"shop.example","path_prefix":"/quote/","kind":"unsafe","service":"stretch","timeout_ms":3000,
"slo_ms":600,"priority":0,"stretch":1.6,"max_attempts":4,"recommendation":{"decide_ms":20,"per_item_ms":1,"valid_ms":3000}}],
"services":[{"name":"stretch","health_path":"/health","max_connections":64,"enforces_capacity":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

// policy is a recommendation service that lets only the given backend servers run the queue's steps.
type policy struct {
	w        *world
	mutex    sync.Mutex // held while a call is decided: one at a time
	eligible map[string]bool
	asked    map[string]bool // backend servers that were named in a call
	calls    int
}

// ServeHTTP implements http.Handler.
func (p *policy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	time.Sleep(decideTime + time.Duration(len(q.Workers))*perItemTime)
	rows := [][2]string{}
	for _, id := range q.Workers {
		p.asked[id] = true
		if p.eligible[id] {
			rows = append(rows, [2]string{id, q.Step + "@" + id}) // the ticket that the stand-in of backend servers takes
		}
	}
	p.calls++
	p.w.note("advice for %s on %d backend servers: %d eligible", q.Step, len(q.Workers), len(rows))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"eligible": rows, "valid_ms": validMS}) // a caller that left needs no answer
}

// playAdvice hands in jobs of a queue whose policy allows 16 small backend servers, and has 24 empty ones added to 96.
func playAdvice(w *world, trouble bool) ([]string, error) {
	p := &policy{w: w, eligible: make(map[string]bool), asked: make(map[string]bool)}
	w.wrap = func(name string, h http.Handler) http.Handler {
		if name == basilfake.AdviceAddress {
			return p
		}
		return h
	}
	w.open(func(string, int) (time.Duration, bool) { return 500 * time.Millisecond, false }, adviceConfig)
	w.site.RequireTickets()
	w.site.AddPool("stretch", oldSmall, 8000, 32768, false)
	for _, b := range w.site.Backends("stretch") {
		p.eligible[b.ID()] = true
	}
	w.site.AddPool("stretch", oldLarge, 16000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	const body = `{"spec":"stretch","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":500}]}`
	accepted := make(map[string]time.Time)
	submit := func(from int) {
		for n := range adviceJobs {
			id := fmt.Sprintf("%016x", 0xad71ce00+from+n)
			if w.submit("/quote/", id, body, 4) {
				accepted[id] = time.Now()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	submit(0)
	time.Sleep(5 * time.Second)
	if trouble {
		w.note("%d empty backend servers are added", added)
		w.site.AddPool("stretch", added, 16000, 65536, false)
	}
	time.Sleep(5 * time.Second)
	submit(adviceJobs)
	time.Sleep(24 * time.Second) // finish_s and more
	started := make(map[string]bool)
	for _, r := range w.site.Runs() {
		started[r.Task[:16]] = true
	}
	w.note("calls for advice: %d; backend servers named in them: %d of %d", p.calls, len(p.asked), len(w.site.Backends("stretch")))
	var broken []string
	for id, at := range accepted {
		state := w.state("/quote/", id)
		w.note("GET /quote/%s: %s, started: %v", id, state, started[id])
		if !started[id] {
			broken = append(broken, fmt.Sprintf("LOST: job %s has not started %.0f s after it was accepted, while all %d backend servers that may run it are idle", id, time.Since(at).Seconds(), oldSmall))
		}
	}
	return broken, nil
}
