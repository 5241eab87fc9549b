package basilpeer

import "time"

// flushGap is the least time between two deltas to one peer; what comes meanwhile is merged.
const flushGap = 50 * time.Millisecond

// smallMesh is the number of peers up to which all are heard at the same short interval.
const smallMesh = 16

// liveness tells how often a peer says that it lives, and when it counts as gone.
type liveness struct {
	heartbeatInterval time.Duration
	unheardAfter      time.Duration
}

var (
	nearLiveness = liveness{heartbeatInterval: time.Second, unheardAfter: 3500 * time.Millisecond}
	farLiveness  = liveness{heartbeatInterval: 3 * time.Second, unheardAfter: 8 * time.Second}
)

// livenessFor spares heartbeats between data centres once a mesh is large.
func livenessFor(near bool, peers int) liveness {
	if near || peers <= smallMesh {
		return nearLiveness
	}
	return farLiveness
}
