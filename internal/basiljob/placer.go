package basiljob

import (
	"context"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/pkg/basilapi"
)

// PlacementRequest describes the next attempt of a long job, which needs a host.
type PlacementRequest struct {
	ID       basilapi.JobID
	Service  string
	Cores    int
	MemoryMB int
	GuessMS  int64
	Urgent   bool
	Attempt  int
	Exclude  []string // hosts that must not be chosen
	Prefer   string   // host where another task was evicted to make room, or ""
}

//go:generate go tool -modfile=../../tools/go.mod enumer -type=TaskEvent -trimprefix=TaskEvent -transform=kebab -json -text -output=task_event_enumer.go

// TaskEvent is an event of an attempt on the host that was chosen for it.
type TaskEvent int

// Events of an attempt.
const (
	TaskEventRunning TaskEvent = iota // is running on the host
	TaskEventDone                     // ended with a result
	TaskEventFailed                   // ended with an error
	TaskEventRefused                  // was never started on the host
	TaskEventEnded                    // no longer holds resources, whatever its result
)

// Observation reports an event to a Placer.
type Observation struct {
	ID         basilapi.JobID
	Event      TaskEvent
	Service    string
	Host       string // "" for TaskEventEnded
	Cores      int    // as declared by the job
	MemoryMB   int    // as declared by the job
	Urgent     bool
	UsageCores float64 // as last reported by the worker, so it lags; 0 if not reported
}

// Observer is implemented by a Placer that tracks the attempts it has placed. Observe must not block.
type Observer interface {
	Observe(o Observation)
}

// Evictor is implemented by a Placer that can choose a task to stop in favour of another job.
type Evictor interface {
	// Evict returns the candidate to stop to make room for the request, and whether there is one.
	Evict(r PlacementRequest, candidates []basilapi.JobID) (basilapi.JobID, bool)
}

// Placement is the host chosen for an attempt.
type Placement struct {
	Host      string
	Address   string // IP:port of its worker
	HostEpoch int64
}

// Placer chooses hosts for long jobs.
//
// Place fails with ErrNothingFree if no host has free capacity at the moment, and
// with ErrFitsNoHost if no host can ever run the job.
type Placer interface {
	Place(ctx context.Context, r PlacementRequest) (Placement, error)
}

// Members knows which incarnations of entry hosts are gone.
type Members interface {
	// Gone reports whether the incarnation was declared dead, as measured by the clock of an observer.
	Gone(incarnation ulid.ULID) bool
}
