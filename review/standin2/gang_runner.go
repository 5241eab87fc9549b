package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

const (
	gangHold     = 6 * time.Second // the longest lease that runners grant
	gangTimeout  = 3 * time.Second
	gangStopTime = 200 * time.Millisecond
	gangBeat     = 1500 * time.Millisecond
	saveTime     = time.Second // of work between two checkpoints
	gangPoll     = 20 * time.Millisecond
)

// gangStart is a start that a runner has begun.
type gangStart struct {
	at         time.Time
	runner     string
	task       string
	attempt    int
	checkpoint string
}

// gangSite is a platform whose runners let the work items of a gang work only together.
type gangSite struct {
	store   basilfake.Store
	network *loopback
	record  *record
	members int           // of each gang
	takes   time.Duration // work of each member
	mutex   sync.Mutex    // guards the following fields, and the runners
	runners []*gangRunner
	starts  []gangStart
	lives   int
}

// gangRunner is one life of a runner.
type gangRunner struct {
	site     *gangSite
	id       string
	address  string
	born     time.Time
	gone     bool
	draining bool
	fence    int64
	deadline time.Time
	runs     []*gangRun
	past     map[string]int // the highest attempt that was stopped or has ended, by task
	ends     []gangEnd
	number   int64
}

// gangRun is a run on a runner.
type gangRun struct {
	task       string
	attempt    int
	checkpoint string // that the start carried
	started    time.Time
	worksSince time.Time // zero until all members of the run are there
	stopAt     time.Time // zero unless it is being stopped
}

// gangEnd is the listed end of a run.
type gangEnd struct {
	number  int64
	task    string
	attempt int
	how     string
	saved   string
}

func newGangSite(network *loopback, r *record, members int, takes time.Duration) *gangSite {
	s := &gangSite{network: network, record: r, members: members, takes: takes}
	network.Listen(basilfake.StoreAddress, &s.store)
	network.Listen(basilfake.MachinesAddress, http.HandlerFunc(s.serveMachines))
	return s
}

func (s *gangSite) configure(configuration string) {
	s.store.Put("op", "config", base64.StdEncoding.EncodeToString([]byte(configuration)))
}

// addRunner starts a runner that has room for one member.
func (s *gangSite) addRunner() *gangRunner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lives++
	b := &gangRunner{
		site: s, id: fmt.Sprintf("g-%d", s.lives), address: fmt.Sprintf("127.%d.100.%d:%d", s.network.part, s.lives, standInPort),
		born: time.Now(), past: make(map[string]int),
	}
	s.runners = append(s.runners, b)
	s.network.Listen(b.address, b)
	s.record.add("runner %s joins", b.id)
	go b.beat()
	return b
}

// beat writes the runner's entry while it lives.
func (b *gangRunner) beat() {
	for {
		b.site.mutex.Lock()
		gone := b.gone
		b.site.mutex.Unlock()
		if gone {
			return
		}
		b.writeEntry()
		time.Sleep(gangBeat)
	}
}

func (b *gangRunner) writeEntry() {
	b.site.mutex.Lock()
	defer b.site.mutex.Unlock()
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{ // of plain values only
		"service": "calf", "address": b.address, "zone": "north", "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]int{"cpu": 8000, "mem_mb": 65536}, "labels": []string{"a", "r1-1"}, "clock_ms": b.clock(), "born": b.born.UnixMilli(),
	})
	b.site.store.Put("servers", b.id, base64.StdEncoding.EncodeToString(body))
}

// drain has the runner report that it is leaving.
func (b *gangRunner) drain() {
	b.site.mutex.Lock()
	b.draining = true
	b.site.mutex.Unlock()
	b.site.record.add("runner %s reports that it is draining", b.id)
	b.writeEntry()
}

// leave ends the runner and all that runs there.
func (b *gangRunner) leave() {
	b.site.mutex.Lock()
	b.gone = true
	runs := b.runs
	b.runs = nil
	for _, x := range runs {
		b.site.breakGang(x)
	}
	b.site.mutex.Unlock()
	b.site.record.add("runner %s has left", b.id)
	b.site.network.Listen(b.address, nil)
	b.site.store.Remove("servers", b.id)
}

func (b *gangRunner) clock() int64 { return time.Since(b.born).Milliseconds() + 1 }

func gangOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// together returns all runs of the same gang and attempt. The site's mutex is held, as in all that follow.
func (s *gangSite) together(x *gangRun) (runs []*gangRun, on []*gangRunner) {
	for _, b := range s.runners {
		for _, o := range b.runs {
			if gangOf(o.task) == gangOf(x.task) && o.attempt == x.attempt {
				runs, on = append(runs, o), append(on, b)
			}
		}
	}
	return runs, on
}

// breakGang ends the other members of a run that has ended.
func (s *gangSite) breakGang(x *gangRun) {
	runs, on := s.together(x)
	for n, o := range runs {
		on[n].end(o, "broken")
	}
}

// saved returns the newest checkpoint of the run.
func (x *gangRun) saved() string {
	if x.worksSince.IsZero() || time.Since(x.worksSince) < saveTime {
		return x.checkpoint
	}
	return fmt.Sprintf("%s-%d-%d", x.task, x.attempt, time.Since(x.worksSince)/saveTime)
}

// end lists the end of a run.
func (b *gangRunner) end(x *gangRun, how string) {
	for n, o := range b.runs {
		if o == x {
			b.runs = append(b.runs[:n:n], b.runs[n+1:]...)
		}
	}
	b.past[x.task] = max(b.past[x.task], x.attempt)
	b.number++
	b.ends = append(b.ends, gangEnd{b.number, x.task, x.attempt, how, x.saved()})
	b.site.record.add("run of %s, attempt %d, on %s ends %s, checkpoint %q", x.task, x.attempt, b.id, how, x.saved())
}

