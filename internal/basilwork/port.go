package basilwork

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
)

// Change is one row that a watch reports.
type Change struct {
	Item    basilplatform.Item
	Deleted bool
}

// Changes are the changed rows of a table, in order, up to a version of the store.
type Changes struct {
	Rows    []Change
	Version int64
}

// Store is a table service whose items carry versions from one counter, and that can be watched.
//
// A key's partition is TABLE/PART; a transaction whose keys share the part is the
// cheap kind. Conditions name versions, and PreconditionAbsent a missing row.
type Store interface {
	basilplatform.Table
	// Commit is Transact; it returns the version that the written items have.
	Commit(ctx context.Context, t basilplatform.Transaction) (int64, error)
	// Snapshot returns all items of a partition and the store's version before the read began.
	Snapshot(ctx context.Context, partition string) ([]basilplatform.Item, int64, error)
	// Count returns how many items of the partition have keys in [from, to), up to the limit.
	Count(ctx context.Context, partition, from, to string, limit int) (int, error)
	// Watch waits for changes of a table after the version; it fails with ErrHistoryGone too.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) (Changes, error)
}

// Backend is one incarnation of a backend server, as it describes itself.
type Backend struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Room     Room
	Born     int64 // Unix milliseconds of its start
	Clock    int64 // its own clock in milliseconds, when it wrote the entry
	Draining bool
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

// PaceOrder sets the share at which a run works.
type PaceOrder struct {
	Task    string
	Attempt int
	Percent int
	Fence   int64
}

// HoldOrder extends the leases of a backend server and asks for its runs.
type HoldOrder struct {
	Fence        int64
	Acknowledged int64 // ends up to this number are stored
	Deadline     int64 // on the backend server's clock, milliseconds; 0 extends nothing
	Wait         time.Duration
}

// RunStatus is one run that a backend server works on.
type RunStatus struct {
	Task    string
	Attempt int
	Saved   string
	Percent int
	Usage   int // tail latency in milliseconds of a serving task, else processor in use
}

// EndStatus is one run that has ended at a backend server.
type EndStatus struct {
	Number  int64
	Task    string
	Attempt int
	End     RunEnd
	Saved   string
}

// Report is a backend server's answer to a hold.
type Report struct {
	Clock   int64
	Born    int64
	Running []RunStatus
	Ended   []EndStatus
}

// Commander gives orders to backend servers.
//
// Start, Stop and Pace return the backend server's clock. All fail with ErrRefused
// (nothing was done) or ErrNoAnswer (it may be done, now or later).
type Commander interface {
	Start(ctx context.Context, b Backend, o StartOrder) (int64, error)
	Stop(ctx context.Context, b Backend, o StopOrder) (int64, error)
	Pace(ctx context.Context, b Backend, o PaceOrder) (int64, error)
	Hold(ctx context.Context, b Backend, o HoldOrder) (Report, error)
}

// Ticket lets a step's tasks start on a backend server.
type Ticket struct {
	Backend string
	Value   string
}

// Advisor tells which backend servers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step string, backends []string) ([]Ticket, time.Duration, error)
}

// Machine is one host as the platform lists it.
type Machine struct {
	ID      string
	Pool    string
	Up      bool
	Zone    string
	Labels  []string
	Room    Room
	Backend string // id of its backend server
	State   string // as the platform names it, for logs
}

// MachineOrder identifies who orders a host's move or upkeep.
type MachineOrder struct {
	Holder string
	Fence  int64
}

// Machines lists the platform's hosts and gives orders for them.
//
// Orders fail with ErrMachineRefused (not done), ErrUnavailable or ErrOutcomeUnknown.
type Machines interface {
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, o MachineOrder) error
	Upkeep(ctx context.Context, machine, wave string, o MachineOrder) error
}

// Wave is an operator's request to maintain hosts.
type Wave struct {
	ID       string
	Machines []string
	Within   time.Duration
	MaxCount int
	Version  int64
}

// WaveState tells whether a wave is completed.
type WaveState struct {
	Completed bool
	Version   int64
}

// Directory reads what operators and backend servers have written.
type Directory interface {
	// Configuration returns the newest configuration and the version it was read at.
	Configuration(ctx context.Context) (*Configuration, int64, error)
	// WatchOperator waits until the operator may have changed anything.
	WatchOperator(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Backends returns the valid entries of backend servers and the store's version before the read began.
	Backends(ctx context.Context) ([]Backend, int64, error)
	// WatchBackends waits for changes of the entries after the version.
	WatchBackends(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Backend reads an entry; false means that it names no backend server to use.
	Backend(i basilplatform.Item) (Backend, bool)
	// Waves returns the operators' waves, and the ids of those that cannot be read.
	Waves(ctx context.Context) (waves []Wave, unreadable []string, err error)
	WaveStates(ctx context.Context) (map[string]WaveState, error)
	SetWaveState(ctx context.Context, wave string, completed bool, version int64) error
}

// CallCount is how many calls of a kind were made, and how many bytes their bodies had.
type CallCount struct {
	Made       int64 `json:"made"`
	Unanswered int64 `json:"unanswered,omitempty"` // without a whole answer
	Sent       int64 `json:"sent,omitempty"`       // bytes
	Received   int64 `json:"received,omitempty"`   // bytes
}

// Add returns the sum of both counts.
func (c CallCount) Add(d CallCount) CallCount {
	return CallCount{
		Made: c.Made + d.Made, Unanswered: c.Unanswered + d.Unanswered, Sent: c.Sent + d.Sent, Received: c.Received + d.Received,
	}
}
