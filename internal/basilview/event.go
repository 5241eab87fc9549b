package basilview

import (
	"time"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// event is an update of the control state, applied by the control loop.
type event interface {
	apply(s *state, now time.Time)
}

// Snapshot holds all hosts and the configuration as of an audit sequence or later.
type Snapshot struct {
	Sequence      int64                    `json:"sequence"` // entries with a higher sequence have yet to be applied
	Configuration basilmodel.Configuration `json:"configuration"`
	Hosts         []basilmodel.Host        `json:"hosts"`
}

// snapshotEvent carries a complete view, read from the table or received from a peer.
type snapshotEvent struct{ snapshot Snapshot }

// entriesEvent carries audit entries in the order of the trail.
type entriesEvent struct{ entries []basilaudit.Entry }

// headEvent reports that a read which began at the given time reached the head of the audit trail.
type headEvent struct{ readStart time.Time }

// membersEvent carries a complete read of the member list.
type membersEvent struct{ members []Member }

// heartbeatEvent carries the result of a heartbeat that was sent at the given time or later.
type heartbeatEvent struct {
	sentAfter time.Time
	err       error
}

// leavingEvent reports that a host was seen leaving at an epoch.
type leavingEvent struct {
	host  string
	epoch int64
}

// hostListEvent carries the IDs of the hosts that the platform's host list marks as leaving.
type hostListEvent struct{ leaving map[string]bool }

// sponsorEvent reports that a registered member of the data centre sponsors this entry host.
type sponsorEvent struct {
	sponsor string
	at      time.Time
}

// sponsoredEvent carries the audit sequence applied by an entry host that this one sponsors.
type sponsoredEvent struct {
	incarnation string
	applied     int64
	at          time.Time
}

// tickEvent updates the state that depends on time: freeze detection and the expiry of sponsored entry hosts.
type tickEvent struct{}
