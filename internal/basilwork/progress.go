package basilwork

import "slices"

// StepProgress is the persistent state of a step's tasks.
type StepProgress struct {
	Done        []byte         `json:"d,omitempty"` // bitmap with one bit per task
	Failed      map[int][]int  `json:"f,omitempty"` // failed attempts by task index
	Checkpoints map[int]string `json:"c,omitempty"` // newest checkpoint by task index
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
	Job      Job                         `json:"job"`
	State    JobState                    `json:"state"`
	Accepted int64                       `json:"at"` // Unix milliseconds
	Finished int64                       `json:"end,omitempty"`
	Progress map[int]*OccurrenceProgress `json:"p,omitempty"`
	Writer   string                      `json:"w,omitempty"` // unique ID of the commit that wrote the record
}
