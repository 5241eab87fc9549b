package basilcapacity

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	maxReportedBackends = 8     // backend servers listed per category in a report; a row could hold many more, but reports are billed by size
	minReportedChange   = 20000 // thousandths of a core, a third of a large host; each report is a billed write
)

// Answer makes the pool evacuate the requested backend servers and returns the pool's report.
func (request Ask) Answer(p *basilscheduler.Pool, now time.Time) Pool {
	report := Pool{Serial: request.Serial}
	for _, b := range p.Backends() {
		_, requested := request.Backends[b.ID]
		p.Evacuate(b.ID, requested)
		if requested && p.Emptied(b.ID) {
			report.Empty = append(report.Empty, b.ID)
		}
	}
	p.SetDue(request.Due)
	report.Load = reportedLoad(p.Load(now))
	return report
}

// reportedLoad converts a scheduler's load to the part of it that is reported to the fleet.
func reportedLoad(l basilscheduler.Load) Load {
	return Load{
		Used: l.Used.CPU, Wanted: l.Wanted.CPU, Serving: l.Serving.CPU, Least: l.Least, Arrived: l.Arrived, Leaving: l.Leaving,
		Idle: l.Idle, Brief: limitIDs(l.Brief), Movable: limitIDs(l.Movable), Slow: limitIDs(l.Slow),
	}
}

func limitIDs(ids []string) []string { return ids[:min(len(ids), maxReportedBackends)] }

// Acknowledges reports whether the request serial or the empty backend servers differ from those of the last report.
func (p Pool) Acknowledges(last Pool) bool {
	return p.Serial != last.Serial || !slices.Equal(p.Empty, last.Empty)
}

// Differs reports whether the load differs enough from the last reported one to change the fleet's decisions.
//
// Brief and Movable are ignored: they change all the time, and are sent along with the next report.
func (l Load) Differs(last Load) bool {
	change := l.Used + l.Wanted - last.Used - last.Wanted
	return max(change, -change) > minReportedChange || l.Arrived-last.Arrived > minReportedChange ||
		l.Least != last.Least || l.Leaving != last.Leaving || !slices.Equal(l.Idle, last.Idle) || !slices.Equal(l.Slow, last.Slow)
}
