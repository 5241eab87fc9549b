package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Load is how much a pool has to do.
type Load struct {
	Jobs     int
	Waiting  int // tasks ready and not started
	Running  int
	Backends int
	Leaving  int // backend servers that are listed and end before long
	Used     basilwork.Room
	Room     basilwork.Room
	Wanted   basilwork.Room // of the waiting tasks
	Serving  basilwork.Room // of the long-running tasks
	Least    int            // backend servers that long-running tasks need
	Arrived  int64          // estimated work of the jobs so far, thousandths of core-seconds
	Idle     []string       // usable backend servers without runs
	Brief    []string       // usable backend servers with short runs only, those that end first at the front
	Slow     []string       // usable backend servers that take far longer than others
	Movable  []string       // usable backend servers whose long-running runs fit elsewhere, the least occupied first
}

// Load returns how much the pool has to do.
func (p *Pool) Load(now time.Time) Load {
	l := Load{Jobs: len(p.jobs), Arrived: p.arrived}
	usable := 0
	for _, b := range p.list {
		id := b.ID
		if b.present && b.Draining {
			l.Leaving++
		}
		if b.present && b.attached && !b.Draining {
			l.Backends++
			l.Room = l.Room.Add(b.Room)
		}
		l.Used = l.Used.Add(b.used)
		l.Running += len(b.runs)
		if !b.usable(now) {
			continue
		}
		usable++
		if p.slow(b, now) {
			l.Slow = append(l.Slow, id)
		}
		switch {
		case len(b.runs) == 0:
			l.Idle = append(l.Idle, id)
		case b.serving == 0:
			l.Brief = append(l.Brief, id)
		case p.movable(b, now):
			l.Movable = append(l.Movable, id)
		}
	}
	slices.SortStableFunc(l.Brief, func(a, b string) int { return p.backends[a].until.Compare(p.backends[b].until) })
	slices.SortStableFunc(l.Movable, func(a, b string) int { return cmp.Compare(p.backends[a].used.CPU, p.backends[b].used.CPU) })
	for _, j := range p.jobs {
		if j.record.State.Final() {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				l.addStep(s)
			}
		}
	}
	if p.cramped {
		l.Least = max(l.Least, usable+1)
	}
	return l
}

// movable tells whether all long-running runs of the backend server may be moved to others that have such, as
// far as each by itself tells.
func (p *Pool) movable(b *backend, now time.Time) bool {
	for _, r := range b.runs {
		if r.task.step.spec.LongRunning && !p.joins(r, now) {
			return false
		}
	}
	return true
}

// joins tells whether the run fits beside other long-running ones.
func (p *Pool) joins(r *run, now time.Time) bool {
	for _, b := range p.list {
		if b != r.backend && b.serving > 0 && !b.due && p.fits(r.task, b, nil, now) {
			return true
		}
	}
	return false
}

func (l *Load) addStep(s *step) {
	if s.left == 0 || !s.ready() {
		return
	}
	if s.spec.LongRunning && s.spec.AntiAffinity > 0 {
		l.Least = max(l.Least, (s.spec.Count+s.spec.AntiAffinity-1)/s.spec.AntiAffinity)
	}
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		if s.spec.LongRunning {
			l.Serving = l.Serving.Add(s.spec.Demand())
		}
		if len(t.runs) == 0 {
			l.Waiting++
			l.Wanted = l.Wanted.Add(s.spec.Demand())
		}
	}
}
