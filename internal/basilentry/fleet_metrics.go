package basilentry

import (
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilview"
)

// hostStates counts the hosts by pool and state.
func hostStates(v *basilview.View) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, h := range v.Hosts() {
		if counts[h.Pool()] == nil {
			counts[h.Pool()] = make(map[string]int)
		}
		counts[h.Pool()][h.State().String()]++
	}
	return counts
}

// budgetsLeft returns by service how many hosts are in service above its minimum.
func budgetsLeft(v *basilview.View) map[string]int {
	states := hostStates(v)
	left := make(map[string]int)
	for _, s := range v.Configuration().Services() {
		left[s.Name] = states[s.Pool][basilmodel.HostStateActive.String()] - s.MinAvailable
	}
	return left
}

// tableStatus is what the breaker before the table tells.
type tableStatus struct {
	State    string `json:"state"`
	Reads    int64  `json:"reads"`
	Writes   int64  `json:"writes"`
	Failures int64  `json:"failures"`
	Shed     int64  `json:"shed"`
	Openings int64  `json:"openings"`
}

// tableFigures returns the breaker's figures, or zeros for a table without one.
func tableFigures(t basilplatform.Table) tableStatus {
	b, ok := t.(*basilplatform.Breaker)
	if !ok {
		return tableStatus{}
	}
	return tableStatus{
		State: b.State().String(), Reads: b.Reads(), Writes: b.Writes(),
		Failures: b.Failures(), Shed: b.Shed(), Openings: b.Openings(),
	}
}
