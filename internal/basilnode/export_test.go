package basilnode

import "time"

// Occupy keeps the control goroutine of a pool that this entry host owns busy for the time.
func (n *Node) Occupy(shard string, d time.Duration) {
	n.mutex.Lock()
	o := n.owners[shard]
	n.mutex.Unlock()
	o.send(func(time.Time) { time.Sleep(d) })
}

// SendFleet has the fleet's owner take an event in, and tells whether this entry host is that owner.
func (n *Node) SendFleet(take func(now time.Time)) bool {
	f := n.fleetOwner()
	if f != nil {
		f.send(take)
	}
	return f != nil
}
