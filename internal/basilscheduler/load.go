package basilscheduler

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// movableMaxAge is how long the result of canMoveLongRuns stays valid if the backend servers and long-running runs don't
// change. Short runs come and go too often to invalidate it each time.
const movableMaxAge = 200 * time.Millisecond

// Load summarizes the workload and the capacity of a pool.
type Load struct {
	Jobs          int
	Waiting       int // tasks that are ready but not started
	Running       int
	Backends      int
	Present       int // backend servers in the current list
	Usable        int // present backend servers that accept new runs
	Unrecorded    int // present backend servers not stored yet; unknown to a successor, so nothing may run there
	Leaving       int // present backend servers that are draining
	Orphans       int // runs listed in the newest reports that belong to no known task
	Unstopped     int // runs that were listed too long after their stop was answered
	Used          basilwork.Resources
	Room          basilwork.Resources
	WaitingDemand basilwork.Resources // of the waiting tasks
	Serving       basilwork.Resources // of the long-running tasks
	LastingHosts  int                 // hosts of those listed that long-running tasks and gangs need, beside others that they lack
	MinBackends   int                 // minimum number of backend servers for the long-running tasks, and for waiting ones that fit beside none of these
	Listed        int                 // backend servers in the current list that are not being evacuated and have not ended, if Kept is set
	Kept          int                 // sound ones of these that are used or needed, if waiting work needs hosts without long-running tasks
	Lacking       []HostNeed          // hosts that the pool lacks beyond those listed
	ArrivedWork   basilwork.Resources // total estimated work of the jobs added so far: what their tasks reserve, times seconds
	Limited       bool                // the owner starts too few tasks to fill the room
	Idle          []string            // usable backend servers without runs
	ShortOnly     []string            // usable backend servers with short runs only, those expected to be empty first at the front
	Slow          []string            // usable backend servers that take much longer than most others
	Movable       []string            // usable backend servers whose long-running runs fit elsewhere, the least used first
}

// backlog sums up the waiting and the long-running tasks of the ready steps of all jobs.
type backlog struct {
	waiting       int // tasks that are not started
	waitingDemand basilwork.Resources
	serving       basilwork.Resources
	spreadSteps   map[*step]bool // long-running steps with anti-affinity
}

// count adds a ready step to the backlog (sign 1) or removes it (sign -1).
func (l *backlog) count(s *step, sign int) {
	l.addWaiting(s, sign*s.idle)
	if !s.spec.LongRunning || s.unfinished == 0 {
		return
	}
	l.serving = l.serving.Add(multiply(s.demand, sign*s.unfinished))
	if s.spec.AntiAffinity == 0 {
		return
	}
	if sign < 0 {
		delete(l.spreadSteps, s)
		return
	}
	if l.spreadSteps == nil {
		l.spreadSteps = make(map[*step]bool)
	}
	l.spreadSteps[s] = true
}

func (l *backlog) addWaiting(s *step, count int) {
	l.waiting += count
	l.waitingDemand = l.waitingDemand.Add(multiply(s.demand, count))
}

// minBackends returns the minimum number of backend servers that the anti-affinity of the long-running steps requires.
func (l *backlog) minBackends() int {
	var least int
	for s := range l.spreadSteps {
		least = max(least, (s.spec.Count+s.spec.AntiAffinity-1)/s.spec.AntiAffinity)
	}
	return least
}

func multiply(r basilwork.Resources, count int) basilwork.Resources {
	return basilwork.Resources{CPU: r.CPU * count, Memory: r.Memory * count, GPU: r.GPU * count}
}

// Load returns the current workload and capacity of the pool.
func (p *Pool) Load(now time.Time) Load {
	l := Load{
		Jobs: len(p.jobs), ArrivedWork: p.arrivedWork,
		Waiting: p.backlog.waiting, WaitingDemand: p.backlog.waitingDemand, Serving: p.backlog.serving, MinBackends: p.backlog.minBackends(),
	}
	for _, b := range p.list {
		if b.present {
			l.Present++
		}
		if b.present && !b.recorded {
			l.Unrecorded++
		}
		if b.present && b.Draining {
			l.Leaving++
		}
		if b.present && b.attached && !b.Draining {
			l.Backends++
			l.Room = l.Room.Add(b.Resources)
		}
		l.Used = l.Used.Add(b.used)
		l.Running += len(b.runs)
		l.Orphans += len(b.orphans)
		for _, r := range b.runs {
			if r.ignoredStop {
				l.Unstopped++
			}
		}
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
	l.Limited = p.StartsLimited(now)
	l.ShortOnly = p.shortOnlyBackends(now)
	l.Movable = p.movableBackends(now)
	if p.needsBackend {
		l.MinBackends = max(l.MinBackends, l.Usable+1)
	}
	n := p.hostNeeds(now)
	l.Listed, l.Kept, l.Lacking = n.present, n.kept, n.lacking
	l.LastingHosts = max(p.backlog.minBackends()-lastingLacked(n.lacking), n.lasting)
	l.MinBackends = max(l.MinBackends, n.kept)
	return l
}

// shortOnlyBackends returns the usable backend servers that have only short runs, by expected end.
func (p *Pool) shortOnlyBackends(now time.Time) []string {
	slices.SortFunc(p.byEnd, func(a, b *backend) int { return cmp.Or(a.busyUntil.Compare(b.busyUntil), cmp.Compare(a.ID, b.ID)) })
	ids := make([]string, 0, len(p.byEnd))
	for _, b := range p.byEnd {
		if b.longRuns == 0 && len(b.runs) > 0 && b.usable(now) {
			ids = append(ids, b.ID)
		}
	}
	return ids
}

// movableBackends returns the usable backend servers whose long-running runs can move, the least used first.
func (p *Pool) movableBackends(now time.Time) []string {
	var list []*backend
	for _, b := range p.list {
		if b.longRuns > 0 && b.usable(now) && p.canMoveLongRuns(b, now) {
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

// canMoveLongRuns reports whether each long-running run of the backend server fits on another backend server that has
// such runs. The runs are checked one by one, so they might not fit all at once.
func (p *Pool) canMoveLongRuns(b *backend, now time.Time) bool {
	if b.movableLayout != p.layoutVersion || now.Sub(b.movableAt) >= movableMaxAge {
		b.movableLayout, b.movableAt = p.layoutVersion, now
		b.movable = !slices.ContainsFunc(b.runs, func(r *run) bool { return r.task.step.spec.LongRunning && !p.fitsBesideLongRuns(r, now) })
	}
	return b.movable
}

// fitsBesideLongRuns reports whether the run fits on another backend server that has long-running runs.
func (p *Pool) fitsBesideLongRuns(r *run, now time.Time) bool {
	for _, b := range p.list {
		if b.longRuns > 0 && b != r.backend && !b.maintenanceDue && p.fits(r.task, b, nil, now) {
			return true
		}
	}
	return false
}
