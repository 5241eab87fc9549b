package basilqueue

import (
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// JobRequest describes a job to be scheduled.
type JobRequest struct {
	Service         string
	Team            string
	Kind            string // jobs of one kind have similar run times
	Idempotent      bool
	Urgent          bool
	Deadline        time.Time     // zero means none
	DeclaredRunTime time.Duration // declared run time, or 0; used only until enough runs of the kind were observed
}

// Slot is a slot at a backend server; Release must be idempotent.
type Slot interface{ Release() }

// Capacity allocates the slots at the backend servers; its methods must not block.
type Capacity interface {
	// Take takes a slot for one job, if one is free.
	Take(service string, idempotent bool) (Slot, bool)
	// Size returns the number of slots, including those in use.
	Size(service string) int
}

// Pass permits one job to be sent; the holder must call Done.
type Pass struct {
	queue   *Queue
	slot    Slot
	kind    *kindStats
	class   Class
	started time.Time
	long    bool // counts against the share of long jobs
	ended   bool
	older   *Pass // neighbours in the list of running jobs that don't count as long
	newer   *Pass
}

// Slot returns the slot that the pass holds.
func (p *Pass) Slot() Slot { return p.slot }

// Done releases the slot and records the run time of the job; later calls have no effect.
func (p *Pass) Done(ran time.Duration, outcome basilapi.Outcome) {
	p.slot.Release()
	if p.queue.done(p, ran, outcome) {
		p.queue.queues.dispatch()
	}
}
