package basilscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	defaultMaxAttempts = 3                       // if the configuration sets none
	suspectFailures    = 3                       // consecutive failed runs, of several jobs: bad tasks of one job fail everywhere
	suspectJobs        = 2                       // distinct jobs among these runs
	suspectPause       = 3 * time.Second         // before a suspended backend server is tried again
	busyPause          = 400 * time.Millisecond  // after a backend server refused a run because it is unhealthy
	roomPause          = 150 * time.Millisecond  // after a backend server refused a run because it had less room than expected
	retryPause         = 200 * time.Millisecond  // between a failed run of a task and the next one
	stopRetryInterval  = 500 * time.Millisecond  // between stop requests without an answer
	stallFactor        = 3                       // multiple of the expected run time without progress
	minStallTime       = 2 * time.Second         // minimum time without progress; reports arrive every second
	avoidTime          = 4 * time.Second         // how long a task avoids a backend server where its run failed, stalled or was lost
	endReportDelay     = 200 * time.Millisecond  // from the end of a run to the report of it
	unansweredWait     = 2500 * time.Millisecond // a report shows within it whether an unanswered start succeeded; reports arrive every second
	maxReportAge       = 2 * time.Second         // maximum age of a report that counts as current; reports arrive every second
	attemptsPerEpoch   = 100                     // attempt numbers reserved for each epoch
)

// Options are the options of a pool.
type Options struct {
	Epoch       int64         // of the owner, starting at 1
	Grace       time.Duration // how long runs of a predecessor may exist without being reported
	StopTimeout time.Duration // maximum time that a stopped run takes to end
	Order       Order         // of the waiting work
}

// Pool is the state of the jobs and backend servers of one service. It is not safe for concurrent use.
type Pool struct {
	options          Options
	jobs             map[string]*job
	dirty            map[string]*job // with changes that were not taken yet
	decisions        int64           // how many decisions were begun
	changes          int64           // how many times a clean record became dirty
	backends         map[string]*backend
	list             []*backend // all backend servers, by ID
	waiting          waiting
	placement        placement
	backlog          backlog
	backendList      []basilwork.Backend // cached result of Backends; nil if outdated
	byEnd            []*backend          // all backend servers, by expected end of their last run
	layoutVersion    int                 // incremented when backend servers or long-running runs change
	doneOccurrences  []*occurrence       // done occurrences without runs, to be removed
	startedAt        time.Time
	predecessorUntil map[string]time.Time          // backend servers that may have runs of a predecessor, and until when
	predecessorEnded map[string]time.Time          // those that have ended, and until when they might have had runs otherwise
	predecessorRuns  map[string][]basilwork.TaskID // by backend server in predecessorUntil, the tasks of listed steps that may run there, if known
	predecessorTasks map[basilwork.TaskID]int      // in how many of these lists each task is
	runListsChanged  bool                          // see TakeRunLists
	suspectsUntil    time.Time                     // until when tasks that may have crashed such a server are held back
	possibleCrashes  map[basilwork.TaskID]int      // crashes that may still count, by task, as of the current decision; nil if not counted yet
	queues           map[string]*basilwork.Queue   // by ID, also those that the configuration no longer has
	namedQueues      map[string]*basilwork.Queue   // the same by name
	runTimes         map[runTimeKey]*runTimeRatio
	spreads          map[string]*runTimeSpread // by queue
	tickets          map[string]*stepTickets   // by step
	adviceCalls      adviceCalls
	actions          Actions
	wakeTime         time.Time
	fenced           bool
	arrivedWork      basilwork.Resources  // estimated work of the jobs added so far: what their tasks reserve, times seconds
	medianOdds       float64              // median of slowOdds over the usable backend servers
	comparedAt       time.Time            // when medianOdds was last computed
	needsBackend     bool                 // a long-running task found no room in the last decision
	openStarts       []openStart          // in the order of the losses of their backend servers
	lateStarts       []lateStart          // in the order of the losses, too
	silences         []silence            // of backend servers that were lost lately
	givenUp          map[string]time.Time // when jobs were given up since backend servers crashed under their tasks, as long as silences are kept
	inheritedCrash   bool                 // a backend server that may have had runs of a predecessor has crashed
	hostNeed         hostNeeds            // cached result of hostNeeds
	startLimit       int                  // maximum number of starts per decision
	startPressure    startPressure
	returns          Returns // not taken yet
}

// New returns an empty pool.
func New(o Options, now time.Time) *Pool {
	return &Pool{
		options: o, startedAt: now, startLimit: math.MaxInt,
		jobs:             make(map[string]*job),
		dirty:            make(map[string]*job),
		backends:         make(map[string]*backend),
		predecessorUntil: make(map[string]time.Time),
		predecessorEnded: make(map[string]time.Time),
		predecessorRuns:  make(map[string][]basilwork.TaskID),
		predecessorTasks: make(map[basilwork.TaskID]int),
		queues:           make(map[string]*basilwork.Queue),
		namedQueues:      make(map[string]*basilwork.Queue),
		runTimes:         make(map[runTimeKey]*runTimeRatio),
		spreads:          make(map[string]*runTimeSpread),
		tickets:          make(map[string]*stepTickets),
	}
}

