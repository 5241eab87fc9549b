package basilwork

import (
	"strconv"
	"strings"
	"time"
)

// Room is an amount of processor (thousandths of a core), memory (MB) and accelerators.
type Room struct {
	CPU    int `json:"c,omitempty"`
	Memory int `json:"m,omitempty"`
	GPU    int `json:"g,omitempty"`
}

// Add returns the sum.
func (r Room) Add(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns the difference.
func (r Room) Sub(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Holds tells whether the other amount fits.
func (r Room) Holds(o Room) bool {
	return o.CPU <= r.CPU && o.Memory <= r.Memory && o.GPU <= r.GPU
}

// Step is one step of a job: a number of alike tasks.
type Step struct {
	Count          int           `json:"n"`
	Room           Room          `json:"r"`
	Estimate       time.Duration `json:"e,omitempty"`
	After          []int         `json:"a,omitempty"`
	Gang           bool          `json:"gang,omitempty"`
	SameRack       bool          `json:"rack,omitempty"`
	Checkpointing  bool          `json:"save,omitempty"`
	Speculative    bool          `json:"spec,omitempty"`
	LongRunning    bool          `json:"long,omitempty"`
	Fills          bool          `json:"fill,omitempty"`
	Label          string        `json:"label,omitempty"`
	Affinity       string        `json:"near,omitempty"`
	AntiAffinity   int           `json:"apart,omitempty"`
	Image          string        `json:"image,omitempty"`
	Target         time.Duration `json:"target,omitempty"`
	MaxUnavailable int           `json:"away,omitempty"`
	LimitsAway     bool          `json:"limit,omitempty"` // whether MaxUnavailable is in force
}

// Demand returns the room that one task takes from a backend server's capacity.
//
// A task that fills takes what others leave of the processor, so only its memory counts.
func (s *Step) Demand() Room {
	if s.Fills {
		return Room{Memory: s.Room.Memory, GPU: s.Room.GPU}
	}
	return s.Room
}

// Job is what a caller submitted.
type Job struct {
	ID       string        `json:"id"`
	Queue    string        `json:"q"`
	Payload  string        `json:"p,omitempty"`
	Steps    []Step        `json:"s"`
	Repeat   int           `json:"rep,omitempty"` // occurrences; 0 is one without a time
	Delay    time.Duration `json:"del,omitempty"` // of the first occurrence, since 1970
	Interval time.Duration `json:"int,omitempty"` // between occurrences
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Due returns when the occurrence may start; the zero time is at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repeat == 0 {
		return time.Time{}
	}
	return time.UnixMilli(0).Add(j.Delay + time.Duration(occurrence)*j.Interval)
}

// LongRunning tells whether the job has tasks that run until it is cancelled.
func (j *Job) LongRunning() bool {
	for n := range j.Steps {
		if j.Steps[n].LongRunning {
			return true
		}
	}
	return false
}

// Chain returns the run time of the longest chain of steps, each as long as the function says.
func (j *Job) Chain(length func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for n := range j.Steps {
		for _, a := range j.Steps[n].After {
			ends[n] = max(ends[n], ends[a])
		}
		ends[n] += length(n)
		longest = max(longest, ends[n])
	}
	return longest
}

// TaskID names one task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step, JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

const taskIDParts = 4

// ParseTaskID reads a task's name; it fails with ErrTaskIDInvalid.
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
