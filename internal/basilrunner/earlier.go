package basilrunner

import (
	"maps"
	"time"
)

// Earlier is what is known of the leases on a backend server's ID from an earlier connection to it. The zero value stands for no connection.
type Earlier struct {
	startedAt int64 // of the newest incarnation that has answered
	lease     Lease
}

// NewEarlier returns the leases on the incarnation that started at startedAt, the newest one that has answered.
func NewEarlier(startedAt int64, l Lease) Earlier { return Earlier{startedAt: startedAt, lease: l} }

// Earlier returns what the next connection to the same ID has to know.
func (c *Connection) Earlier() Earlier {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.attached {
		return c.options.Earlier
	}
	return NewEarlier(c.backend.StartedAt, c.lease)
}

// Lease returns the leases on the incarnation that started at startedAt, before it has answered.
func (e Earlier) Lease(startedAt int64) Lease {
	if startedAt == e.startedAt {
		return Lease{deadline: e.lease.deadline, orderedAt: e.lease.orderedAt, lateUntil: e.lease.lateUntil}
	}
	return e.lease.Next()
}

// over reports whether no order of the earlier connection can be carried out any more.
func (e Earlier) over(now time.Time) bool {
	next := e.lease.Next()
	return now.After(next.lateUntil)
}

// EarlierConnections keeps what is known from closed connections, by the ID of their backend server, for as long as that matters. The zero
// value is empty.
type EarlierConnections struct{ byID map[string]Earlier }

// Get returns what is known from the last closed connection to the ID.
func (c *EarlierConnections) Get(id string) Earlier { return c.byID[id] }

// Add adds a connection that is closed at the given time.
func (c *EarlierConnections) Add(id string, e Earlier, now time.Time) {
	maps.DeleteFunc(c.byID, func(_ string, e Earlier) bool { return e.over(now) })
	if c.byID == nil {
		c.byID = make(map[string]Earlier)
	}
	c.byID[id] = e
}
