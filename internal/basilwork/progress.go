package basilwork

import (
	"slices"
	"time"
)

// StepProgress is the persistent state of a step's tasks.
type StepProgress struct {
	Done        []byte          `json:"d,omitempty"` // bitmap with one bit per task
	Failed      map[int][]int   `json:"f,omitempty"` // failed attempts by task index
	Checkpoints map[int]string  `json:"c,omitempty"` // newest checkpoint by task index
	Crashes     map[int][]Crash `json:"x,omitempty"` // crashes of backend servers by task index
}

// Crash is the crash of a backend server that had a run of a task.
type Crash struct {
	Attempt   int  `json:"a"`           // of the task
	Weight    int  `json:"w"`           // how much speaks for the run as the cause, 1 or more
	Uncertain bool `json:"u,omitempty"` // the start was not answered, so the run may never have begun
	Explained bool `json:"e,omitempty"` // another task was given up since that had been started last, so the weight doesn't count
	Prompt    bool `json:"p,omitempty"` // the backend server fell silent with the start of the run, and nothing else explains that
}

// SetDone records that the task is done.
func (p *StepProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// IsDone reports whether the task is done.
func (p *StepProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// AddFailed records a failed attempt and reports whether it was not recorded before.
func (p *StepProgress) AddFailed(index, attempt int) bool {
	if slices.Contains(p.Failed[index], attempt) {
		return false
	}
	if p.Failed == nil {
		p.Failed = make(map[int][]int)
	}
	p.Failed[index] = append(p.Failed[index], attempt)
	return true
}

// AddCrash records a crash and reports whether none of that attempt was recorded before.
func (p *StepProgress) AddCrash(index int, c Crash) bool {
	if slices.ContainsFunc(p.Crashes[index], func(k Crash) bool { return k.Attempt == c.Attempt }) {
		return false
	}
	if p.Crashes == nil {
		p.Crashes = make(map[int][]Crash)
	}
	p.Crashes[index] = append(p.Crashes[index], c)
	return true
}

// ExplainCrash marks the crash recorded for an attempt of the task as explained, and reports whether it wasn't.
func (p *StepProgress) ExplainCrash(index, attempt int) bool {
	crashes := p.Crashes[index]
	n := slices.IndexFunc(crashes, func(c Crash) bool { return c.Attempt == attempt && !c.Explained })
	if n < 0 {
		return false
	}
	crashes = slices.Clone(crashes)
	crashes[n].Explained = true
	p.Crashes[index] = crashes
	return true
}

// RemoveUncertainCrash removes the crash recorded for a start of the task without an answer, and reports whether there was one.
func (p *StepProgress) RemoveUncertainCrash(index, attempt int) bool {
	crashes := p.Crashes[index]
	n := slices.IndexFunc(crashes, func(c Crash) bool { return c.Uncertain && c.Attempt == attempt })
	if n < 0 {
		return false
	}
	if len(crashes) == 1 {
		delete(p.Crashes, index)
		return true
	}
	p.Crashes[index] = slices.Delete(slices.Clone(crashes), n, n+1)
	return true
}

// SetCheckpoint records the newest checkpoint of the task.
func (p *StepProgress) SetCheckpoint(index int, checkpoint string) {
	if p.Checkpoints == nil {
		p.Checkpoints = make(map[int]string)
	}
	p.Checkpoints[index] = checkpoint
}

// OccurrenceProgress is the persistent state of one occurrence of a job.
type OccurrenceProgress struct {
	Done  bool           `json:"done,omitempty"`
	Steps []StepProgress `json:"s,omitempty"`
}

// Record is the stored form of a job.
type Record struct {
	Job         Job                         `json:"job"`
	State       JobState                    `json:"state"`
	Accepted    int64                       `json:"at"` // Unix milliseconds
	Finished    int64                       `json:"end,omitempty"`
	Progress    map[int]*OccurrenceProgress `json:"p,omitempty"`
	LeadingDone int                         `json:"done,omitempty"` // number of first occurrences that are done and have no Progress any more
	Writer      string                      `json:"w,omitempty"`    // unique ID of the commit that wrote the record
}

// listedOccurrences is the number of occurrences up to which a job lists all of them. Releases before 2026-12 know no other form, so only
// jobs whose rows would grow without end are stored in one that they can't read.
const listedOccurrences = 500

// IsDone reports whether the occurrence is done.
func (r *Record) IsDone(occurrence int) bool {
	if occurrence < r.LeadingDone {
		return true
	}
	p := r.Progress[occurrence]
	return p != nil && p.Done
}

// SetDone records that the occurrence is done.
func (r *Record) SetDone(occurrence int) {
	if r.Progress == nil {
		r.Progress = make(map[int]*OccurrenceProgress)
	}
	r.Progress[occurrence] = &OccurrenceProgress{Done: true}
	for r.Job.RepeatCount > listedOccurrences && r.Progress[r.LeadingDone] != nil && r.Progress[r.LeadingDone].Done {
		delete(r.Progress, r.LeadingDone)
		r.LeadingDone++
	}
}

// CountDone returns the number of occurrences that are done.
func (r *Record) CountDone() int {
	count := r.LeadingDone
	for n, p := range r.Progress {
		if n >= r.LeadingDone && n < r.Job.Occurrences() && p.Done {
			count++
		}
	}
	return count
}

// WithoutCheckpoints returns the record without the checkpoints of its tasks.
func (r *Record) WithoutCheckpoints() Record {
	reduced := *r
	reduced.Progress = make(map[int]*OccurrenceProgress, len(r.Progress))
	for n, p := range r.Progress {
		steps := slices.Clone(p.Steps)
		for k := range steps {
			steps[k].Checkpoints = nil
		}
		reduced.Progress[n] = &OccurrenceProgress{Done: p.Done, Steps: steps}
	}
	return reduced
}

// NewTombstone returns the record that keeps a job which was cancelled before it was stored from being stored later.
func NewTombstone(id string, q *Queue, cancelled time.Time) *Record {
	at := cancelled.UnixMilli()
	return &Record{Job: Job{ID: id, QueueID: q.ID(), Queue: q.Name}, State: JobStateCanceled, Accepted: at, Finished: at}
}

// IsTombstone reports whether the record is one that NewTombstone returned: there is no such job.
func (r *Record) IsTombstone() bool { return r.State == JobStateCanceled && len(r.Job.Steps) == 0 }
