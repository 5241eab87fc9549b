package basiljob

import "basilstage.example/basilstage/pkg/basilapi"

// Submitted tells whether the id was submitted here, cancelled here or is forgotten; other ids may name long jobs.
func (g *Registry) Submitted(id basilapi.JobID) bool {
	if !g.owns(id) {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.jobs[id.Serial()] != nil
}
