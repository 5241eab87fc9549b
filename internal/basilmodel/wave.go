package basilmodel

import (
	"encoding/json"
	"slices"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=WaveState -trimprefix=WaveState -transform=kebab -json -text -output=wave_state_enumer.go

// WaveState is the step of its life that a maintenance wave is in.
type WaveState int

// The wave states.
const (
	WaveStateCreated WaveState = iota // declared, touches no host
	WaveStateRunning                  // takes hosts out and brings them back
	WaveStatePaused                   // takes no further host out
	WaveStateDone                     // maintained every host that it could
	WaveStateAborted                  // ended by an operator
)

// WaveRecord is the stored form of a Wave.
type WaveRecord struct {
	Name            string    `json:"name" validate:"required,hostname_rfc1123"`
	Pools           []string  `json:"pools,omitempty"`        // empty selects all
	DataCentres     []string  `json:"data_centres,omitempty"` // empty selects all
	State           WaveState `json:"state"`
	MaxShare        float64   `json:"max_share,omitempty" validate:"gte=0,lte=1"`  // of a pool's hosts out at once for the wave; 0 leaves it to the budgets
	RackBatch       int       `json:"rack_batch,omitempty" validate:"gte=0"`       // racks of a data centre in progress at once; 0 means 1
	FailuresAllowed int       `json:"failures_allowed,omitempty" validate:"gte=0"` // before the wave pauses
	Reason          string    `json:"reason,omitempty"`                            // for the last change of state
	Started         int64     `json:"started,omitempty"`                           // sequence of the first start
	Resumed         int64     `json:"resumed,omitempty"`                           // sequence of the last start or resumption
	Version         int64     `json:"version"`                                     // counts the changes
}

// Wave is a maintenance pass through the selected hosts.
type Wave struct{ record WaveRecord }

// NewWave returns the wave that the record describes.
func NewWave(r WaveRecord) Wave { return Wave{record: r} }

// Record returns the stored form.
func (w Wave) Record() WaveRecord { return w.record }

// Name returns the wave's name.
func (w Wave) Name() string { return w.record.Name }

// State returns the step of its life that the wave is in.
func (w Wave) State() WaveState { return w.record.State }

// MaxShare returns the share of a pool's hosts that may be out for the wave at once, 0 for no limit.
func (w Wave) MaxShare() float64 { return w.record.MaxShare }

// RackBatch returns how many racks of a data centre may be in progress at once.
func (w Wave) RackBatch() int { return max(w.record.RackBatch, 1) }

// FailuresAllowed returns how many hosts may fail in the wave before it pauses.
func (w Wave) FailuresAllowed() int { return w.record.FailuresAllowed }

// Reason returns why the state was last changed.
func (w Wave) Reason() string { return w.record.Reason }

// Started returns the sequence of the first start, 0 before it.
func (w Wave) Started() int64 { return w.record.Started }

// Resumed returns the sequence of the last start or resumption.
func (w Wave) Resumed() int64 { return w.record.Resumed }

// Version returns the count of the wave's changes.
func (w Wave) Version() int64 { return w.record.Version }

// Selects tells whether the host is one that the wave passes through.
//
// A host that joined after the wave was started is fresh and needs no maintenance.
func (w Wave) Selects(h Host) bool {
	if h.Registered() > w.record.Started {
		return false
	}
	if len(w.record.Pools) > 0 && !slices.Contains(w.record.Pools, h.Pool()) {
		return false
	}
	return len(w.record.DataCentres) == 0 || slices.Contains(w.record.DataCentres, h.DataCentre())
}

// Passed tells whether the host was maintained since the wave was started; one
// maintenance serves every wave that was started before it.
func (w Wave) Passed(h Host) bool {
	return h.Maintained() > w.record.Started && h.State() != HostStateMaintenance
}

// MarshalJSON encodes the stored form.
func (w Wave) MarshalJSON() ([]byte, error) { return json.Marshal(w.record) }

// UnmarshalJSON decodes the stored form.
func (w *Wave) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &w.record) }
