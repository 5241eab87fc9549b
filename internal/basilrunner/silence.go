package basilrunner

import "time"

// SuspendSilent suspends the connection if the backend server has answered before and no longer does. It returns when all runs there have
// certainly ended if the connection stays suspended.
//
// Former owners have extended no lease since the incarnation first answered this one, as it has refused their orders since then.
func (c *Connection) SuspendSilent() (until time.Time, silent bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.attached || c.reachable {
		return time.Time{}, false
	}
	c.suspended = true
	until = later(c.lease.Expiry(c.options.MaxLease), endOf(c.attachedAt, c.options.MaxLease))
	return later(until, c.options.Inherited), true
}
