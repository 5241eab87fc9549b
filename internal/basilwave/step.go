package basilwave

import (
	"basilstage.example/basilstage/internal/basilmodel"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=StepKind -trimprefix=StepKind -transform=kebab -json -text -output=step_kind_enumer.go

// StepKind is the kind of a step.
type StepKind int

// The kinds of steps, in the order in which a plan executes them.
const (
	StepKindPause    StepKind = iota // pauses a wave
	StepKindFinish                   // ends a host's move or maintenance
	StepKindReturn                   // returns a host to service
	StepKindFail                     // marks a host as failed when its reboot is overdue
	StepKindReboot                   // requests the reboot from the platform
	StepKindMaintain                 // puts a drained host into maintenance
	StepKindDrained                  // records that a host has no work left
	StepKindDrain                    // starts to drain a host for a wave
	StepKindMove                     // starts to move a host to another pool
	StepKindComplete                 // completes a wave that has no hosts left to maintain
)

// Step is one planned change of a host or a wave. It is valid only for the host
// epoch or wave version that it was planned for.
type Step struct {
	Kind    StepKind
	Host    string
	Epoch   int64  // of the host
	Wave    string // empty for a move
	Target  string // destination pool of a move
	Version int64  // of the wave, for steps on a wave
	Reason  string
}

// Facts is what is known about a host besides its record, for its current epoch.
type Facts struct {
	NoNewWork       bool // no entry host sends it new work
	Drained         bool // it had no work when queried after new work had stopped
	RebootRequested bool // its reboot was requested
	Rebooted        bool // its reboot has finished
}

// State is the input of a plan.
type State struct {
	Hosts         []basilmodel.Host
	Configuration basilmodel.Configuration
	Waves         []basilmodel.Wave
	Facts         map[string]Facts // by host ID; no entry if nothing is known
}
