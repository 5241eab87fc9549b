package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	brimMost   = 540 // steps of the first try; each of them takes some 140 bytes of the 64 KiB of a row
	brimFew    = 40  // without trouble
	brimSmall  = 20  // short jobs, half of them before
	brimFinish = finishTime + 6*time.Second
)

func init() { plays["brim"] = playBrim }

// brimBody is a job of so many steps, all after the first.
func brimBody(steps int) string {
	var list []string
	for n := range steps {
		after := ""
		if n > 0 {
			after = `,"after":[0]`
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":200,"image":"registry.shop.example/season/part-%04d:2026-12-05.1"%s}`, n, after))
	}
	return `{"spec":"season","steps":[` + strings.Join(list, ",") + `]}`
}

// playBrim hands in one job that is as large as the system accepts, and short jobs before and after it. The ends of all work items have to
// be taken note of, so that the jobs are shown as completed.
func playBrim(w *world, trouble bool) ([]string, error) {
	w.open(func(string, int) (time.Duration, bool) { return 200 * time.Millisecond, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool("stretch", 8, 32000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	var ids []string
	hand := func(count int) error {
		for range count {
			id := fmt.Sprintf("%016x", 0x50000+len(ids))
			if !w.submit("/quote/", id, `{"spec":"toe","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":200}]}`, 4) {
				return fmt.Errorf("job %s was not accepted", id)
			}
			ids = append(ids, id)
		}
		return nil
	}
	if err := hand(brimSmall / 2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	steps, status := brimMost, 0
	if !trouble {
		steps = brimFew
	}
	for ; steps > 0 && status != http.StatusOK; steps-- {
		id := fmt.Sprintf("%016x", 0xb410000+steps)
		body := brimBody(steps)
		w.site.Submitted(id, body, 4)
		status, _ = w.call(w.hosts[0], http.MethodPost, "/quote/"+id, body)
		w.note("POST /quote/%s (%d steps, %d bytes) at entry-1: %d", id, steps, len(body), status)
	}
	time.Sleep(5 * time.Second)
	if err := hand(brimSmall / 2); err != nil {
		return nil, err
	}
	time.Sleep(brimFinish)
	pending := 0
	for _, id := range ids {
		state := w.state("/quote/", id)
		w.note("%s is shown as %s", id, state)
		if state != "completed" {
			pending++
		}
	}
	ended := 0
	for _, r := range w.site.Runs() {
		if r.How == "done" && time.Since(r.Ended) > ackTime {
			ended++
		}
	}
	listed := w.site.EndsListed("stretch")
	w.note("%d runs have ended over %v ago, and %d ends are not taken note of", ended, ackTime, listed)
	if listed*5 > ended {
		return []string{fmt.Sprintf("Acks: %d of %d ends are not taken note of, and %d of %d short jobs are not shown as completed %v after they were handed in",
			listed, ended, pending, len(ids), brimFinish)}, nil
	}
	return nil, nil
}
