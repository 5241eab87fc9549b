package basilqueue

import (
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Ticket describes a job that asks to be sent.
type Ticket struct {
	Service    string
	Team       string
	Kind       string // jobs of one kind run about equally long
	Idempotent bool
	Urgent     bool
	Deadline   time.Time     // zero is none
	Guess      time.Duration // the declared run time, or 0; it weighs only until runs were observed
}

// Slot is a place at a backend server; Release must allow more than one call.
type Slot interface{ Release() }

// Capacity gives out the places at the backend servers; it must not block.
type Capacity interface {
	// Take takes a place for one job, if there is one.
	Take(service string, idempotent bool) (Slot, bool)
	// Size returns how many jobs may hold a place at once, those that do included.
	Size(service string) int
}

// Pass allows one job to be sent; Done must be called on it.
type Pass struct {
	queue   *Queue
	slot    Slot
	kind    *kindRuns
	class   Class
	started time.Time
	long    bool // counts against the share of long jobs
	ended   bool
	older   *Pass // of the running jobs that don't count as long
	newer   *Pass
}

// Slot returns the place that the pass holds.
func (p *Pass) Slot() Slot { return p.slot }

// Done gives the place back and takes in how long the job ran; further calls do nothing.
func (p *Pass) Done(ran time.Duration, outcome basilapi.Outcome) {
	p.slot.Release()
	if p.queue.done(p, ran, outcome) {
		p.queue.queues.dispatch()
	}
}
