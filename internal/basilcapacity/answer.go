package basilcapacity

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	toldMost   = 8     // backend servers of a kind in a report; a row has room for many more, and each report is paid for by size
	toldChange = 20000 // thousandths of a core: a third of a large host; each report is a priced write
)

// Answer has the pool empty what is asked for, and returns its answer.
func (a Ask) Answer(p *basilscheduler.Pool, now time.Time) Pool {
	answer := Pool{Serial: a.Serial}
	for _, b := range p.Backends() {
		_, asked := a.Backends[b.ID]
		p.Evacuate(b.ID, asked)
		if asked && p.Emptied(b.ID) {
			answer.Empty = append(answer.Empty, b.ID)
		}
	}
	p.SetDue(a.Due)
	answer.Load = loadOf(p.Load(now))
	return answer
}

// loadOf returns what a fleet has to know of a pool's work.
func loadOf(l basilscheduler.Load) Load {
	return Load{
		Used: l.Used.CPU, Wanted: l.Wanted.CPU, Serving: l.Serving.CPU, Least: l.Least, Arrived: l.Arrived, Leaving: l.Leaving,
		Idle: l.Idle, Brief: first(l.Brief), Movable: first(l.Movable), Slow: first(l.Slow),
	}
}

func first(ids []string) []string { return ids[:min(len(ids), toldMost)] }

// Acknowledges tells whether the answer tells of asks or empty backend servers that the told one does not.
func (p Pool) Acknowledges(told Pool) bool {
	return p.Serial != told.Serial || !slices.Equal(p.Empty, told.Empty)
}

// Differs tells whether the load is far enough from the told one for the fleet to decide otherwise.
//
// Which backend servers have short or movable runs changes all the time, and is told with the rest.
func (l Load) Differs(told Load) bool {
	change := l.Used + l.Wanted - told.Used - told.Wanted
	return max(change, -change) > toldChange || l.Arrived-told.Arrived > toldChange ||
		l.Least != told.Least || l.Leaving != told.Leaving || !slices.Equal(l.Idle, told.Idle) || !slices.Equal(l.Slow, told.Slow)
}
