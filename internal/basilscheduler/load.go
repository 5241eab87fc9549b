package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// movableAge is how long it lasts what was found of moves, unless backend servers or long-running runs change; short
// runs come and go all the time.
const movableAge = 200 * time.Millisecond

// Load is how much a pool has to do.
type Load struct {
	Jobs     int
	Waiting  int // tasks ready and not started
	Running  int
	Backends int
	Present  int // backend servers that are listed
	Usable   int // of which take new runs
	Unstored int // of which no successor would know yet, so that nothing may run there
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

// backlog is what waits and what lasts, of the ready steps of all jobs.
type backlog struct {
	waiting int // tasks not started
	wanted  basilwork.Room
	serving basilwork.Room
	spread  map[*step]bool // long-running, and kept apart
}

// count counts a ready step, or no longer does.
func (l *backlog) count(s *step, sign int) {
	l.addWaiting(s, sign*s.idle)
	if !s.spec.LongRunning || s.left == 0 {
		return
	}
	l.serving = l.serving.Add(times(s.demand, sign*s.left))
	if s.spec.AntiAffinity == 0 {
		return
	}
	if sign < 0 {
		delete(l.spread, s)
		return
	}
	if l.spread == nil {
		l.spread = make(map[*step]bool)
	}
	l.spread[s] = true
}

func (l *backlog) addWaiting(s *step, count int) {
	l.waiting += count
	l.wanted = l.wanted.Add(times(s.demand, count))
}

// least returns how many backend servers the long-running steps need.
func (l *backlog) least() int {
	var least int
	for s := range l.spread {
		least = max(least, (s.spec.Count+s.spec.AntiAffinity-1)/s.spec.AntiAffinity)
	}
	return least
}

func times(r basilwork.Room, count int) basilwork.Room {
	return basilwork.Room{CPU: r.CPU * count, Memory: r.Memory * count, GPU: r.GPU * count}
}

// Load returns how much the pool has to do.
func (p *Pool) Load(now time.Time) Load {
	l := Load{
		Jobs: len(p.jobs), Arrived: p.arrived,
		Waiting: p.backlog.waiting, Wanted: p.backlog.wanted, Serving: p.backlog.serving, Least: p.backlog.least(),
	}
	for _, b := range p.list {
		if b.present {
			l.Present++
		}
		if b.present && !b.recorded {
			l.Unstored++
		}
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
		l.Usable++
		if p.slow(b, now) {
			l.Slow = append(l.Slow, b.ID)
		}
		if len(b.runs) == 0 {
			l.Idle = append(l.Idle, b.ID)
		}
	}
	l.Brief = p.brief(now)
	l.Movable = p.movable(now)
	if p.cramped {
		l.Least = max(l.Least, l.Usable+1)
	}
	return l
}

func (p *Pool) brief(now time.Time) []string {
	slices.SortFunc(p.byEnd, func(a, b *backend) int { return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.ID, b.ID)) })
	ids := make([]string, 0, len(p.byEnd))
	for _, b := range p.byEnd {
		if b.serving == 0 && len(b.runs) > 0 && b.usable(now) {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

func (p *Pool) movable(now time.Time) []string {
	var list []*backend
	for _, b := range p.list {
		if b.serving > 0 && b.usable(now) && p.mayMove(b, now) {
			list = append(list, b)
		}
	}
	slices.SortStableFunc(list, func(a, b *backend) int { return cmp.Compare(a.used.CPU, b.used.CPU) })
	ids := make([]string, 0, len(list))
	for _, b := range list {
		ids = append(ids, b.ID)
	}
	return ids
}

// mayMove tells whether all long-running runs of the backend server may be moved to others that have such, as
// far as each by itself tells.
func (p *Pool) mayMove(b *backend, now time.Time) bool {
	if b.movableOf != p.layout || now.Sub(b.movableAt) >= movableAge {
		b.movableOf, b.movableAt = p.layout, now
		b.movable = !slices.ContainsFunc(b.runs, func(r *run) bool { return r.task.step.spec.LongRunning && !p.joins(r, now) })
	}
	return b.movable
}

// joins tells whether the run fits beside other long-running ones.
func (p *Pool) joins(r *run, now time.Time) bool {
	for _, b := range p.list {
		if b.serving > 0 && b != r.backend && !b.due && p.fits(r.task, b, nil, now) {
			return true
		}
	}
	return false
}
