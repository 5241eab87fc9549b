package basilcapacity

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	maxReportedBackends     = 8     // backend servers listed per category in a report; a row could hold many more, but reports are billed by size
	minReportedCPUChange    = 20000 // thousandths of a core, a third of a large host; each report is a billed write
	minReportedMemoryChange = 80000 // MB, a third of a large host
	minReportedGPUChange    = 2     // GPUs, a third of a host with eight, rounded down
)

// Apply makes the pool evacuate the requested backend servers and returns the pool's report. storedEnds are the numbers of the last ends of
// runs whose effect is stored, by backend server.
func (request EvacuationRequest) Apply(p *basilscheduler.Pool, storedEnds map[string]int64, now time.Time) PoolReport {
	report := PoolReport{Serial: request.Serial}
	for _, b := range p.Backends() {
		_, requested := request.Backends[b.ID]
		p.Evacuate(b.ID, requested)
		if requested && p.IsEmptied(b.ID, storedEnds[b.ID]) {
			report.Empty = append(report.Empty, b.ID)
		}
	}
	p.SetMaintenanceDue(request.Due)
	report.Load = reportedLoad(p.Load(now))
	return report
}

// reportedLoad converts a scheduler's load to the part of it that is reported to the fleet.
func reportedLoad(l basilscheduler.Load) Load {
	return Load{
		Used: l.Used.CPU, WaitingDemand: l.WaitingDemand.CPU, Serving: l.Serving.CPU, LastingHosts: l.LastingHosts, MinHosts: l.MinBackends, ArrivedWork: int64(l.ArrivedWork.CPU), Leaving: l.Leaving, Limited: l.Limited,
		Memory: Amounts{Used: l.Used.Memory, WaitingDemand: l.WaitingDemand.Memory, Serving: l.Serving.Memory, ArrivedWork: int64(l.ArrivedWork.Memory)},
		GPU:    Amounts{Used: l.Used.GPU, WaitingDemand: l.WaitingDemand.GPU, Serving: l.Serving.GPU, ArrivedWork: int64(l.ArrivedWork.GPU)},
		Listed: l.Listed, Kept: l.Kept, Lacking: reportedNeeds(l.Lacking),
		Idle: l.Idle, ShortOnly: limitIDs(l.ShortOnly), Movable: limitIDs(l.Movable), Slow: limitIDs(l.Slow),
	}
}

func reportedNeeds(needs []basilscheduler.HostNeed) []HostNeed {
	var list []HostNeed
	for _, n := range needs {
		list = append(list, HostNeed{Label: n.Label, Resources: n.Resources, Hosts: n.Hosts, Lasting: n.Lasting})
	}
	return list
}

func limitIDs(ids []string) []string { return ids[:min(len(ids), maxReportedBackends)] }

// HasNewAcknowledgement reports whether the request serial or the empty backend servers differ from those of the last report.
func (p PoolReport) HasNewAcknowledgement(last PoolReport) bool {
	return p.Serial != last.Serial || !slices.Equal(p.Empty, last.Empty)
}

// DiffersSignificantly reports whether the load differs enough from the last reported one to change the fleet's decisions.
//
// ShortOnly and Movable are ignored: they change all the time, and are sent along with the next report.
func (l Load) DiffersSignificantly(last Load) bool {
	before := last.amounts()
	for r, a := range l.amounts() {
		if a.differsBy(before[r], resource(r).minReportedChange()) {
			return true
		}
	}
	if l.Listed != last.Listed || l.Kept != last.Kept || !slices.Equal(l.Lacking, last.Lacking) {
		return true
	}
	return l.MinHosts != last.MinHosts || l.LastingHosts != last.LastingHosts || l.Leaving != last.Leaving || l.Limited != last.Limited || !slices.Equal(l.Idle, last.Idle) || !slices.Equal(l.Slow, last.Slow)
}
