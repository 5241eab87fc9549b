package basilwork

import "slices"

// StepProgress is what must last of one step's tasks.
type StepProgress struct {
	Done   []byte         `json:"d,omitempty"` // a bit per task
	Failed map[int][]int  `json:"f,omitempty"` // attempts that failed, by task
	Saved  map[int]string `json:"c,omitempty"` // newest checkpoint, by task
}

// SetDone notes that the task is done.
func (p *StepProgress) SetDone(index int) {
	for len(p.Done) <= index/8 {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// IsDone tells whether the task is done.
func (p *StepProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// AddFailed notes a failed attempt and tells whether it is new.
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

// SetSaved notes the newest checkpoint.
func (p *StepProgress) SetSaved(index int, saved string) {
	if p.Saved == nil {
		p.Saved = make(map[int]string)
	}
	p.Saved[index] = saved
}

// OccurrenceProgress is what must last of one occurrence of a job's steps.
type OccurrenceProgress struct {
	Done  bool           `json:"done,omitempty"`
	Steps []StepProgress `json:"s,omitempty"`
}

// Record is a job as it is stored.
type Record struct {
	Job      Job                         `json:"job"`
	State    JobState                    `json:"state"`
	Accepted int64                       `json:"at"` // Unix milliseconds
	Finished int64                       `json:"end,omitempty"`
	Progress map[int]*OccurrenceProgress `json:"p,omitempty"`
	Writer   string                      `json:"w,omitempty"` // unique to the write
}
