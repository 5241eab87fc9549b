package basilmodel

import (
	"encoding/json"
	"time"
)

// HostRecord is the stored form of a Host.
type HostRecord struct {
	ID         string    `json:"id"`
	DataCentre string    `json:"data_centre"`
	Rack       string    `json:"rack"`
	Pool       string    `json:"pool"`
	Target     string    `json:"target,omitempty"` // the pool a move ends in; empty for maintenance
	State      HostState `json:"state"`
	Epoch      int64     `json:"epoch"`
	Cause      OutCause  `json:"cause"`
	Wave       string    `json:"wave,omitempty"`
	Address    string    `json:"address"`            // IP:port of the backend server
	Serviced   string    `json:"serviced,omitempty"` // the last wave that maintained it
	Maintained int64     `json:"maintained"`         // sequence of the entry that last handed it to the platform, 0 after a failure there
	Registered int64     `json:"registered"`         // sequence of the entry that took it into the fleet
	Sequence   int64     `json:"sequence"`           // of the last change
	Operator   string    `json:"operator"`           // who made the last change
	Action     string    `json:"action"`             // what the last change was
	Since      time.Time `json:"since"`              // of the last change, by the writer's clock
}

// Host is one backend server host, which belongs to exactly one pool.
type Host struct{ record HostRecord }

// NewHost returns the host that the record describes.
func NewHost(r HostRecord) Host { return Host{record: r} }

// Record returns the stored form.
func (h Host) Record() HostRecord { return h.record }

// ID returns the host's name.
func (h Host) ID() string { return h.record.ID }

// DataCentre returns the data centre that the host stands in.
func (h Host) DataCentre() string { return h.record.DataCentre }

// Rack returns the rack that the host stands in.
func (h Host) Rack() string { return h.record.Rack }

// Pool returns the one pool that the host belongs to.
func (h Host) Pool() string { return h.record.Pool }

// Target returns the pool that a move in progress ends in, or "".
func (h Host) Target() string { return h.record.Target }

// State returns the step of its life that the host is in.
func (h Host) State() HostState { return h.record.State }

// Epoch returns the count of state changes; it only grows.
func (h Host) Epoch() int64 { return h.record.Epoch }

// Cause tells why the host is out of service.
func (h Host) Cause() OutCause { return h.record.Cause }

// Wave returns the maintenance wave that holds the host, or "".
func (h Host) Wave() string { return h.record.Wave }

// Serviced returns the last maintenance wave that the host passed through.
func (h Host) Serviced() string { return h.record.Serviced }

// Address returns the IP:port of the host's backend server.
func (h Host) Address() string { return h.record.Address }

// Maintained returns the sequence of the entry that began the last maintenance, 0 for none or a failed one.
func (h Host) Maintained() int64 { return h.record.Maintained }

// Registered returns the sequence of the entry that took the host into the fleet.
func (h Host) Registered() int64 { return h.record.Registered }

// Sequence returns the sequence of the host's last change.
func (h Host) Sequence() int64 { return h.record.Sequence }

// Operator returns who made the last change.
func (h Host) Operator() string { return h.record.Operator }

// Action returns what the last change was.
func (h Host) Action() string { return h.record.Action }

// Since returns when the last change was made, by the clock of its writer.
func (h Host) Since() time.Time { return h.record.Since }

// InService tells whether the host counts as available for its pool's services.
func (h Host) InService() bool { return h.record.State == HostStateActive }

// MarshalJSON encodes the stored form.
func (h Host) MarshalJSON() ([]byte, error) { return json.Marshal(h.record) }

// UnmarshalJSON decodes the stored form.
func (h *Host) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &h.record) }
