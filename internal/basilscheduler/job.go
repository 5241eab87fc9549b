package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// phase tells how far a run is.
type phase int

const (
	phaseStarting phase = iota // ordered, not answered
	phaseRunning
	phaseUnsure   // the start got no answer: to be stopped
	phaseStopping // a stop was ordered
)

// run is one run of a task that may exist on a backend server.
type run struct {
	task     *task
	backend  *backend
	attempt  int
	phase    phase
	reason   string    // of the stop
	since    time.Time // of the order
	until    time.Time // when it is expected to end
	answered time.Time // when the newest order was answered
	settles  time.Time // when a predecessor's stop of it would have ended it
	unsure   time.Time // since when its start is known to have got no answer
	stopSent time.Time // when the newest stop was asked for; zero for none
	stopped  time.Time // when a stop was answered
	percent  int
	moved    time.Time // when percent last changed
	listed   time.Time // when a report last listed it
	saved    string
	usage    int
	pace     int
	resumed  bool // from a checkpoint, or its start was not seen
}

func (r *run) ref() Ref { return Ref{Backend: r.backend.ID, Task: r.task.id, Attempt: r.attempt} }

// working tells whether the run is known to be there and is not being stopped.
func (r *run) working() bool { return r.phase == phaseRunning }

// atWork tells whether a serving run is past its startup, as far as a fresh report tells. A run that a predecessor has had
// stopped is listed like any other until it ends.
func (r *run) atWork(now time.Time) bool {
	return r.phase == phaseRunning && r.percent >= 100 && r.backend.reachable && now.Sub(r.listed) < reportAge && !r.listed.Before(r.settles)
}

// task is one task of an occurrence's step.
type task struct {
	id        basilwork.TaskID
	step      *step
	done      bool
	attempt   int // the highest known
	saved     string
	runs      []*run
	notBefore time.Time
	readyAt   time.Time
	avoid     map[string]time.Time // backend servers to avoid until a time
}

func (t *task) idle() bool { return !t.done && len(t.runs) == 0 }

func (t *task) runOn(backend string, attempt int) *run {
	for _, r := range t.runs {
		if r.backend.ID == backend && r.attempt == attempt {
			return r
		}
	}
	return nil
}

func (t *task) shun(backend string, until time.Time) {
	if t.avoid == nil {
		t.avoid = make(map[string]time.Time)
	}
	t.avoid[backend] = until
}

// step is the state of one step of an occurrence.
type step struct {
	spec       *basilwork.Step
	occurrence *occurrence
	number     int
	tasks      []*task
	demand     basilwork.Room   // of one task
	left       int              // tasks not done
	idle       int              // tasks not done and without runs
	first      int              // no task before this one is idle
	queued     bool             // among the waiting steps
	fresh      bool             // to be looked at by the next decision
	counted    bool             // in the pool's backlog
	on         map[*backend]int // runs by backend server, of a step that is spread
	progress   *basilwork.StepProgress
	observed   map[string]bool // backend servers of which a run of the step has told how fast they are
}

func (s *step) ready() bool {
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// waits tells whether a task of the step, once that is ready, is to be placed.
func (s *step) waits() bool {
	return s.idle > 0 && !s.occurrence.job.record.State.Final()
}

// occurrence is one time that a job's steps run.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	left   int // steps not done
	live   int // runs
}

// job is the state of one accepted job.
type job struct {
	record      basilwork.Record
	queue       *basilwork.Queue // may be nil when no configuration names it any more
	occurrences map[int]*occurrence
	opened      int // occurrences before this one have been opened
	finished    int // occurrences done
	accepted    time.Time
	began       bool
	adopted     bool // may have runs that a predecessor started
	dirty       bool
	soiled      int64 // number of the change that made it dirty
	urgent      bool
}

func (j *job) id() string { return j.record.Job.ID }

func (j *job) maxAttempts() int {
	if j.queue == nil || j.queue.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return j.queue.MaxAttempts
}

// open creates the occurrence's state from its progress.
func (j *job) open(number int) *occurrence {
	p := j.record.Progress[number]
	if p == nil {
		p = &basilwork.OccurrenceProgress{}
		if j.record.Progress == nil {
			j.record.Progress = make(map[int]*basilwork.OccurrenceProgress)
		}
		j.record.Progress[number] = p
	}
	for len(p.Steps) < len(j.record.Job.Steps) {
		p.Steps = append(p.Steps, basilwork.StepProgress{})
	}
	o := &occurrence{job: j, number: number, due: j.record.Job.Due(number)}
	for n := range j.record.Job.Steps {
		spec := &j.record.Job.Steps[n]
		s := &step{spec: spec, occurrence: o, number: n, progress: &p.Steps[n], demand: spec.Demand()}
		for i := range s.spec.Count {
			s.tasks = append(s.tasks, s.newTask(i))
		}
		if s.left > 0 {
			o.left++
		}
		o.steps = append(o.steps, s)
	}
	return o
}

func (s *step) newTask(index int) *task {
	j := s.occurrence.job
	t := &task{
		id:    basilwork.TaskID{Job: j.id(), Occurrence: s.occurrence.number, Step: s.number, Index: index},
		step:  s,
		done:  s.progress.IsDone(index),
		saved: s.progress.Saved[index],
	}
	for _, a := range s.progress.Failed[index] {
		t.attempt = max(t.attempt, a)
	}
	if !t.done {
		s.left++
		s.idle++
	}
	return t
}

// remaining returns the run time of the longest chain of steps that is not done.
func (o *occurrence) remaining(now time.Time, length func(s *step) time.Duration) time.Duration {
	return o.job.record.Job.Chain(func(n int) time.Duration {
		s := o.steps[n]
		if s.left == 0 {
			return 0
		}
		full := length(s)
		return max(full-s.worked(now, full), 0)
	})
}

// worked returns how much of the step's length has passed for its least advanced task.
func (s *step) worked(now time.Time, full time.Duration) time.Duration {
	if s.idle > 0 {
		return 0
	}
	least := full
	for _, t := range s.tasks {
		if t.done {
			continue
		}
		var best time.Duration
		for _, r := range t.runs {
			best = max(best, full*time.Duration(r.percent)/100, min(now.Sub(r.since), full/2))
		}
		least = min(least, best)
	}
	return least
}
