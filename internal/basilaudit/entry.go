package basilaudit

import (
	"encoding/json"
	"fmt"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Table partitions of the trail.
const (
	headPartition    = "audit-head"
	entryPartition   = "audit"
	commandPartition = "audit-command"
)

// HeadKey is the key of the item that stores the sequence of the newest entry.
var HeadKey = basilplatform.Key{Partition: headPartition, Sort: "head"}

// EntryRecord is the stored form of an Entry.
type EntryRecord struct {
	Sequence      int64                          `json:"sequence"`
	At            time.Time                      `json:"at"` // from the writer's clock; entries are ordered by sequence, not by time
	Operator      string                         `json:"operator"`
	Command       string                         `json:"command,omitempty"` // command id, unique when set
	Action        string                         `json:"action"`
	Subject       string                         `json:"subject"`
	Reason        string                         `json:"reason"`
	Hosts         []basilmodel.Host              `json:"hosts,omitempty"`  // state after the change
	Before        []basilmodel.Host              `json:"before,omitempty"` // state before the change
	Configuration *basilmodel.ConfigurationDelta `json:"configuration,omitempty"`
	Detail        json.RawMessage                `json:"detail,omitempty"` // the subject after the change, when it is neither a host nor the configuration
}

// Entry is one change in the audit trail.
type Entry struct{ record EntryRecord }

// NewEntry returns the entry for a stored record.
func NewEntry(r EntryRecord) Entry { return Entry{record: r} }

// Record returns the stored form of the entry.
func (e Entry) Record() EntryRecord { return e.record }

// Sequence returns the position of the entry in the trail, starting at 1.
func (e Entry) Sequence() int64 { return e.record.Sequence }

// Hosts returns the changed hosts in their state after the change.
func (e Entry) Hosts() []basilmodel.Host { return e.record.Hosts }

// Configuration returns the delta of the accepted configuration revision, or nil if the configuration did not change.
func (e Entry) Configuration() *basilmodel.ConfigurationDelta { return e.record.Configuration }

// MarshalJSON implements json.Marshaler; it encodes the stored form.
func (e Entry) MarshalJSON() ([]byte, error) { return json.Marshal(e.record) }

// UnmarshalJSON implements json.Unmarshaler; it decodes the stored form.
func (e *Entry) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &e.record) }

func entryKey(sequence int64) basilplatform.Key {
	return basilplatform.Key{Partition: entryPartition, Sort: sequenceSortKey(sequence)}
}

func sequenceSortKey(sequence int64) string { return fmt.Sprintf("%019d", sequence) }

func commandKey(id string) basilplatform.Key {
	return basilplatform.Key{Partition: commandPartition, Sort: id}
}
