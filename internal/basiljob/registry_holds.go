package basiljob

import "basilstage.example/basilstage/pkg/basilapi"

// Holds reports whether the registry holds the job because it was submitted
// or cancelled here. An id that it doesn't hold may belong to a long job.
func (g *Registry) Holds(id basilapi.JobID) bool {
	if !g.minted(id) {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.jobs[id.Serial()] != nil
}
