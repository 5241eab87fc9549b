package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	crashJobs     = 40
	crashServers  = 8                       // one of them is an eighth, below the share of 0.14 that a site file names
	crashEvery    = 2500 * time.Millisecond // from one crash to the next
	crashDown     = 2 * time.Second         // a site file names 4.5 s
	crashTime     = 45 * time.Second
	crashWork     = 20 * time.Second // of a work item
	crashAttempts = 4                // max_attempts of the queue
	crashPrefix   = "/quote/"
	crashPool     = "stretch"
	crashLimit    = 105 * time.Second // from the start of the program
)

func init() { plays["crashes"] = playCrashes }

// playCrashes hands in jobs of one work item each, which never fails, and has servers crash one after the other, drawn at random. No job
// may be shown as failed.
func playCrashes(w *world, trouble bool) ([]string, error) {
	w.open(func(string, int) (time.Duration, bool) { return crashWork, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool(crashPool, crashServers, 16000, 64000, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	body := `{"spec":"last","steps":[{"count":1,"cpu":1000,"mem_mb":512,"estimate_ms":20000}]}`
	states := make(map[string]string)
	for n := range crashJobs {
		id := fmt.Sprintf("%016x", 0xc0a50000+n)
		if !w.submit(crashPrefix, id, body, crashAttempts) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		states[id] = "pending"
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.crashByTurns()
	}
	var broken []string
	for open := true; open && time.Since(w.began) < crashLimit; time.Sleep(time.Second) {
		open = false
		for id, state := range states {
			if state == "completed" || state == "failed" {
				continue
			}
			states[id] = w.state(crashPrefix, id)
			if states[id] == "failed" {
				ends, crashes := w.endsOf(id)
				w.note("%s is shown as failed: %d of its runs ended failed, %d with their server", id, ends, crashes)
				if ends == 0 {
					broken = append(broken, fmt.Sprintf("LOST: %s is shown as failed, no run of it has ended failed, and %d were lost with their server", id, crashes))
				}
			}
			open = open || states[id] != "completed" && states[id] != "failed"
		}
	}
	for id, state := range states {
		if state != "completed" && state != "failed" {
			w.note("%s is shown as %s at the end", id, state)
		}
	}
	return broken, nil
}

// crashByTurns crashes one server after the other, drawn from those that are up.
func (w *world) crashByTurns() {
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for until := time.Now().Add(crashTime); time.Now().Before(until); time.Sleep(crashEvery) {
		list := w.site.Backends(crashPool)
		if len(list) < crashServers {
			continue
		}
		b := list[random.IntN(len(list))]
		w.note("%s crashes, with %d runs; a new one starts at its address after %v", b.ID(), w.site.RunsOn(b), crashDown)
		w.site.CrashFor(b, basilfake.Outage{For: crashDown})
	}
}

// endsOf returns how many runs of a job have ended as failed, and how many were lost with their server.
func (w *world) endsOf(id string) (failed, lost int) {
	for _, r := range w.site.Runs() {
		if !strings.HasPrefix(r.Task, id+".") {
			continue
		}
		switch r.How {
		case "failed":
			failed++
		case "lost":
			lost++
		}
	}
	return failed, lost
}
