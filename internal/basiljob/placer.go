package basiljob

import (
	"context"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/pkg/basilapi"
)

// PlacementRequest asks for a host for the next attempt of a long job.
type PlacementRequest struct {
	ID       basilapi.JobID
	Service  string
	Cores    int
	MemoryMB int
	GuessMS  int64
	Urgent   bool
	Attempt  int
	Exclude  []string // hosts that must not be chosen
	Prefer   string   // a host where room was made, or ""
}

//go:generate go tool -modfile=../../tools/go.mod enumer -type=TaskEvent -trimprefix=TaskEvent -transform=kebab -json -text -output=task_event_enumer.go

// TaskEvent is what became of an attempt at the host that was chosen for it.
type TaskEvent int

// The events.
const (
	TaskEventRunning TaskEvent = iota // runs there
	TaskEventDone                     // ended there with a result
	TaskEventFailed                   // ended there with an error
	TaskEventRefused                  // never started there
	TaskEventEnded                    // holds nothing there, whatever became of it
)

// Observation reports an event to a Placer.
type Observation struct {
	ID         basilapi.JobID
	Event      TaskEvent
	Service    string
	Host       string // "" for TaskEventEnded
	Cores      int    // declared
	MemoryMB   int    // declared
	Urgent     bool
	UsageCores float64 // as reported, with a lag; 0 when it is not
}

// Observer is a Placer that follows what becomes of its choices; Observe must not block.
type Observer interface {
	Observe(x Observation)
}

// Evictor is a Placer that tells which task to stop to make room.
type Evictor interface {
	// Evict returns the one of the candidates whose end makes room for the request, and whether there is one.
	Evict(r PlacementRequest, candidates []basilapi.JobID) (basilapi.JobID, bool)
}

// Placement is the host that an attempt is sent to.
type Placement struct {
	Host      string
	Address   string // IP:port of its worker
	HostEpoch int64
}

// Placer chooses hosts for long jobs.
//
// Place fails with ErrNothingFree when no host can take the job now, and with
// ErrFitsNoHost when none ever could.
type Placer interface {
	Place(ctx context.Context, r PlacementRequest) (Placement, error)
}

// Members tells which incarnations of entry hosts are gone.
type Members interface {
	// Gone tells whether the incarnation was seen dead by the clock of an observer.
	Gone(incarnation ulid.ULID) bool
}
