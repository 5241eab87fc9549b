package basilexperiment

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const strandedTime = 3 * time.Second // for which nothing of a job may run while its pool has room: the users' rule LOST

// strandedCount counts the jobs that wait though their pool has room: for strandedTime nothing of them ran while a task's turn had come,
// there was room for it twice over, and under half of the pool's room was in use.
type strandedCount struct {
	world    *world
	since    map[string]time.Duration // by job, since when it has waited so
	stranded map[string]bool
}

func newStrandedCount(w *world) *strandedCount {
	return &strandedCount{world: w, since: make(map[string]time.Duration), stranded: make(map[string]bool)}
}

// sample looks at all jobs now.
func (c *strandedCount) sample() {
	w := c.world
	running := make(map[string]bool)
	for _, h := range w.hosts {
		for ref := range h.runs {
			running[ref.Task.Job] = true
		}
	}
	rooms := make(map[string]*poolRoom, len(w.pools))
	for _, p := range w.pools {
		rooms[p.name] = w.roomOf(p)
	}
	for id, a := range w.jobs {
		accepted := a.queue != nil && w.now >= warmUp+a.at
		if !accepted || a.cancelled || a.poisoned || w.figures.finished[id] || running[id] || !rooms[a.queue.Service].fitsTwice(&a.job) {
			delete(c.since, id)
			continue
		}
		if _, ok := c.since[id]; !ok {
			c.since[id] = w.now
		}
		if w.now-c.since[id] >= strandedTime {
			c.stranded[id] = true
		}
	}
	w.figures.Stranded = len(c.stranded)
}

// poolRoom is the room of a pool's listed hosts.
type poolRoom struct {
	used, all basilwork.Resources
	free      []basilwork.Resources // of each host
}

func (w *world) roomOf(p *pool) *poolRoom {
	r := &poolRoom{}
	for _, h := range w.hosts {
		if h.pool == p && h.listed {
			r.used, r.all = r.used.Add(h.used), r.all.Add(h.Resources)
			r.free = append(r.free, h.Resources.Sub(h.used))
		}
	}
	return r
}

// fitsTwice reports whether under half of the room is in use and two hosts have room for any task of the job.
func (r *poolRoom) fitsTwice(j *basilwork.Job) bool {
	if 2*r.used.CPU >= r.all.CPU || 2*r.used.Memory >= r.all.Memory {
		return false
	}
	var demand basilwork.Resources
	for n := range j.Steps {
		demand = demand.Max(j.Steps[n].Demand())
	}
	hosts := 0
	for _, f := range r.free {
		if f.Covers(demand) {
			hosts++
		}
	}
	return hosts >= 2
}
