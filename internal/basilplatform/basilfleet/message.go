package basilfleet

import "basilstage.example/basilstage/internal/basilplatform"

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=FailureKind -trimprefix=FailureKind -transform=kebab -json -text -output=failure_kind_enumer.go

// Paths of the platform's host list and control.
const (
	PathHosts    = "/v1/hosts"
	PathDrained  = "/drained"  // below a host
	PathReboot   = "/reboot"   // below a host
	PathRebooted = "/rebooted" // below a host
)

// Paths of a worker.
const (
	PathTasks          = "/v1/tasks"
	PathTaskRenew      = "/v1/tasks/renew"
	PathTaskStop       = "/v1/tasks/stop"
	PathTaskCheckpoint = "/v1/tasks/checkpoint"
	PathTaskThrottle   = "/v1/tasks/throttle"
	PathTaskStatus     = "/v1/tasks/status"
)

// Query parameters.
const (
	ParameterEpoch   = "epoch"
	ParameterJob     = "job"
	ParameterAttempt = "attempt"
)

// FailureKind tells what a typed failure says of the request.
type FailureKind int

// The kinds of failures; each says for certain that the request had no effect.
const (
	FailureKindNone        FailureKind = iota // not a typed failure
	FailureKindUnavailable                    // not now
	FailureKindRefused                        // never
)

// FailureRecord is the body of an answer other than 200.
type FailureRecord struct {
	Kind         FailureKind `json:"kind"`
	Reason       string      `json:"reason"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

// HostsAnswer is the host list.
type HostsAnswer struct {
	Hosts []basilplatform.ListedHost `json:"hosts"`
}

// DrainedAnswer tells whether a host holds no more work.
type DrainedAnswer struct {
	Drained bool `json:"drained"`
}

// RebootRequest asks for the reboot of one epoch of a host.
type RebootRequest struct {
	Epoch int64 `json:"epoch"`
}

// RebootedAnswer tells whether a reboot has ended.
type RebootedAnswer struct {
	Rebooted bool `json:"rebooted"`
}

// AttemptRequest names the attempt that is to be stopped or checkpointed.
type AttemptRequest struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
}

// RenewRequest extends the lease of an attempt.
type RenewRequest struct {
	AttemptRequest
	LeaseMillis int64 `json:"lease_ms"`
}

// ThrottleRequest limits an attempt to a share of its cores, 0 to 1.
type ThrottleRequest struct {
	AttemptRequest
	Share float64 `json:"share"`
}

// StatusAnswer is a task's status; an answer without a state is none.
type StatusAnswer struct {
	basilplatform.TaskStatus
	State *basilplatform.TaskState `json:"state"`
}

// EmptyAnswer is the answer to a request that asks for no data.
type EmptyAnswer struct{}
