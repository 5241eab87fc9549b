package basilapi

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Outcome -trimprefix=Outcome -transform=kebab -json -text -output=outcome_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=Code -trimprefix=Code -transform=kebab -json -text -output=code_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=JobState -trimprefix=JobState -transform=kebab -json -text -output=job_state_enumer.go

// Outcome is what is known of a job's run.
type Outcome int

// The outcomes.
const (
	OutcomeUnknown Outcome = iota // it may have run; ask again with the job id
	OutcomeNotRun                 // it was not run and, under this id, never will be
	OutcomeRan                    // it ran, and the answer is whole
	OutcomePending                // not final yet
)

// Code names the kind of a Problem.
type Code int

// The codes.
const (
	CodeInternal         Code = iota // a fault of the entry host
	CodeMalformed                    // the request can't be read
	CodeBodyTooLarge                 // the payload exceeds the limit
	CodeUnknownService               // no such service is declared
	CodeUnauthenticated              // no valid token
	CodeForbidden                    // the token may not do this
	CodeQuotaExceeded                // the team's quota is used up
	CodeOverloaded                   // the queue can't meet the deadline
	CodeNoRunner                     // no backend server can take the job
	CodeDeadlineExceeded             // the deadline passed before the job started
	CodeStoreUnavailable             // the platform's table service is needed and away
	CodeStopping                     // the entry host is leaving
	CodeStale                        // the entry host's view is too old to act on
	CodeMinterGone                   // the incarnation that minted the id is gone
	CodeOutcomeUnknown               // the job may have run
	CodeJobNotExist                  // no such job
	CodeJobFailed                    // the job ran and failed
	CodeCancelled                    // the job was cancelled before it started
	CodeTooLate                      // the cancel came after the start
	CodeRefused                      // the command can't be done as things stand
	CodeConflict                     // another command won
	CodeHostNotExist                 // no such host
	CodeBudget                       // an availability budget forbids it
	CodeJobImpossible                // the job fits no host
)

// JobState is the state of a long job.
type JobState int

// The job states.
const (
	JobStateNone      JobState = iota // never stored
	JobStateAccepted                  // recorded, not started
	JobStateStarted                   // an attempt may be running
	JobStateDone                      // ran, with a result
	JobStateFailed                    // ran and failed, or can never run
	JobStateCancelled                 // ended before it started
	JobStateUnknown                   // may have run; never runs again
)
