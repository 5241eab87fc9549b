package basilwork

//go:generate go tool -modfile=../../tools/go.mod enumer -type=JobState -trimprefix=JobState -transform=lower -output=job_state_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=RunEnd -trimprefix=RunEnd -transform=lower -output=run_end_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=Refusal -trimprefix=Refusal -transform=lower -output=refusal_enumer.go

// JobState tells how far a job is.
type JobState int

// The states of a job; the last three are final.
const (
	JobStatePending JobState = iota
	JobStateActive
	JobStateCompleted
	JobStateFailed
	JobStateCanceled
)

// Final tells whether the state never changes again.
func (s JobState) Final() bool { return s >= JobStateCompleted }

// RunEnd tells how one run of a task ended.
type RunEnd int

// The ends of a run.
const (
	RunEndDone    RunEnd = iota
	RunEndFailed         // through a fault of its own or of the backend server
	RunEndStopped        // by order
	RunEndLapsed         // its lease expired
	RunEndBroken         // another member of its gang ended
	RunEndAlone          // the other members of its gang did not come in time
	RunEndLost           // the backend server is gone, or knows nothing of it
)

// Refusal tells why a run was not started.
type Refusal int

// The refusals.
const (
	RefusalNone   Refusal = iota
	RefusalFence          // it has seen a newer fencing token
	RefusalOld            // it has seen this attempt, or a later one, end
	RefusalLate           // the deadline had passed
	RefusalRoom           // no room
	RefusalTicket         // the ticket is not valid
	RefusalBusy           // it is unhealthy and did nothing
	RefusalWrong          // the request is not valid
	RefusalGone           // another incarnation lives at the address
	RefusalUnsent         // the order was never sent
)
