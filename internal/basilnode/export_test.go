package basilnode

import "time"

// Occupy keeps the control goroutine of a pool that this entry host owns busy for the time.
func (n *Node) Occupy(shard string, d time.Duration) {
	n.mutex.Lock()
	o := n.owners[shard]
	n.mutex.Unlock()
	o.send(func(time.Time) { time.Sleep(d) })
}
