package basilplatform

import (
	"context"
	"time"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=TaskState -trimprefix=TaskState -transform=kebab -json -text -output=task_state_enumer.go

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	ID           string `json:"id"`
	DataCentre   string `json:"data_centre"`
	Rack         string `json:"rack"`
	Pool         string `json:"pool"`    // the pool the platform first put it in
	Address      string `json:"address"` // IP:port of its backend server
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memory_mb"`
	Accelerators int    `json:"accelerators,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
}

// HostList is the platform's list of live and leaving hosts, which lags.
type HostList interface {
	List(ctx context.Context) ([]ListedHost, error)
}

// HostControl drains and reboots hosts; both calls are idempotent for one host and epoch.
type HostControl interface {
	// Drained reports whether the host holds no more work.
	Drained(ctx context.Context, host string) (bool, error)
	// Reboot starts the reboot of a drained host.
	Reboot(ctx context.Context, host string, epoch int64) error
	// Rebooted reports whether the reboot for that epoch has ended.
	Rebooted(ctx context.Context, host string, epoch int64) (bool, error)
}

// TaskState is the state of a task as its worker reports it.
type TaskState int

// The task states.
const (
	TaskStateAbsent     TaskState = iota // the worker has never heard of it
	TaskStateRunning                     // runs
	TaskStateDone                        // ended with a result
	TaskStateFailed                      // ended with an error
	TaskStateStopped                     // was stopped after it had started
	TaskStateNotStarted                  // was voided before it started and never will
)

// Task asks a worker to run one attempt of a job; a repeat with the same job and attempt starts nothing.
type Task struct {
	Job           string `json:"job"`
	Attempt       int    `json:"attempt"`
	Service       string `json:"service"`
	Host          string `json:"host"`
	HostEpoch     int64  `json:"host_epoch"`
	Boot          string `json:"boot,omitempty"` // the worker's boot that the start is for
	LeaseMillis   int64  `json:"lease_ms"`
	Cores         int    `json:"cores"`
	MemoryMB      int    `json:"memory_mb"`
	Checkpoint    []byte `json:"checkpoint,omitempty"` // where to resume
	Payload       []byte `json:"payload"`
	Idempotent    bool   `json:"idempotent"`
	DurationGuess int64  `json:"duration_guess_ms,omitempty"`
}

// TaskStatus is what a worker says of one attempt.
type TaskStatus struct {
	State      TaskState `json:"state"`
	Result     []byte    `json:"result,omitempty"`
	Message    string    `json:"message,omitempty"`
	Checkpoint []byte    `json:"checkpoint,omitempty"`
	UsageCores float64   `json:"usage_cores,omitempty"` // lags
	Boot       string    `json:"boot,omitempty"`        // of the worker, fresh whenever it may have forgotten tasks
}

// Tasks runs tasks on workers under leases.
//
// A worker refuses a start that is for another boot than its own. Its word that
// an attempt is absent or was voided holds for its present boot only.
//
// Each call fails with ErrUnavailable (it had no effect), ErrRefused (it never
// will) or ErrOutcomeUnknown (it may take effect, now or later).
type Tasks interface {
	Start(ctx context.Context, address string, t Task) error
	// Renew extends the lease; a worker stops a task whose lease lapses.
	Renew(ctx context.Context, address, job string, attempt int, lease time.Duration) error
	Status(ctx context.Context, address, job string, attempt int) (TaskStatus, error)
	// Stop ends the attempt or voids it for good, and returns its final state.
	Stop(ctx context.Context, address, job string, attempt int) (TaskStatus, error)
	Checkpoint(ctx context.Context, address, job string, attempt int) error
	// Throttle limits the attempt to the given share of its cores, 0 to 1.
	Throttle(ctx context.Context, address, job string, attempt int, share float64) error
}
