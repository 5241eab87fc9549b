package basilscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	defaultMaxAttempts = 3                       // where no configuration tells
	suspectFailures    = 3                       // runs in a row; one job's bad tasks fail everywhere
	suspectJobs        = 2                       // different jobs among them
	suspectPause       = 3 * time.Second         // before a suspect backend server is tried again
	busyPause          = 400 * time.Millisecond  // after a backend server said that it is unhealthy
	roomPause          = 150 * time.Millisecond  // after a backend server had less room than counted
	retryPause         = 200 * time.Millisecond  // between a task's failed run and the next
	stopRepeat         = 500 * time.Millisecond  // between unanswered stops
	stallFactor        = 3                       // times the expected run time without progress
	stallFloor         = 2 * time.Second         // least time without progress; reports come every second
	avoidTime          = 4 * time.Second         // that a task keeps off a backend server where it stalled
	stopSlack          = 200 * time.Millisecond  // from the end of a run to the report of it
	unsureTime         = 2500 * time.Millisecond // in which a report tells whether a run is there; one comes each second
	reportAge          = 2 * time.Second         // of a report that still tells what runs; they come every second
	epochAttempts      = 100                     // attempts reserved to each owner of a task
)

// Options are what a pool is made with.
type Options struct {
	Epoch int64         // of the owner; the first is 1
	Grace time.Duration // how long a predecessor's unseen runs may last
	Stop  time.Duration // that a stopped run takes to end, at most
	Order Order         // of waiting work
}

// Pool is the state of one service's jobs and backend servers. One goroutine uses it.
type Pool struct {
	options     Options
	jobs        map[string]*job
	dirty       map[string]*job // whose records changed since they were last taken
	soils       int64           // records that became dirty so far
	backends    map[string]*backend
	list        []*backend // the same, by id
	waiting     waiting
	room        room
	backlog     backlog
	entries     []basilwork.Backend // of the list, as Backends returns them; nil until it is asked for
	byEnd       []*backend          // all, by when their last runs are expected to end
	layout      int                 // changes with the backend servers and with what lasts on them
	done        []*occurrence       // whose steps are done and that have no runs
	started     time.Time
	unsettled   map[string]time.Time // backend servers that may hold a predecessor's runs, and until when
	queues      map[string]*basilwork.Queue
	times       map[timeKey]*learned
	spreads     map[string]*spread // by queue
	tickets     map[string]*stepTickets
	actions     Actions
	wake        time.Time
	fenced      bool
	arrived     int64     // work of the jobs taken up, thousandths of core-seconds
	typicalOdds float64   // of being slow, that most backend servers do not exceed
	compared    time.Time // when those were worked out
	cramped     bool      // a long-running task found no backend server at the last decision
	allowed     int       // starts of one decision
}

// New returns an empty pool.
func New(o Options, now time.Time) *Pool {
	return &Pool{
		options: o, started: now, allowed: math.MaxInt,
		jobs:      make(map[string]*job),
		dirty:     make(map[string]*job),
		backends:  make(map[string]*backend),
		unsettled: make(map[string]time.Time),
		queues:    make(map[string]*basilwork.Queue),
		times:     make(map[timeKey]*learned),
		spreads:   make(map[string]*spread),
		tickets:   make(map[string]*stepTickets),
	}
}

// Fenced tells whether a backend server has seen a newer owner.
func (p *Pool) Fenced() bool { return p.fenced }

// SetConfiguration takes up the queues.
func (p *Pool) SetConfiguration(c *basilwork.Configuration) {
	for n := range c.Queues {
		q := c.Queues[n]
		p.queues[q.Name] = &q
	}
	for _, j := range p.jobs {
		j.queue = p.queues[j.record.Job.Queue]
	}
}

// Allow sets how many starts a decision may ask for; a gang that begins below the number is started whole.
func (p *Pool) Allow(starts int) { p.allowed = starts }

