package basiljob

import (
	"context"

	"basilstage.example/basilstage/pkg/basilapi"
)

// StartFunc must be called just before an attempt is sent, with numbers that grow from 1.
//
// False forbids the attempt: the job was cancelled, or a later attempt was started.
type StartFunc func(attempt int) bool

// RunFunc queues, sends and awaits one short job.
//
// It reports OutcomeNotRun only when no attempt can ever have started.
type RunFunc func(ctx context.Context, id basilapi.JobID, r basilapi.SubmitRequest, start StartFunc) RunResult

// RunResult is what became of a short job.
type RunResult struct {
	Outcome basilapi.Outcome
	Attempt int    // whose result it is
	Answer  []byte // whole, when Outcome is OutcomeRan
	Problem *basilapi.Problem
}

// Copier takes final answers to where other entry hosts find them; Copy is called by one goroutine at a time.
type Copier interface {
	Copy(answers []basilapi.JobAnswer)
}
