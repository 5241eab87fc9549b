package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// phase is the state of a run as far as the scheduler knows it.
type phase int

const (
	phaseStarting phase = iota // the start was requested and is not answered yet
	phaseRunning
	phaseUnanswered // the start request got no answer, so it is repeated or the run has to be stopped
	phaseStopping   // a stop was requested
)

// run is one run of a task that may exist on a backend server.
type run struct {
	task               *task
	backend            *backend
	attempt            int
	phase              phase
	stopReason         string    // set once the run has to be stopped
	orderedAt          time.Time // when the start was requested, or the run was adopted
	expectedEnd        time.Time
	answeredAt         time.Time // when the start was answered, or a report first listed the run
	listable           bool      // it may be put into the list of runs: its backend server has answered since it was placed there
	predecessorStopEnd time.Time // when the run has ended at the latest if a predecessor requested its stop
	unansweredSince    time.Time // since when the start request is known to have no answer
	stopRequestedAt    time.Time // when a stop was last requested; zero if never
	stoppingSince      time.Time // when a stop was first requested
	stopAnsweredAt     time.Time // when a stop request was answered
	ignoredStop        bool      // a stop request was answered and did not end the run
	percent            int
	progressedAt       time.Time // when percent last changed
	listedAt           time.Time // when a report last listed the run
	checkpoint         string
	usage              int
	pace               int
	resumed            bool   // started from a checkpoint, or its start was not observed
	adopted            bool   // a previous owner started it, at an unknown time
	startCheckpoint    string // that the start request carried, like the ticket
	ticket             string
	repeats            int       // how many times the start was requested again
	repeatedAt         time.Time // when it last was
	repeating          bool      // that request is open
}

func (r *run) ref() Ref { return Ref{Backend: r.backend.ID, Task: r.task.id, Attempt: r.attempt} }

// working reports whether the run is known to exist and is not being stopped.
func (r *run) working() bool { return r.phase == phaseRunning }

// available reports whether a long-running run is past its startup according to a recent report. A run whose stop was
// requested by a predecessor is listed like any other until it ends, so an adopted run doesn't count at first.
func (r *run) available(now time.Time) bool {
	return r.phase == phaseRunning && r.percent >= 100 && r.backend.reachable && now.Sub(r.listedAt) < maxReportAge && !r.listedAt.Before(r.predecessorStopEnd)
}

// task is one task of a step.
type task struct {
	id         basilwork.TaskID
	step       *step
	done       bool
	attempt    int // highest attempt number known
	checkpoint string
	runs       []*run
	notBefore  time.Time
	unheardAt  time.Time // when a start was last withdrawn as its backend server didn't answer
	readyAt    time.Time
	avoidUntil map[string]time.Time // backend servers to avoid, by ID or address, and until when
	suspicion  int                  // weight of the recorded crashes of backend servers that had a run of it
	excused    bool                 // a crash that something else explains was not counted
	accounted  bool                 // its newest run is known: this owner has started it or seen it running
	presence   presence             // of a long-running task
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

// avoidBackend keeps new runs of the task off the backend server with the ID, or those at the address, until the given time.
func (t *task) avoidBackend(backend string, until time.Time) {
	if t.avoidUntil == nil {
		t.avoidUntil = make(map[string]time.Time)
	}
	t.avoidUntil[backend] = until
}

// step is the state of one step of an occurrence.
type step struct {
	spec          *basilwork.Step
	occurrence    *occurrence
	number        int
	tasks         []*task
	demand        basilwork.Resources // of one task
	unfinished    int                 // number of tasks that are not done
	idle          int                 // number of tasks that are not done and have no runs
	firstIdle     int                 // index below which no task is idle
	accounted     int                 // number of tasks whose newest run is known
	queued        bool                // in the list of waiting steps
	pending       bool                // has to be considered by the next decision
	inBacklog     bool                // included in the backlog of the pool
	runsOn        map[*backend]int    // number of runs by backend server, for a step with anti-affinity
	progress      *basilwork.StepProgress
	speedObserved map[string]bool // backend servers whose speed was already estimated from a run of this step
}

func (s *step) ready() bool {
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// account records that the newest run of the task is known. While it runs no other one exists, because an owner starts a task again only when
// the run before has ended.
func (t *task) account() {
	if !t.accounted {
		t.accounted = true
		t.step.accounted++
	}
}

// hasWaiting reports whether tasks of the step have to be placed once the step is ready.
func (s *step) hasWaiting() bool {
	return s.idle > 0 && !s.occurrence.job.record.State.Final()
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job        *job
	number     int
	due        time.Time
	steps      []*step
	unfinished int // number of steps that are not done
	liveRuns   int // number of runs
	ranking    ranking
}

// job is the state of an accepted job that is not forgotten yet.
type job struct {
	record      basilwork.Record
	queue       *basilwork.Queue // nil if the configuration has no such queue any more
	occurrences map[int]*occurrence
	opened      int // number of the next occurrence to open
	finished    int // number of occurrences done
	accepted    time.Time
	started     bool
	adopted     bool // a previous owner may have started runs of it
	dirty       bool
	dirtySeq    int64 // value of Pool.changes when the job became dirty
	urgent      bool
}

func (j *job) id() string { return j.record.Job.ID }

func (j *job) maxAttempts() int {
	if j.queue == nil || j.queue.MaxAttempts <= 0 {
		return defaultMaxAttempts
	}
	return j.queue.MaxAttempts
}

// openOccurrence creates the state of an occurrence from its stored progress.
func (j *job) openOccurrence(number int) *occurrence {
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
	o := &occurrence{job: j, number: number, due: j.record.Job.StartTime(number)}
	for n := range j.record.Job.Steps {
		spec := &j.record.Job.Steps[n]
		s := &step{spec: spec, occurrence: o, number: n, progress: &p.Steps[n], demand: spec.Demand()}
		for i := range s.spec.Count {
			s.tasks = append(s.tasks, s.newTask(i))
		}
		if s.unfinished > 0 {
			o.unfinished++
		}
		o.steps = append(o.steps, s)
	}
	return o
}

func (s *step) newTask(index int) *task {
	j := s.occurrence.job
	t := &task{
		id:         basilwork.TaskID{Job: j.id(), Occurrence: s.occurrence.number, Step: s.number, Index: index},
		step:       s,
		done:       s.progress.IsDone(index),
		checkpoint: s.progress.Checkpoints[index],
	}
	for _, a := range s.progress.Failed[index] {
		t.attempt = max(t.attempt, a)
	}
	for _, c := range s.progress.Crashes[index] {
		t.attempt = max(t.attempt, c.Attempt)
	}
	t.suspicion = suspicionOf(s.progress.Crashes[index])
	if !t.done {
		s.unfinished++
		s.idle++
	}
	return t
}

// remaining returns the remaining run time of the longest chain of unfinished steps.
func (o *occurrence) remaining(now time.Time, length func(s *step) time.Duration) time.Duration {
	return o.job.record.Job.CriticalPath(func(n int) time.Duration {
		s := o.steps[n]
		if s.unfinished == 0 {
			return 0
		}
		full := length(s)
		return max(full-s.elapsed(now, full), 0)
	})
}

// elapsed returns how much of the run time of the step has passed, for its least advanced task.
func (s *step) elapsed(now time.Time, full time.Duration) time.Duration {
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
			best = max(best, full*time.Duration(r.percent)/100, min(now.Sub(r.orderedAt), full/2))
		}
		least = min(least, best)
	}
	return least
}
