package basilaudit

import (
	"encoding/json"
	"fmt"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Partitions of the table that the trail uses.
const (
	headPartition    = "audit-head"
	entryPartition   = "audit"
	commandPartition = "audit-command"
)

// HeadKey is the key of the item that counts the entries.
var HeadKey = basilplatform.Key{Partition: headPartition, Sort: "head"}

// EntryRecord is the stored form of one change.
type EntryRecord struct {
	Sequence      int64                          `json:"sequence"`
	At            time.Time                      `json:"at"` // by the writer's clock; the sequence gives the order
	Operator      string                         `json:"operator"`
	Command       string                         `json:"command,omitempty"` // the command's id, unique when set
	Action        string                         `json:"action"`
	Subject       string                         `json:"subject"`
	Reason        string                         `json:"reason"`
	Hosts         []basilmodel.Host              `json:"hosts,omitempty"`  // as they are after the change
	Before        []basilmodel.Host              `json:"before,omitempty"` // as they were
	Configuration *basilmodel.ConfigurationDelta `json:"configuration,omitempty"`
	Detail        json.RawMessage                `json:"detail,omitempty"` // the subject after the change, when it is neither
}

// Entry is one change on the trail.
type Entry struct{ record EntryRecord }

// NewEntry returns the entry that the record describes.
func NewEntry(r EntryRecord) Entry { return Entry{record: r} }

// Record returns the stored form.
func (e Entry) Record() EntryRecord { return e.record }

// Sequence returns the entry's place in the order of all changes, from 1.
func (e Entry) Sequence() int64 { return e.record.Sequence }

// Hosts returns the hosts as they are after the change.
func (e Entry) Hosts() []basilmodel.Host { return e.record.Hosts }

// Configuration returns what the accepted revision changes, or nil.
func (e Entry) Configuration() *basilmodel.ConfigurationDelta { return e.record.Configuration }

// MarshalJSON encodes the stored form.
func (e Entry) MarshalJSON() ([]byte, error) { return json.Marshal(e.record) }

// UnmarshalJSON decodes the stored form.
func (e *Entry) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &e.record) }

func entryKey(sequence int64) basilplatform.Key {
	return basilplatform.Key{Partition: entryPartition, Sort: sequenceSort(sequence)}
}

func sequenceSort(sequence int64) string { return fmt.Sprintf("%019d", sequence) }

func commandKey(id string) basilplatform.Key {
	return basilplatform.Key{Partition: commandPartition, Sort: id}
}