// Predecessor notes a backend server that may hold runs of an earlier owner.
//
// Until it has answered, or the options' grace is over, tasks of adopted jobs that
// it might run are not started.
func (p *Pool) Predecessor(entry basilwork.Backend) {
	p.unsettled[entry.ID] = p.started.Add(p.options.Grace)
	p.setBackend(entry)
	p.backends[entry.ID].present = false
}

// AddJob takes up a stored job; adopted says that an earlier owner may have started tasks of it.
func (p *Pool) AddJob(r basilwork.Record, adopted bool) {
	if p.jobs[r.Job.ID] != nil || r.State.Final() {
		return
	}
	j := &job{
		record: r, queue: p.queues[r.Job.Queue], occurrences: make(map[int]*occurrence),
		accepted: time.UnixMilli(r.Accepted), adopted: adopted, began: r.State != basilwork.JobStatePending,
	}
	for n := range j.record.Job.Occurrences() {
		if q := r.Progress[n]; q != nil && q.Done {
			j.finished++
		}
	}
	p.jobs[r.Job.ID] = j
	p.waiting.openings = append(p.waiting.openings, opening{job: j})
	p.waiting.openAt = time.Time{}
	if !adopted {
		p.arrived += workOf(&r.Job)
	}
}

// workOf returns the estimated work of a job's short tasks, in thousandths of core-seconds.
func workOf(j *basilwork.Job) int64 {
	var work int64
	for n := range j.Steps {
		if s := &j.Steps[n]; !s.LongRunning && !s.Fills {
			work += int64(s.Count) * int64(s.Room.CPU) * s.Estimate.Milliseconds() / 1000
		}
	}
	return work
}

// Cancel stops what runs of a job that was cancelled.
func (p *Pool) Cancel(id string, now time.Time) {
	if j := p.jobs[id]; j != nil {
		p.conclude(j, basilwork.JobStateCanceled)
		p.clean(j)
		p.endJob(j, "canceled", now)
	}
}

// endJob stops all runs of a job and forgets it once none is left.
func (p *Pool) endJob(j *job, reason string, now time.Time) {
	var live int
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					live++
					p.stop(r, reason, now)
				}
			}
		}
	}
	if live == 0 && !j.dirty {
		delete(p.jobs, j.id())
		for _, o := range j.occurrences {
			p.forgetTickets(o)
		}
	}
}

// SetBackends replaces the list of backend servers; those that left it get no new work.
func (p *Pool) SetBackends(list []basilwork.Backend) {
	listed := make(map[string]bool, len(list))
	for _, b := range list {
		listed[b.ID] = true
		p.setBackend(b)
	}
	for id, b := range p.backends {
		if listed[id] {
			continue
		}
		if b.present {
			p.layout++
		}
		b.present = false
		if len(b.runs) == 0 && p.unsettled[id].IsZero() {
			p.forgetBackend(id)
		}
	}
}

func (p *Pool) setBackend(entry basilwork.Backend) {
	b := p.backends[entry.ID]
	if b == nil {
		b = &backend{reachable: true}
		p.backends[entry.ID] = b
		n, _ := p.findBackend(entry.ID)
		p.list = slices.Insert(p.list, n, b)
		p.byEnd = append(p.byEnd, b)
	}
	if !b.present || b.Draining != entry.Draining || b.Room != entry.Room {
		p.layout++
	}
	b.touched = b.touched || b.Draining != entry.Draining
	b.Backend = entry
	b.present = true
	p.entries = nil
}

// findBackend returns where the backend server is or belongs in the list.
func (p *Pool) findBackend(id string) (int, bool) {
	return slices.BinarySearchFunc(p.list, id, func(b *backend, id string) int { return cmp.Compare(b.ID, id) })
}

func (p *Pool) forgetBackend(id string) {
	delete(p.backends, id)
	p.entries = nil
	if n, ok := p.findBackend(id); ok {
		p.byEnd = slices.DeleteFunc(p.byEnd, func(b *backend) bool { return b == p.list[n] })
		p.list = slices.Delete(p.list, n, n+1)
	}
	p.layout++
}

