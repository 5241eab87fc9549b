package basilnode

// Values of GOGC: the percentage of the live heap by which it may grow between two collections.
const (
	ownerGCPercent = 400 // processor time limits how many runs an owner starts, so it collects rarely
	otherGCPercent = 60  // on other entry hosts, which are most, memory costs more than processor time
)

// setGCPercent sets the garbage collection percentage for an owner or for another entry host. The caller holds n.mutex.
func (n *Node) setGCPercent() {
	if n.options.SetGCPercent == nil {
		return
	}
	if len(n.owners) > 0 || n.fleet != nil {
		n.options.SetGCPercent(ownerGCPercent)
		return
	}
	n.options.SetGCPercent(otherGCPercent)
}
