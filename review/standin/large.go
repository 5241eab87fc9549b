package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

func init() { plays["large"] = playLarge }

// Figures of the case. In the burst, large jobs come 2.6 times as often for 4 s, as the site file has it at most.
const (
	largePool    = 8
	largeChains  = 10 // of each large job, beside each other
	largeLength  = 20 // steps of a chain
	largeEvery   = 340 * time.Millisecond
	largeRunTime = 100 * time.Millisecond
	largePlay    = 24 * time.Second
	smallEvery   = 500 * time.Millisecond
	smallTasks   = 4
	burstFrom    = 8 * time.Second
	burstFor     = 4 * time.Second
	burstTenths  = 26  // ten times the factor
	maxEnds      = 500 // that a backend server returns at a time
)

// largeBody returns a job of many steps, with a spec of the longest size. It is far below the manifest's limit of a body.
func largeBody() string {
	var list []string
	for n := range largeChains * largeLength {
		after := ""
		if n >= largeChains {
			after = fmt.Sprintf(`,"after":[%d]`, n-largeChains)
		}
		list = append(list, fmt.Sprintf(`{"count":1,"cpu":250,"mem_mb":64,"estimate_ms":100,"image":"registry.example/shoe-care/stretch-stage-%03d@sha256:%064x"%s}`, n, n, after))
	}
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, strings.Repeat("step ", 800), strings.Join(list, ","))
}

// limitEnds has answers to holds list the first ends only, as the pages say.
func limitEnds(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/hold" {
			h.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		body := recorder.Body.Bytes()
		var answer map[string]any
		if json.Unmarshal(body, &answer) == nil {
			if ends, ok := answer["ended"].([]any); ok && len(ends) > maxEnds {
				answer["ended"] = ends[:maxEnds]
				body, _ = json.Marshal(answer) // of what was decoded
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body) // a caller that left needs no answer
	})
}

// acceptedJobs are the tasks of the accepted jobs, by job.
type acceptedJobs struct {
	mutex sync.Mutex
	tasks map[string]int
}

func (a *acceptedJobs) add(id string, tasks int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.tasks[id] = tasks
}

// playLarge has callers hand in small and large jobs all the time, and for some seconds more large ones.
func playLarge(w *world, trouble bool) ([]string, error) {
	w.wrap = func(name string, h http.Handler) http.Handler {
		if strings.HasPrefix(name, "127.") { // of a backend server
			return limitEnds(h)
		}
		return h
	}
	w.open(func(string, int) (time.Duration, bool) { return largeRunTime, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool("stretch", largePool, 16000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	const small = `{"spec":"quote","steps":[{"count":4,"cpu":250,"mem_mb":64,"estimate_ms":100}]}`
	large := largeBody()
	accepted := acceptedJobs{tasks: make(map[string]int)}
	var group sync.WaitGroup
	hand := func(id, body string, tasks int) {
		group.Go(func() {
			if w.submit("/quote/", id, body, 4) {
				accepted.add(id, tasks)
			}
		})
	}
	began := time.Now()
	group.Go(func() {
		for n := 0; time.Since(began) < largePlay; n++ {
			hand(fmt.Sprintf("%016x", 0x5a110000+n), small, smallTasks)
			time.Sleep(smallEvery)
		}
	})
	inBurst := false
	for n := 0; time.Since(began) < largePlay; n++ {
		hand(fmt.Sprintf("%016x", 0x1a46e0000+n), large, largeChains*largeLength)
		now := time.Since(began) >= burstFrom && time.Since(began) < burstFrom+burstFor && trouble
		if now != inBurst {
			w.note("burst of large jobs: %v", now)
			inBurst = now
		}
		if inBurst {
			time.Sleep(largeEvery * 10 / burstTenths)
			continue
		}
		time.Sleep(largeEvery)
	}
	group.Wait()
	w.note("end of the traffic")
	time.Sleep(finishTime)
	return w.judgeFinished(accepted.tasks), nil
}

// judgeFinished asks for the jobs and judges whether each goes on, and whether the ends of runs were taken note of. The backend servers
// have room for all of it.
func (w *world) judgeFinished(accepted map[string]int) []string {
	var broken []string
	ended, old, live := 0, 0, 0
	done, running, last := make(map[string]map[string]bool), make(map[string]int), make(map[string]time.Time)
	for _, r := range w.site.Runs() {
		id := r.Task[:16]
		if r.Ended.IsZero() {
			live++
			running[id]++
			continue
		}
		ended++
		if time.Since(r.Ended) > ackTime {
			old++
		}
		if r.Ended.After(last[id]) {
			last[id] = r.Ended
		}
		if done[id] == nil {
			done[id] = make(map[string]bool)
		}
		done[id][r.Task] = true
	}
	listed := w.site.EndsListed("stretch")
	w.note("runs at work: %d; ended: %d, of these %d more than ack_ms ago; ends that backend servers still list: %d", live, ended, old, listed)
	states := make(map[string]int)
	stalled := 0
	for id, tasks := range accepted {
		s := w.state("/quote/", id)
		states[s]++
		w.note("GET /quote/%s: %s; tasks done: %d of %d, at work: %d", id, s, len(done[id]), tasks, running[id])
		if len(done[id]) < tasks && running[id] == 0 && time.Since(last[id]) > 3*time.Second {
			stalled++
		}
	}
	w.note("accepted jobs: %d, by state: %v", len(accepted), states)
	if stalled > 0 {
		broken = append(broken, fmt.Sprintf("LOST: of %d of %d accepted jobs nothing has run for 3 s and more while the turn of a task has come and all servers are idle", stalled, len(accepted)))
	}
	if unseen := listed - (ended - old); unseen*5 > old {
		broken = append(broken, fmt.Sprintf("Acks: %d of %d ends that were listed for longer than ack_ms are not taken note of", unseen, old))
	}
	return broken
}
