package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contactTime  = 3 * time.Second // contact_ms
	applyTime    = 2 * time.Second // config_apply_ms
	silentMargin = 300 * time.Millisecond
	silentWatch  = 12 * time.Second // how long the entry hosts are asked after the change
	silentCalls  = 24               // calls of callers at a time, before
	silentRoute  = `{"name":"%[1]s","host":"shop.example","path_prefix":"/%[1]s/","kind":"unsafe","service":"stretch","timeout_ms":3000,"slo_ms":600,"priority":0,"stretch":1.6,"max_attempts":4}`
	silentConfig = `{"version":%d,"routes":[%s],"services":[{"name":"stretch","health_path":"/health","max_connections":64,"enforces_capacity":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	silentBody = `{"spec":"toe","steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":300}]}`
)

func init() { plays["silent"] = playSilent }

func silentRoutes(names ...string) string {
	text := ""
	for n, name := range names {
		if n > 0 {
			text += ","
		}
		text += fmt.Sprintf(silentRoute, name)
	}
	return text
}

// playSilent has the open channels of one entry host to the store go silent, while new ones work. Once the entry host counts as in touch
// again, the operator adds a route and drops another. After config_apply_ms no entry host may handle requests by the older manifest.
func playSilent(w *world, trouble bool) ([]string, error) {
	w.lines = true
	w.open(func(string, int) (time.Duration, bool) { return 300 * time.Millisecond, false }, fmt.Sprintf(silentConfig, 1, silentRoutes("quote", "old")))
	w.site.AddPool("stretch", 7, 16000, 64000, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	var ids []string
	for n := range 6 {
		id := fmt.Sprintf("%016x", 0x51e0000+n)
		if !w.submit("/quote/", id, silentBody, 4) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	if status, _ := w.call(w.hosts[0], http.MethodPost, "/old/"+fmt.Sprintf("%016x", 0x51d0000), silentBody); status != http.StatusOK {
		return nil, fmt.Errorf("a job on the route old was answered %d", status)
	}
	w.askAll(ids)
	time.Sleep(time.Second)
	if trouble {
		w.note("%d open channels of entry-1 to the store go silent", w.hosts[0].line.silence())
	}
	time.Sleep(contactTime + silentMargin)
	w.site.Configure(fmt.Sprintf(silentConfig, 5, silentRoutes("quote", "new")))
	confirmed := time.Now()
	w.note("manifest 5 is confirmed: it adds the route new and drops the route old")
	time.Sleep(applyTime + silentMargin)
	var broken []string
	for n := 0; time.Since(confirmed) < silentWatch; n++ {
		for _, h := range w.hosts {
			sent := time.Since(confirmed)
			if status, _ := w.call(h, http.MethodGet, "/new/", ""); status == http.StatusNotFound {
				broken = append(broken, fmt.Sprintf("CONFIG: entry-%d refused GET /new/ with 404, sent %.2f s after the confirmation of the manifest with the route", h.number, sent.Seconds()))
			}
			id := fmt.Sprintf("%015x%d", 0x01d000+n, h.number)
			w.site.Submitted(id, silentBody, 4)
			sent = time.Since(confirmed)
			status, _ := w.call(h, http.MethodPost, "/old/"+id, silentBody)
			w.note("POST /old/%s at entry-%d: %d", id, h.number, status)
			if status == http.StatusOK {
				broken = append(broken, fmt.Sprintf("CONFIG: entry-%d accepted %s on the dropped route old, sent %.2f s after the confirmation", h.number, id, sent.Seconds()))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}

// askAll has callers ask entry-1 for the states of jobs, many at a time.
func (w *world) askAll(ids []string) {
	for range 4 {
		var group sync.WaitGroup
		for n := range silentCalls {
			group.Go(func() { w.call(w.hosts[0], http.MethodGet, "/quote/"+ids[n%len(ids)], "") })
		}
		group.Wait()
	}
}
