package basilwave

import (
	"basilstage.example/basilstage/internal/basilmodel"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=StepKind -trimprefix=StepKind -transform=kebab -json -text -output=step_kind_enumer.go

// StepKind is a kind of step.
type StepKind int

// The kinds of steps, in the order in which a plan takes them.
const (
	StepKindPause    StepKind = iota // pauses a wave
	StepKindFinish                   // ends a host's move or maintenance
	StepKindReturn                   // takes a host back into service
	StepKindFail                     // gives up a host whose reboot is overdue
	StepKindReboot                   // asks the platform for the reboot
	StepKindMaintain                 // hands a drained host to the platform
	StepKindDrained                  // notes that a host holds no more work
	StepKindDrain                    // starts to take a host out
	StepKindMove                     // starts to take a host to another pool
	StepKindComplete                 // ends a wave that has nothing left to do
)

// Step is one safe change; it holds only for the epoch or version that it was planned on.
type Step struct {
	Kind    StepKind
	Host    string
	Epoch   int64  // of the host
	Wave    string // "" for a move
	Target  string // the pool that a move ends in
	Version int64  // of the wave, for steps on a wave
	Reason  string
}

// Facts is what is known of a host beyond its record, for its current epoch.
type Facts struct {
	Quiet    bool // no entry host sends it new work
	Drained  bool // it held no work when asked after it was quiet
	Asked    bool // its reboot was asked for
	Rebooted bool // its reboot has ended
}

// State is what a plan is made from.
type State struct {
	Hosts         []basilmodel.Host
	Configuration basilmodel.Configuration
	Waves         []basilmodel.Wave
	Facts         map[string]Facts // by host id; absent when nothing is known
}
