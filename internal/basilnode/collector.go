package basilnode

// Percent of the heap in use that it may grow by between two collections.
const (
	collectOwner = 400 // an owner's processor time bounds how many runs it starts
	collectOther = 60  // most entry hosts: their memory is dearer than their processor time
)

// tuneCollector chooses between memory and processor time by what is owned; the node's mutex is held.
func (n *Node) tuneCollector() {
	if n.options.Collect == nil {
		return
	}
	if len(n.owners) > 0 || n.fleet != nil {
		n.options.Collect(collectOwner)
		return
	}
	n.options.Collect(collectOther)
}