// advance ends what is over by now.
func (s *gangSite) advance() {
	for _, b := range s.runners {
		for _, x := range append([]*gangRun(nil), b.runs...) {
			switch {
			case !x.stopAt.IsZero() && time.Now().After(x.stopAt):
				b.end(x, "stopped")
				s.breakGang(x)
			case time.Now().After(b.deadline):
				b.end(x, "lapsed")
				s.breakGang(x)
			case x.worksSince.IsZero() && time.Since(x.started) > gangTimeout:
				b.end(x, "alone")
			case !x.worksSince.IsZero() && time.Since(x.worksSince) > s.takes:
				runs, on := s.together(x)
				for n, o := range runs {
					on[n].end(o, "done")
				}
			}
		}
	}
}

type gangOrder struct {
	Task         string `json:"task"`
	Attempt      int    `json:"attempt"`
	Deadline     int64  `json:"deadline_ms"`
	Fence        int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	Acknowledged int64  `json:"ack_cursor"`
	Wait         int64  `json:"wait_ms"`
}

// ServeHTTP serves the runner's calls.
func (b *gangRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o gangOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := b.serve(r.URL.Path, &o)
	if r.URL.Path == "/api/hold" && status == http.StatusOK {
		body = b.awaitEnd(time.Duration(o.Wait) * time.Millisecond)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that left needs no answer
}

func (b *gangRunner) serve(path string, o *gangOrder) (status int, body map[string]any) {
	b.site.mutex.Lock()
	defer b.site.mutex.Unlock()
	b.site.advance()
	reason := ""
	switch {
	case o.Fence < b.fence:
		reason = "fence"
	case path == "/api/run-start":
		b.fence = o.Fence
		reason = b.start(o)
	case path == "/api/run-stop":
		b.fence = o.Fence
		b.stop(o)
	default:
		b.fence = o.Fence
		b.extend(o.Deadline)
		b.acknowledge(o.Acknowledged)
	}
	if reason != "" {
		return http.StatusConflict, map[string]any{"clock_ms": b.clock(), "reason": reason}
	}
	return http.StatusOK, map[string]any{"clock_ms": b.clock()}
}

func (b *gangRunner) start(o *gangOrder) (reason string) {
	for _, x := range b.runs {
		if x.task == o.Task && x.attempt == o.Attempt {
			return ""
		}
	}
	if o.Attempt <= b.past[o.Task] {
		b.extend(o.Deadline)
		return "old"
	}
	if o.Deadline <= b.clock() {
		return "late"
	}
	b.extend(o.Deadline)
	if len(b.runs) > 0 {
		return "room"
	}
	x := &gangRun{task: o.Task, attempt: o.Attempt, checkpoint: o.Checkpoint, started: time.Now()}
	b.runs = append(b.runs, x)
	b.site.starts = append(b.site.starts, gangStart{time.Now(), b.id, o.Task, o.Attempt, o.Checkpoint})
	b.site.record.add("start of %s, attempt %d, on %s with checkpoint %q", o.Task, o.Attempt, b.id, o.Checkpoint)
	if runs, _ := b.site.together(x); len(runs) == b.site.members {
		for _, m := range runs {
			m.worksSince = time.Now()
		}
	}
	return ""
}

func (b *gangRunner) stop(o *gangOrder) {
	b.past[o.Task] = max(b.past[o.Task], o.Attempt)
	for _, x := range b.runs {
		if x.task == o.Task && x.attempt == o.Attempt && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(gangStopTime)
		}
	}
}

func (b *gangRunner) extend(deadline int64) {
	until := b.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(gangHold); until.After(limit) {
		until = limit
	}
	if until.After(b.deadline) {
		b.deadline = until
	}
}

func (b *gangRunner) acknowledge(number int64) {
	for len(b.ends) > 0 && b.ends[0].number <= number {
		b.ends = b.ends[1:]
	}
}

// awaitEnd returns the lists once an end is listed, or after the wait.
func (b *gangRunner) awaitEnd(wait time.Duration) map[string]any {
	for until := time.Now().Add(wait); ; time.Sleep(gangPoll) {
		b.site.mutex.Lock()
		b.site.advance()
		body, ends := b.lists(), len(b.ends)
		b.site.mutex.Unlock()
		if ends > 0 || time.Now().After(until) {
			return body
		}
	}
}

func (b *gangRunner) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, x := range b.runs {
		percent := 0
		if !x.worksSince.IsZero() {
			percent = int(min(99, 100*time.Since(x.worksSince)/b.site.takes))
		}
		running = append(running, []any{x.task, x.attempt, x.saved(), percent, 0})
	}
	for _, e := range b.ends {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, e.saved})
	}
	return map[string]any{"clock_ms": b.clock(), "born": b.born.UnixMilli(), "running": running, "ended": ended}
}

func (s *gangSite) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	machines := []map[string]any{}
	for n, b := range s.runners {
		m := map[string]any{
			"machine": fmt.Sprintf("m-%d", n+1), "pool": "calf", "state": "up", "zone": "north", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 8000, "mem_mb": 65536}, "id": b.id,
		}
		if b.gone {
			m["state"], m["id"] = "down", ""
		}
		machines = append(machines, m)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": machines, "next_token": nil}) // a caller that left needs no answer
}
