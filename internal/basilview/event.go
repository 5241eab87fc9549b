package basilview

import (
	"time"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// event is one thing that the control loop learns.
type event interface {
	apply(s *state, now time.Time)
}

// Snapshot is the whole of hosts and configuration at or after an audit sequence.
type Snapshot struct {
	Sequence      int64                    `json:"sequence"` // entries that follow it are still to be applied
	Configuration basilmodel.Configuration `json:"configuration"`
	Hosts         []basilmodel.Host        `json:"hosts"`
}

// snapshotEvent carries a cold start's view.
type snapshotEvent struct{ snapshot Snapshot }

// entriesEvent carries changes in the order of the trail.
type entriesEvent struct{ entries []basilaudit.Entry }

// headEvent says that the trail was read up to its head by a read that began at the time.
type headEvent struct{ at time.Time }

// membersEvent carries one whole read of the member list.
type membersEvent struct{ members []Member }

// beatEvent carries the result of one heartbeat, which was sent after the time.
type beatEvent struct {
	began time.Time
	err   error
}

// leavingEvent says that a host was seen leaving at an epoch.
type leavingEvent struct {
	host  string
	epoch int64
}

// listEvent carries the platform's host list.
type listEvent struct{ leaving map[string]bool }

// sponsorEvent says that a registered member of the data centre sponsors this one.
type sponsorEvent struct {
	sponsor string
	at      time.Time
}

// sponsoredEvent carries the audit sequence that a sponsored entry host has applied.
type sponsoredEvent struct {
	incarnation string
	applied     int64
	at          time.Time
}

// tickEvent marks the passing of time.
type tickEvent struct{}
