package basiljob

import (
	"context"

	"basilstage.example/basilstage/pkg/basilapi"
)

// StartFunc must be called immediately before an attempt is sent, with attempt numbers that increase from 1.
//
// It returns false if the attempt must not be sent: the job was cancelled, or this or a later attempt was started already.
type StartFunc func(attempt int) bool

// RunFunc queues and sends one short job and waits for its result.
//
// It reports OutcomeNotRun only if it is certain that no attempt has started.
type RunFunc func(ctx context.Context, id basilapi.JobID, r basilapi.SubmitRequest, start StartFunc) RunResult

// RunResult is the result of running a short job.
type RunResult struct {
	Outcome basilapi.Outcome
	Attempt int    // the attempt that produced the result
	Answer  []byte // the complete answer if Outcome is OutcomeRan
	Problem *basilapi.Problem
}

// Copier copies final answers to a place where other entry hosts can read them.
//
// Copy is called by one goroutine at a time.
type Copier interface {
	Copy(answers []basilapi.JobAnswer)
}