// Fenced reports whether a backend server has seen a newer owner.
func (p *Pool) Fenced() bool { return p.fenced }

// SetConfiguration replaces the configured queues.
func (p *Pool) SetConfiguration(c *basilwork.Configuration) {
	for n := range c.Queues {
		q := c.Queues[n]
		p.queues[q.ID()], p.namedQueues[q.Name] = &q, &q
	}
	for _, j := range p.jobs {
		j.queue = p.queueOf(&j.record.Job)
	}
}

// queueOf returns the queue whose settings hold for the job: the one that is or was at the address that it was submitted to, or else one
// with the settings that are stored with the job or, for want of these, the one that has the name of its queue, or nil.
func (p *Pool) queueOf(j *basilwork.Job) *basilwork.Queue {
	if q := p.queues[j.QueueID]; q != nil {
		return q
	}
	if j.Settings != nil {
		return j.Settings.Queue()
	}
	return p.namedQueues[j.Queue]
}

// SetStartLimit limits the number of starts per decision. A gang is started as a whole even if it exceeds the limit.
func (p *Pool) SetStartLimit(starts int) { p.startLimit = starts }

// AddJob adds a stored job. With adopted set, a previous owner may have started tasks of it.
func (p *Pool) AddJob(r basilwork.Record, adopted bool) {
	if p.jobs[r.Job.ID] != nil || r.State.Final() {
		return
	}
	r.Job = bounded(r.Job)
	j := &job{
		record: r, finished: r.CountDone(), opened: r.LeadingDone, queue: p.queueOf(&r.Job), occurrences: make(map[int]*occurrence),
		accepted: time.UnixMilli(r.Accepted), adopted: adopted, started: r.State != basilwork.JobStatePending,
	}
	p.jobs[r.Job.ID] = j
	p.waiting.unopened = append(p.waiting.unopened, unopenedJob{job: j})
	p.waiting.nextOpenAt = time.Time{}
	if !adopted {
		p.arrivedWork = p.arrivedWork.Add(workOf(&r.Job))
	}
}

// Cancel marks a job as cancelled and stops its runs.
func (p *Pool) Cancel(id string, now time.Time) {
	if j := p.jobs[id]; j != nil {
		p.finalize(j, basilwork.JobStateCanceled)
		p.markClean(j)
		p.endJob(j, "canceled", now)
	}
}

// endJob stops all runs of a job, and removes the job once it has no runs and no unsaved changes.
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

// SetBackends replaces the list of backend servers. Removed backend servers get no new runs.
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
			p.layoutVersion++
		}
		b.present = false
		if len(b.runs)+len(b.orphans)+len(b.givenUp) == 0 && !p.mayHavePredecessorRuns(id) {
			p.recordUnlisted(b)
			p.forgetBackend(id)
		}
	}
}

func (p *Pool) setBackend(entry basilwork.Backend) {
	b := p.backends[entry.ID]
	if b == nil {
		p.markSucceeded(entry)
		b = &backend{reachable: true}
		p.backends[entry.ID] = b
		n, _ := p.backendIndex(entry.ID)
		p.list = slices.Insert(p.list, n, b)
		p.byEnd = append(p.byEnd, b)
	}
	if !b.present || b.Draining != entry.Draining || b.Resources != entry.Resources {
		p.layoutVersion++
	}
	b.needsCheck = b.needsCheck || b.Draining != entry.Draining
	b.Backend = entry
	b.present = true
	p.backendList = nil
}

// backendIndex returns the index of the backend server in the list, or where to insert it.
func (p *Pool) backendIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(p.list, id, func(b *backend, id string) int { return cmp.Compare(b.ID, id) })
}

func (p *Pool) forgetBackend(id string) {
	delete(p.backends, id)
	p.backendList = nil
	if n, ok := p.backendIndex(id); ok {
		p.forgetAdvice(p.list[n])
		p.byEnd = slices.DeleteFunc(p.byEnd, func(b *backend) bool { return b == p.list[n] })
		p.list = slices.Delete(p.list, n, n+1)
	}
	p.layoutVersion++
}

// Attached records that the backend server has answered under the owner's fencing token.
func (p *Pool) Attached(id string) {
	if b := p.backends[id]; b != nil {
		b.attached = true
		p.changeRunList(b)
		p.forgetSilence(b)
	}
	p.forgetPredecessor(id)
}

// SetRecorded sets whether the backend server is stored as one that may have runs.
func (p *Pool) SetRecorded(id string, recorded bool) {
	if b := p.backends[id]; b != nil {
		b.recorded = recorded
	}
}

// Knows reports whether the backend server is listed or may have runs.
func (p *Pool) Knows(id string) bool { return p.backends[id] != nil }

// Backends returns the backend servers that are listed or may have runs, by ID. Callers must not modify the slice.
func (p *Pool) Backends() []basilwork.Backend {
	if p.backendList == nil {
		p.backendList = make([]basilwork.Backend, 0, len(p.list))
		for _, b := range p.list {
			p.backendList = append(p.backendList, b.Backend)
		}
	}
	return p.backendList
}

