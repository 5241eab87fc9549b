package basilwork

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
)

// Change is a changed row reported by a watch.
type Change struct {
	Item    basilplatform.Item
	Deleted bool
}

// Changes lists the changed rows of a table, in order, up to a version of the store.
type Changes struct {
	Rows    []Change
	Version int64
}

// Store is a table service that supports watches and assigns all item versions from one counter.
//
// A key's partition has the form TABLE/PART; a transaction is cheaper if all its keys share
// the part. Preconditions compare versions; PreconditionAbsent requires that the row is missing.
type Store interface {
	basilplatform.Table
	// Commit does the same as Transact and returns the version of the written items.
	Commit(ctx context.Context, t basilplatform.Transaction) (int64, error)
	// Snapshot returns all items of a partition and the store's version from before the read.
	Snapshot(ctx context.Context, partition string) ([]basilplatform.Item, int64, error)
	// Page returns the first items of a partition after the sort key, as many as one call returns.
	Page(ctx context.Context, partition, after string) (Page, error)
	// Count returns the number of items of the partition with sort keys in [from, to), at most limit.
	Count(ctx context.Context, partition, from, to string, limit int) (int, error)
	// Watch waits for changes to a table after the version; it can also fail with ErrHistoryDropped.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Backend is one incarnation of a backend server, as described by its registration entry.
type Backend struct {
	ID        string
	Service   string
	Address   string
	Zone      string
	Rack      string
	Labels    []string
	Resources Resources
	StartedAt int64 // start time in Unix milliseconds; identifies the incarnation
	Clock     int64 // reading of its own clock in milliseconds when it wrote the entry
	Draining  bool
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Task       string
	Attempt    int
	Payload    string
	Checkpoint string
	Ticket     string
	Deadline   int64 // on the backend server's clock, milliseconds
	Fence      int64
}

// StopOrder stops one run of a task.
type StopOrder struct {
	Task    string
	Attempt int
	Fence   int64
}

// PaceOrder limits a run to a percentage of its normal speed.
type PaceOrder struct {
	Task    string
	Attempt int
	Percent int
	Fence   int64
}

// MaxOrderDelay is how long after it was sent an order without an answer may be carried out. The platform says seconds; the plays of
// basilscheduler carry orders out up to 12 s late.
const MaxOrderDelay = 12 * time.Second

// HoldOrder renews the leases of all runs on a backend server and requests their status.
type HoldOrder struct {
	Fence        int64
	Acknowledged int64 // ended runs up to this number are stored
	Deadline     int64 // new lease expiry on the backend server's clock, milliseconds; 0 renews nothing
	Wait         time.Duration
}

// RunStatus is the status of a run in progress.
type RunStatus struct {
	Task            string
	Attempt         int
	Checkpoint      string
	ProgressPercent int
	Usage           int // tail latency in milliseconds for a serving task, processor usage for others
}

// EndedRun is the result of a run that has ended.
type EndedRun struct {
	Number     int64
	Task       string
	Attempt    int
	End        RunEnd
	Checkpoint string
}

// Report is a backend server's answer to a HoldOrder.
type Report struct {
	Clock     int64
	StartedAt int64
	Running   []RunStatus
	Ended     []EndedRun
}

// Commander sends orders to backend servers.
//
// Start, Stop and Pace return a reading of the backend server's clock. All methods fail
// with ErrRefused (nothing was done) or ErrNoAnswer (the order may still take effect).
type Commander interface {
	Start(ctx context.Context, b Backend, o StartOrder) (int64, error)
	Stop(ctx context.Context, b Backend, o StopOrder) (int64, error)
	Pace(ctx context.Context, b Backend, o PaceOrder) (int64, error)
	Hold(ctx context.Context, b Backend, o HoldOrder) (Report, error)
}

// Ticket permits the tasks of a step to start on a backend server.
type Ticket struct {
	Backend string
	Value   string
}

// Advisor selects the backend servers that may run a step; its tickets are valid for the returned time.
type Advisor interface {
	Advise(ctx context.Context, step string, backends []string) ([]Ticket, time.Duration, error)
}

// Machine is a host as the platform lists it.
type Machine struct {
	ID        string
	Pool      string
	Up        bool
	Zone      string
	Labels    []string
	Resources Resources
	Backend   string // ID of its backend server
	State     string // in the platform's own terms, for logs
}

// MachineOrder identifies the sender of an order to move or maintain a host.
type MachineOrder struct {
	Holder string
	Fence  int64
}

// Machines lists the platform's hosts and sends orders for them.
//
// Orders fail with ErrMachineRefused (nothing was done), ErrUnavailable or ErrOutcomeUnknown.
type Machines interface {
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, o MachineOrder) error
	Upkeep(ctx context.Context, machine, wave string, o MachineOrder) error
}

// Wave is an operator's request to maintain hosts.
type Wave struct {
	ID       string
	Machines []string
	Duration time.Duration
	MaxCount int
	Version  int64
}

// WaveState is the stored state of a wave.
type WaveState struct {
	Completed bool
	Version   int64
}

// Directory gives access to the data of operators and to the registration entries of backend servers.
type Directory interface {
	// Configuration returns the newest configuration and the store version at which it was read.
	Configuration(ctx context.Context) (*Configuration, int64, error)
	// WatchOperator waits until the operators' data may have changed.
	WatchOperator(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Backends returns the valid entries of backend servers and the store's version from before the read.
	Backends(ctx context.Context) ([]Backend, int64, error)
	// WatchBackends waits for changes to the entries after the version.
	WatchBackends(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Backend decodes an entry; it returns false if the entry has no usable backend server.
	Backend(i basilplatform.Item) (Backend, bool)
	// Waves returns the operators' waves and the IDs of those that can't be decoded.
	Waves(ctx context.Context) (waves []Wave, unreadable []string, err error)
	WaveStates(ctx context.Context) (map[string]WaveState, error)
	SetWaveState(ctx context.Context, wave string, completed bool, version int64) error
}

// CallCount counts the calls of one kind and the bytes of their bodies.
type CallCount struct {
	Made       int64 `json:"made"`
	Unanswered int64 `json:"unanswered,omitempty"` // without a complete answer
	Sent       int64 `json:"sent,omitempty"`       // bytes
	Received   int64 `json:"received,omitempty"`   // bytes
}

// Add returns the sum of c and d.
func (c CallCount) Add(d CallCount) CallCount {
	return CallCount{
		Made: c.Made + d.Made, Unanswered: c.Unanswered + d.Unanswered, Sent: c.Sent + d.Sent, Received: c.Received + d.Received,
	}
}
