package basiljob

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// JobPath is the path prefix of a job's status on an entry host; the job id follows.
const JobPath = "/v1/jobs/"

// AskAt returns the path where the outcome of the job can be requested.
func AskAt(id basilapi.JobID) string { return JobPath + id.String() }

func problemError(p basilapi.Problem) error { return errors.WithStack(basilapi.ErrProblem{Problem: p}) }

// notRunError returns the error for a job that was not run and will never run under this id.
func notRunError(id basilapi.JobID, c basilapi.Code, message string, retryAfter time.Duration) error {
	return problemError(basilapi.Problem{
		Code: c, Outcome: basilapi.OutcomeNotRun, Message: message, Job: id, RetryAfterMS: retryAfter.Milliseconds(),
	})
}

// outcomeUnknownError returns the error for a job that may have run or may still run.
func outcomeUnknownError(id basilapi.JobID, message string, retryAfter time.Duration) error {
	return problemError(basilapi.Problem{
		Code: basilapi.CodeOutcomeUnknown, Outcome: basilapi.OutcomeUnknown, Message: message,
		Job: id, RetryAfterMS: retryAfter.Milliseconds(), AskAt: AskAt(id),
	})
}

// digest returns a hash that distinguishes requests with the same id.
func digest(r basilapi.SubmitRequest) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Service)
	kind := []byte{0, 0}
	if r.Idempotent {
		kind[1] = 1
	}
	_, _ = d.Write(kind)
	_, _ = d.Write(r.Payload)
	return d.Sum64()
}
