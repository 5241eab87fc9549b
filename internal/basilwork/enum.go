package basilwork

//go:generate go tool -modfile=../../tools/go.mod enumer -type=JobState -trimprefix=JobState -transform=lower -output=job_state_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=RunEnd -trimprefix=RunEnd -transform=lower -output=run_end_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=Refusal -trimprefix=Refusal -transform=lower -output=refusal_enumer.go
//go:generate go tool -modfile=../../tools/go.mod enumer -type=Loss -trimprefix=Loss -transform=lower -output=loss_enumer.go

// JobState is the stage a job has reached.
type JobState int

// The states of a job; the last three are final.
const (
	JobStatePending JobState = iota
	JobStateActive
	JobStateCompleted
	JobStateFailed
	JobStateCanceled
)

// Final reports whether the state can no longer change.
func (s JobState) Final() bool { return s >= JobStateCompleted }

// RunEnd is the way one run of a task ended.
type RunEnd int

// The ways a run can end.
const (
	RunEndDone    RunEnd = iota
	RunEndFailed         // the task or the backend server failed
	RunEndStopped        // stopped by a StopOrder
	RunEndLapsed         // its lease expired
	RunEndBroken         // another task of its gang ended
	RunEndAlone          // the other tasks of its gang did not start in time
	RunEndLost           // the backend server is gone or does not know the run
)

// Refusal is the reason why a backend server did not carry out an order.
type Refusal int

// The reasons for a refusal.
const (
	RefusalNone   Refusal = iota
	RefusalFence          // the backend server has seen a newer fencing token
	RefusalOld            // this attempt, or a later one, has already ended there
	RefusalLate           // the order's deadline had passed
	RefusalRoom           // not enough free capacity
	RefusalTicket         // the ticket is invalid
	RefusalBusy           // the backend server is unhealthy and did nothing
	RefusalWrong          // the request is invalid
	RefusalGone           // another incarnation now serves the address
	RefusalUnsent         // the order was never sent
)

// Loss is the reason why an incarnation of a backend server has no runs any more.
type Loss int

// The reasons for a loss.
const (
	LossExpired  Loss = iota // all its leases have expired: it has crashed or is unreachable
	LossReplaced             // another incarnation runs at its address
	LossRemoved              // its host was ordered away
)
