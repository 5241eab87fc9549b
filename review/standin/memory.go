package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	memoryLimitMB = 284 // limits.memory_mb of the settings: a process above it is killed
	memoryLook    = 50 * time.Millisecond
	memoryTime    = 70 * time.Second
	memoryID      = "0000000000bada55"
	memorySteps   = 400
	memoryCount   = 5000
	memoryPrefix  = "/quote/"
)

func init() { plays["memory"] = playMemory }

// playMemory hands in a job of many work items, and small ones before and after it. Every accepted job has to be answered, and no process
// may end by itself.
func playMemory(w *world, trouble bool) ([]string, error) {
	w.open(func(string, int) (time.Duration, bool) { return 300 * time.Millisecond, false }, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool("stretch", 8, 64000, 262144, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	defer close(done)
	kills := make([]int, entryHosts)
	go w.enforceMemory(done, kills)
	small := `{"spec":"toe","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":300}]}`
	ids := []string{}
	hand := func(n int) {
		id := fmt.Sprintf("%016x", 0xabc000+n)
		if w.submit(memoryPrefix, id, small, 4) {
			ids = append(ids, id)
		}
	}
	hand(0)
	time.Sleep(2 * time.Second)
	w.note("first: %s", w.state(memoryPrefix, ids[0]))
	steps, count := memorySteps, 5
	if trouble {
		count = memoryCount
	}
	var list []string
	for n := range steps {
		after := ""
		if n > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, n-1)
		}
		list = append(list, fmt.Sprintf(`{"count":%d,"cpu":4000,"mem_mb":1024,"estimate_ms":300%s}`, count, after))
	}
	accepted := w.submit(memoryPrefix, memoryID, `{"spec":"season","steps":[`+strings.Join(list, ",")+`]}`, 4)
	w.note("large job accepted: %v", accepted)
	for n := 1; time.Since(w.began) < memoryTime; n++ {
		hand(n)
		time.Sleep(2 * time.Second)
	}
	time.Sleep(14 * time.Second)
	var broken []string
	for _, id := range ids {
		if s := w.state(memoryPrefix, id); s != "completed" {
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as %q", id, s))
		}
	}
	w.note("kills: %v", kills)
	return broken, nil
}

func rssMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory kills processes above the limit, as the platform does, and starts them again.
func (w *world) enforceMemory(done chan struct{}, kills []int) {
	peak := make([]int, entryHosts)
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(memoryLook):
		}
		for i, h := range w.hosts {
			mb := rssMB(h.process.Process.Pid)
			peak[i] = max(peak[i], mb)
			if n%40 == 0 {
				w.note("entry-%d has %d MB, at most %d", h.number, mb, peak[i])
			}
			if mb > memoryLimitMB {
				w.note("entry-%d has %d MB: killed", h.number, mb)
				w.kill(h)
				kills[i]++
				peak[i] = 0
				_ = w.start(h, false)
			}
		}
	}
}
