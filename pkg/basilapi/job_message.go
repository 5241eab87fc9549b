package basilapi

import "time"

// Headers of the protocol towards backend servers and callers.
const (
	HeaderJob        = "Basil-Job"         // the job id
	HeaderAttempt    = "Basil-Attempt"     // the attempt, from 1
	HeaderService    = "Basil-Service"     // the service that the job is for
	HeaderNotStarted = "Basil-Not-Started" // on a refusal: the job was not started, and why
	HeaderLeaving    = "Basil-Leaving"     // on any answer: the backend server is leaving
	HeaderRevision   = "Basil-Revision"    // the configuration revision in force
)

// RunPath is where a backend server takes jobs by POST.
const RunPath = "/v1/run"

// MaxPayloadBytes is the largest payload and answer of a job.
const MaxPayloadBytes = 256 << 10

// SubmitRequest asks for one job.
type SubmitRequest struct {
	ID         JobID  `json:"id,omitzero"`     // none: one is minted
	Retry      bool   `json:"retry,omitempty"` // the id was submitted before
	Service    string `json:"service"`
	Kind       string `json:"kind,omitempty"` // jobs of one kind run about equally long; at most 64 bytes are heeded
	Idempotent bool   `json:"idempotent,omitempty"`
	Urgent     bool   `json:"urgent,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"` // from now
	GuessMS    int64  `json:"guess_ms,omitempty"`    // declared run time
	Cores      int    `json:"cores,omitempty"`       // declared size, for long jobs
	MemoryMB   int    `json:"memory_mb,omitempty"`
	Payload    []byte `json:"payload,omitempty"`
}

// Deadline returns how long from now the answer is of use; 0 is the service's own limit.
func (r SubmitRequest) Deadline() time.Duration {
	return time.Duration(r.DeadlineMS) * time.Millisecond
}

// Guess returns the declared run time, or 0.
func (r SubmitRequest) Guess() time.Duration { return time.Duration(r.GuessMS) * time.Millisecond }

// JobAnswer is what is known of a job.
type JobAnswer struct {
	ID      JobID    `json:"id"`
	Outcome Outcome  `json:"outcome"`
	State   JobState `json:"state,omitempty"`   // of a long job
	Attempt int      `json:"attempt,omitempty"` // whose answer it is
	Answer  []byte   `json:"answer,omitempty"`  // whole, when Outcome is OutcomeRan
	Reason  string   `json:"reason,omitempty"`
}

// MintRequest asks for a batch of job ids.
type MintRequest struct {
	Count int `json:"count"`
}

// MintAnswer holds fresh job ids.
type MintAnswer struct {
	IDs []JobID `json:"ids"`
}
