package basilwork

import "time"

// Settings are those of a queue that hold for its jobs. They are stored with each job, as the operator may drop the queue's route while
// jobs of it run; rows of releases before 2026-12 have none.
type Settings struct {
	MaxAttempts int           `json:"n,omitempty"`
	Stretch     float64       `json:"x,omitempty"`
	Slack       time.Duration `json:"o,omitempty"`
	Advice      *Advice       `json:"a,omitempty"`
}

// Settings returns the queue's settings that hold for its jobs.
func (q *Queue) Settings() *Settings {
	return &Settings{MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Slack: q.Slack, Advice: q.Advice}
}

// Queue returns a queue with these settings, of which nothing else is known.
func (s *Settings) Queue() *Queue {
	return &Queue{MaxAttempts: s.MaxAttempts, Stretch: s.Stretch, Slack: s.Slack, Advice: s.Advice}
}
