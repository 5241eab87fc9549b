package basilnode

import "time"

// Occupy keeps the control goroutine of a pool busy for the given time, if this entry host owns it.
func (n *Node) Occupy(shard string, d time.Duration) {
	n.mutex.Lock()
	o := n.owners[shard]
	n.mutex.Unlock()
	if o != nil {
		o.send(func(time.Time) { time.Sleep(d) })
	}
}

// SendFleet sends an event to the fleet owner if it is on this entry host, and reports whether it is.
func (n *Node) SendFleet(take func(now time.Time)) bool {
	f := n.fleetOwner()
	if f != nil {
		f.send(take)
	}
	return f != nil
}
