package basiljob

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// JobPath is where an entry host tells what is known of a job; the id follows.
const JobPath = "/v1/jobs/"

// AskAt returns the path that tells the outcome of the job.
func AskAt(id basilapi.JobID) string { return JobPath + id.String() }

func problem(p basilapi.Problem) error { return errors.WithStack(basilapi.ErrProblem{Problem: p}) }

// notRun is the refusal of a job that was not run and never will be under its id.
func notRun(id basilapi.JobID, c basilapi.Code, message string, after time.Duration) error {
	return problem(basilapi.Problem{
		Code: c, Outcome: basilapi.OutcomeNotRun, Message: message, Job: id, RetryAfterMS: after.Milliseconds(),
	})
}

// unknown is the answer for a job that may have run or may still run.
func unknown(id basilapi.JobID, message string, after time.Duration) error {
	return problem(basilapi.Problem{
		Code: basilapi.CodeOutcomeUnknown, Outcome: basilapi.OutcomeUnknown, Message: message,
		Job: id, RetryAfterMS: after.Milliseconds(), AskAt: AskAt(id),
	})
}

// digest tells requests apart that carry the same id.
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
