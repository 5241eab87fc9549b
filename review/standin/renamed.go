package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	renamedJobs    = 4
	renamedWork    = 3 * time.Second         // of a work item
	renamedVisible = 3 * time.Second         // visible_ms
	renamedStop    = 4500 * time.Millisecond // over cancel_ms and stop_timeout_ms, 3.9 s
	renamedNight   = "0000000004e4a000"
	renamedConfig  = `{"version":%d,"routes":[{"name":"%s","host":"shop.example","path_prefix":"/quote/","kind":"unsafe","service":"%s","timeout_ms":3000,"slo_ms":600,"priority":0,"stretch":1.6,"max_attempts":4},` +
		`{"name":"%s","host":"shop.example","path_prefix":"/night/","kind":"unsafe","service":"stretch","timeout_ms":3000,"slo_ms":2500,"priority":0,"stretch":2.2,"max_attempts":3}],` +
		`"services":[{"name":"stretch","health_path":"/health","max_connections":64,"enforces_capacity":true},` +
		`{"name":"press","health_path":"/health","max_connections":64,"enforces_capacity":true}],` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
)

func init() { plays["renamed"] = playRenamed }

// playRenamed has the operator remove a route and add one of another name with the same host and prefix, while jobs run. Callers ask for their
// jobs, and submissions arrive again, as they do seconds after an answer. Each remains one job.
func playRenamed(w *world, trouble bool) ([]string, error) {
	w.open(func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, renamedNight) {
			return -1, false
		}
		return renamedWork, false
	}, fmt.Sprintf(renamedConfig, 1, "quote", "stretch", "night"))
	w.site.AddPool("stretch", 4, 16000, 64000, false)
	w.site.AddPool("press", 4, 16000, 64000, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	body := `{"spec":"toe","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":3000},{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":3000,"after":[0]}]}`
	var ids []string
	for n := range renamedJobs {
		id := fmt.Sprintf("%016x", 0x4e40000+n)
		if !w.submit("/quote/", id, body, 4) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	if !w.submit("/night/", renamedNight, `{"spec":"night","steps":[{"count":2,"cpu":1000,"mem_mb":512,"long_running":true}]}`, 3) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	accepted := time.Now()
	if trouble {
		w.site.Configure(fmt.Sprintf(renamedConfig, 4, "quote-2", "press", "night-2"))
		w.note("manifest 4 is confirmed: quote is replaced by quote-2, of the service press, and night by night-2, of the same service as before; hosts and prefixes stay")
	}
	time.Sleep(time.Until(accepted.Add(renamedVisible + 500*time.Millisecond)))
	var broken []string
	for _, id := range ids {
		for _, h := range w.hosts {
			status, text := w.call(h, http.MethodGet, "/quote/"+id, "")
			w.note("GET /quote/%s at entry-%d: %d %s", id, h.number, status, text)
			if status == http.StatusGone {
				broken = append(broken, fmt.Sprintf("LOST: GET /quote/%s at entry-%d is answered 410, %.1f s after the acceptance", id, h.number, time.Since(accepted).Seconds()))
			}
		}
	}
	for n, id := range ids {
		h := w.hosts[n%len(w.hosts)]
		status, _ := w.call(h, http.MethodPost, "/quote/"+id, body)
		w.note("POST /quote/%s again at entry-%d: %d", id, h.number, status)
	}
	status, _ := w.call(w.hosts[0], http.MethodDelete, "/night/"+renamedNight, "")
	w.note("DELETE /night/%s at entry-1: %d", renamedNight, status)
	time.Sleep(renamedStop)
	running := w.site.Running(renamedNight)
	w.note("%d of its work items run %v later", running, renamedStop)
	if running > 0 && (status == http.StatusOK || status == http.StatusGone) {
		broken = append(broken, fmt.Sprintf("UNASKED: %d work items of %s run %v after its cancelling was answered %d", running, renamedNight, renamedStop, status))
	}
	time.Sleep(4*renamedWork - renamedStop)
	listed := w.site.EndsListed("stretch")
	w.note("%d ends of the service stretch are not taken note of", listed)
	if listed > 0 {
		return broken, nil // the rule on second runs asks that ends were taken note of
	}
	return append(broken, w.ranTwice()...), nil
}

// ranTwice returns the work items that were started after a run of them had ended as done, or beside another run.
func (w *world) ranTwice() []string {
	var broken []string
	runs := w.site.Runs()
	for n, r := range runs {
		for _, earlier := range runs[:n] {
			if earlier.Task != r.Task {
				continue
			}
			switch {
			case earlier.How == "done" && earlier.Ended.Before(r.Started):
				broken = append(broken, fmt.Sprintf("TWICE: %s is started on %s %.2f s after its run on %s has ended done", r.Task, r.Backend, r.Started.Sub(earlier.Ended).Seconds(), earlier.Backend))
			case earlier.Ended.IsZero() || earlier.Ended.After(r.Started):
				broken = append(broken, fmt.Sprintf("TWICE: %s is started on %s while it runs on %s", r.Task, r.Backend, earlier.Backend))
			}
		}
	}
	if len(broken) > 0 {
		w.note("work items ran more than once:\n%s", strings.Join(broken, "\n"))
	}
	return broken
}
