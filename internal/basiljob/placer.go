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
