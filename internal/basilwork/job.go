package basilwork

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"
)

// Resources is an amount of resources: a demand or a capacity.
type Resources struct {
	CPU    int `json:"c,omitempty"` // thousandths of a core
	Memory int `json:"m,omitempty"` // MB
	GPU    int `json:"g,omitempty"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Max returns the larger of both amounts of each kind.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), GPU: max(r.GPU, o.GPU)}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Step is one step of a job: a number of identical tasks.
type Step struct {
	Count             int           `json:"n"`
	Resources         Resources     `json:"r"`
	Estimate          time.Duration `json:"e,omitempty"`
	After             []int         `json:"a,omitempty"`
	Gang              bool          `json:"gang,omitempty"`
	SameRack          bool          `json:"rack,omitempty"`
	Checkpointing     bool          `json:"save,omitempty"`
	Speculative       bool          `json:"spec,omitempty"`
	LongRunning       bool          `json:"long,omitempty"`
	Filler            bool          `json:"fill,omitempty"`
	Label             string        `json:"label,omitempty"`
	Affinity          string        `json:"near,omitempty"`
	AntiAffinity      int           `json:"apart,omitempty"`
	Image             string        `json:"image,omitempty"`
	Target            time.Duration `json:"target,omitempty"`
	MaxUnavailable    int           `json:"away,omitempty"`
	HasMaxUnavailable bool          `json:"limit,omitempty"` // whether MaxUnavailable is in force
}

// Demand returns the resources that one task reserves on a backend server.
//
// A task with Filler set runs on processor time that others leave idle, so it reserves none.
func (s *Step) Demand() Resources {
	if s.Filler {
		return Resources{Memory: s.Resources.Memory, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Job is a job as its caller submitted it.
type Job struct {
	ID          string        `json:"id"`
	QueueID     string        `json:"k,omitempty"` // of the queue it was submitted to; empty in rows of releases before 2026-12
	Queue       string        `json:"q"`           // name of that queue, when the job was submitted
	Settings    *Settings     `json:"l,omitempty"` // of that queue, when the row was written
	Payload     string        `json:"p,omitempty"`
	Steps       []Step        `json:"s"`
	RepeatCount int           `json:"rep,omitempty"` // number of occurrences; 0 for a single one without a scheduled time
	FirstStart  time.Duration `json:"del,omitempty"` // scheduled time of the first occurrence, since the Unix epoch
	Interval    time.Duration `json:"int,omitempty"` // between occurrences
}

// QueueKey returns what the rows beside the job's own are kept under: the ID of its queue, or the queue's name in rows without one.
func (j *Job) QueueKey() string { return cmp.Or(j.QueueID, j.Queue) }

// IsIn reports whether the job was submitted to the queue with the ID, or its row doesn't tell.
func (j *Job) IsIn(queueID string) bool { return j.QueueID == "" || j.QueueID == queueID }

// Occurrences returns how many times the job's steps run.
func (j *Job) Occurrences() int { return max(1, j.RepeatCount) }

// StartTime returns the earliest start time of the occurrence; the zero time means immediately.
func (j *Job) StartTime(occurrence int) time.Time {
	if j.RepeatCount == 0 {
		return time.Time{}
	}
	first, interval := j.FirstStart.Milliseconds(), j.Interval.Milliseconds()
	if interval > 0 && int64(occurrence) > (math.MaxInt64-max(first, 0))/interval {
		return time.UnixMilli(math.MaxInt64)
	}
	return time.UnixMilli(first + int64(occurrence)*interval)
}

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (j *Job) LongRunning() bool {
	for n := range j.Steps {
		if j.Steps[n].LongRunning {
			return true
		}
	}
	return false
}

// CriticalPath returns the run time of the critical path through the steps, given the duration of each.
func (j *Job) CriticalPath(duration func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for n := range j.Steps {
		for _, a := range j.Steps[n].After {
			ends[n] = max(ends[n], ends[a])
		}
		ends[n] += duration(n)
		longest = max(longest, ends[n])
	}
	return longest
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the ID as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the ID of the task's step as JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

const taskIDParts = 4

// ParseTaskID parses the form that String returns; it fails with ErrTaskIDInvalid.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskIDParts {
		return TaskID{}, ErrTaskIDInvalid{Name: name}
	}
	var numbers [taskIDParts]int
	for n := 1; n < taskIDParts; n++ {
		v, err := strconv.Atoi(parts[n])
		if err != nil || v < 0 {
			return TaskID{}, ErrTaskIDInvalid{Name: name}
		}
		numbers[n] = v
	}
	return TaskID{Job: parts[0], Occurrence: numbers[1], Step: numbers[2], Index: numbers[3]}, nil
}