// SetReachable sets whether the backend server answers.
func (p *Pool) SetReachable(id string, reachable bool) {
	if b := p.backends[id]; b != nil {
		b.reachable = reachable
	}
}

// Evacuate starts or ends the evacuation of a backend server: it gets no new runs, and its runs move away.
func (p *Pool) Evacuate(id string, on bool) {
	if b := p.backends[id]; b != nil && b.evacuating != on {
		b.evacuating = on
		b.needsCheck = true
		p.layoutVersion++
	}
}

// SetMaintenanceDue sets which backend servers are due for maintenance. Long-running tasks avoid them.
func (p *Pool) SetMaintenanceDue(ids []string) {
	due := make(map[string]bool, len(ids))
	for _, id := range ids {
		due[id] = true
	}
	for _, b := range p.list {
		if b.maintenanceDue != due[b.ID] {
			b.maintenanceDue = due[b.ID]
			b.needsCheck = true
			p.layoutVersion++
		}
	}
}

// IsEmptied reports whether the backend server is being evacuated and certainly has no runs, and no end that only it and this owner know of:
// the effect of its ends up to storedEnd is stored.
//
// A backend server that has not answered this owner yet may still have runs of a predecessor.
func (p *Pool) IsEmptied(id string, storedEnd int64) bool {
	b := p.backends[id]
	return b != nil && b.evacuating && b.attached && len(b.runs) == 0 && b.lastEndNumber <= storedEnd
}

// Lost removes an incarnation of a backend server that has no runs any more.
func (p *Pool) Lost(id string, reason basilwork.Loss, now time.Time) {
	if reason == basilwork.LossReplaced && p.mayHavePredecessorRuns(id) {
		p.inheritedCrash = true
	}
	p.forgetPredecessor(id)
	b := p.backends[id]
	if b == nil {
		return
	}
	runs := b.sortedRuns()
	l := p.newSilence(b, b.lostRuns(runs))
	b.forgetGivenUp()
	p.recordOpenStarts(runs)
	if reason == basilwork.LossExpired {
		p.recordLateStarts(runs, now)
	}
	for _, r := range runs {
		p.endRun(r, basilwork.RunEndLost, now)
	}
	p.forgetBackend(id)
	if b.attached && reason != basilwork.LossRemoved {
		p.recordSilence(l, b.succeeded || reason == basilwork.LossReplaced, now)
	}
}

// Restarted resets the state of a backend server that restarted under its ID, as revealed by the answer to a
// hold request that was made at the time sent. The caller has to pass the same answer to Report afterwards.
//
// Report resolves the runs that the answer lists or would have to list. For runs requested later it is unknown which
// incarnation has them, so they are stopped.
func (p *Pool) Restarted(id string, answer basilwork.Report, sent, now time.Time) {
	b := p.backends[id]
	if b == nil {
		return
	}
	b.lastEndNumber = 0
	b.attached = false
	p.forgetAdvice(b)
	p.recordReturn(id, now)
	gone := slices.DeleteFunc(b.sortedRuns(), func(r *run) bool {
		return !r.orderedAt.Before(sent) || !r.answeredAt.Before(sent) || lists(answer.Running, r)
	})
	p.recordOpenStarts(gone)
	l := p.newSilence(b, b.lostRuns(gone))
	b.forgetGivenUp()
	p.recordSilence(l, true, now)
	b.heardFrom = time.Time{}
	for _, r := range b.sortedRuns() {
		repeated := r.phase == phaseRunning && r.repeats > 0 && now.Sub(r.repeatedAt) < basilwork.MaxOrderDelay // a request may be carried out late
		unanswered := repeated || r.phase == phaseUnanswered && r.stopReason == ""
		if (unanswered || r.phase == phaseRunning && !r.mustBeListed(sent)) && !lists(answer.Running, r) {
			r.phase = phaseUnanswered
			p.stop(r, "backend server started again", now)
		}
	}
}

func lists(running []basilwork.RunStatus, r *run) bool {
	task := r.task.id.String()
	return slices.ContainsFunc(running, func(s basilwork.RunStatus) bool { return s.Task == task && s.Attempt == r.attempt })
}

// Processed returns the number of the last processed run end of each backend server.
func (p *Pool) Processed() map[string]int64 {
	numbers := make(map[string]int64, len(p.backends))
	for id, b := range p.backends {
		numbers[id] = b.lastEndNumber
	}
	return numbers
}

// Busy reports whether the backend server may have runs of this owner.
func (p *Pool) Busy(id string) bool {
	b := p.backends[id]
	return b != nil && len(b.runs) > 0
}

// MayHaveRuns reports whether the backend server may have runs of this owner, or unreported runs of a previous one, or may have crashed under
// runs that were given up.
func (p *Pool) MayHaveRuns(id string) bool {
	b := p.backends[id]
	return p.Busy(id) || p.mayHavePredecessorRuns(id) || b != nil && len(b.givenUp) > 0
}