// Attached notes that the backend server has answered under the owner's fencing token.
func (p *Pool) Attached(id string) {
	if b := p.backends[id]; b != nil {
		b.attached = true
	}
	delete(p.unsettled, id)
}

// Recorded notes that the backend server is stored as one that may have runs.
func (p *Pool) Recorded(id string) {
	if b := p.backends[id]; b != nil {
		b.recorded = true
	}
}

// Knows tells whether the backend server is listed or may have runs.
func (p *Pool) Knows(id string) bool { return p.backends[id] != nil }

// Backends returns the backend servers that are listed or may have runs, by id; the list is not to be changed.
func (p *Pool) Backends() []basilwork.Backend {
	if p.entries == nil {
		p.entries = make([]basilwork.Backend, 0, len(p.list))
		for _, b := range p.list {
			p.entries = append(p.entries, b.Backend)
		}
	}
	return p.entries
}

// SetReachable notes whether the backend server answers.
func (p *Pool) SetReachable(id string, reachable bool) {
	if b := p.backends[id]; b != nil {
		b.reachable = reachable
	}
}

// Evacuate keeps new work off a backend server and moves away what it has, or ends that.
func (p *Pool) Evacuate(id string, on bool) {
	if b := p.backends[id]; b != nil && b.evacuating != on {
		b.evacuating = on
		b.touched = true
		p.layout++
	}
}

// SetDue notes the backend servers that are to be emptied before long; tasks that last keep off them.
func (p *Pool) SetDue(ids []string) {
	due := make(map[string]bool, len(ids))
	for _, id := range ids {
		due[id] = true
	}
	for _, b := range p.list {
		if b.due != due[b.ID] {
			b.due = due[b.ID]
			b.touched = true
			p.layout++
		}
	}
}

// Emptied tells whether the backend server is being emptied and certainly has no runs.
//
// One that has not answered this owner may have a predecessor's.
func (p *Pool) Emptied(id string) bool {
	b := p.backends[id]
	return b != nil && b.evacuating && b.attached && len(b.runs) == 0
}

// Lost notes that nothing runs any more on an incarnation of a backend server.
func (p *Pool) Lost(id string, now time.Time) {
	delete(p.unsettled, id)
	b := p.backends[id]
	if b == nil {
		return
	}
	for _, r := range b.sortedRuns() {
		p.endRun(r, basilwork.RunEndLost, now)
	}
	p.forgetBackend(id)
}

// Reborn forgets what was known of a backend server that started again under its id, as the answer
// to a hold asked for at sent told; Report is to follow with that answer.
//
// Runs that the answer lists or must list are settled by it. Of others ordered since, nobody knows which
// incarnation has them: they are stopped.
func (p *Pool) Reborn(id string, answer basilwork.Report, sent, now time.Time) {
	b := p.backends[id]
	if b == nil {
		return
	}
	b.processed = 0
	b.attached = false
	for _, r := range b.sortedRuns() {
		if r.phase == phaseRunning && !r.settled(sent) && !lists(answer.Running, r) {
			r.phase = phaseUnsure
			p.stop(r, "backend server started again", now)
		}
	}
}

func lists(running []basilwork.RunStatus, r *run) bool {
	task := r.task.id.String()
	return slices.ContainsFunc(running, func(s basilwork.RunStatus) bool { return s.Task == task && s.Attempt == r.attempt })
}

// Processed returns up to which number the ends of a backend server were taken in.
func (p *Pool) Processed() map[string]int64 {
	numbers := make(map[string]int64, len(p.backends))
	for id, b := range p.backends {
		numbers[id] = b.processed
	}
	return numbers
}

// Busy tells whether the backend server may have runs.
func (p *Pool) Busy(id string) bool {
	b := p.backends[id]
	return b != nil && len(b.runs) > 0
}

// MayHaveRuns tells whether the backend server may have runs of this owner, or of an earlier one that it has not told of.
func (p *Pool) MayHaveRuns(id string) bool {
	return p.Busy(id) || !p.unsettled[id].IsZero()
}
