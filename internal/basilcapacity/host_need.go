package basilcapacity

import (
	"cmp"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// arrivalDelay is how long after a move a host's backend server may be missing from its pool's report: it starts within a second, and
// entries, their list and the report take under a second each.
const arrivalDelay = 4 * time.Second

// HostNeed says how many hosts a pool lacks for waiting work that finds no room on those it has.
type HostNeed struct {
	Label     string              `json:"label,omitempty"` // that the hosts must have
	Resources basilwork.Resources `json:"size,omitzero"`   // that each of them must have at least
	Hosts     int                 `json:"hosts"`
	Lasting   int                 `json:"lasting,omitempty"` // of them for long-running tasks and gangs
}

// matches reports whether the host is one of those needed. One whose capacity is not known may be.
func (n *HostNeed) matches(m *machine) bool {
	return (m.Resources.CPU == 0 || m.Resources.Covers(n.Resources)) && (n.Label == "" || slices.Contains(m.Labels, n.Label))
}

// takeFrom counts the host for the first need that it matches, and reports whether there is one.
func takeFrom(needs []HostNeed, m *machine) bool {
	for n := range needs {
		if needs[n].Hosts > 0 && needs[n].matches(m) {
			needs[n].Hosts--
			needs[n].Lasting = max(0, needs[n].Lasting-1)
			return true
		}
	}
	return false
}

// add counts the host for the pool.
func (b *balance) add(m *machine) {
	takeFrom(b.lacking, m)
	b.hosts++
	b.missing = max(0, b.missing-1)
	b.urgent = max(0, b.urgent-1)
}

// needFor returns how many hosts the pool lacks of its share of which this may be one, and how many of these its long-running tasks and gangs need.
func (b *balance) needFor(m *machine) (hosts, urgent int) {
	var lacking, lasting int
	for n := range b.lacking {
		if b.lacking[n].matches(m) {
			lacking += b.lacking[n].Hosts
			lasting += b.lacking[n].Lasting
		}
	}
	due := max(0, b.share-b.hosts)
	return min(due, max(b.missing, lacking)), min(due, b.urgent, max(b.missing, lasting))
}

// neediestFor returns the other pool that lacks the most hosts of which this may be one, or nil if none does. Those that lack hosts for
// long-running tasks and gangs come first.
func neediestFor(balances []*balance, m *machine) *balance {
	var most *balance
	var mostHosts, mostUrgent int
	for _, b := range balances {
		if b.pool == m.Pool {
			continue
		}
		if hosts, urgent := b.needFor(m); cmp.Or(cmp.Compare(urgent, mostUrgent), cmp.Compare(hosts, mostHosts)) > 0 {
			most, mostHosts, mostUrgent = b, hosts, urgent
		}
	}
	return most
}

// moveFirstOfEachKind moves one host of each kind that a pool lacks, and returns the other hosts of the list. So a pool that lacks many hosts
// doesn't take the few that another pool's work fits on.
func (f *Fleet) moveFirstOfEachKind(balances []*balance, list []*machine, plan *Plan) []*machine {
	for _, b := range balances {
		for n := range b.lacking {
			need := &b.lacking[n]
			if i := slices.IndexFunc(list, need.matches); i >= 0 && need.Hosts > 0 && b.hosts < b.share {
				b.add(list[i])
				f.orderMove(list[i], b.pool, plan)
				list = slices.Delete(list, i, i+1)
			}
		}
	}
	return list
}

// lackingHosts returns the hosts that the pool lacks beyond those on the way to it, and how many of those on the way it needs.
//
// A host is on the way until the pool's report counts it, or for arrivalTime: a host whose backend server doesn't come up is no help. A pool
// that reports fewer hosts than it has may have lost sight of some, so all that it doesn't report count at first.
func (f *Fleet) lackingHosts(pool string, now time.Time) (lacking []HostNeed, arriving int) {
	report, d := f.reports[pool], f.moves.demands[pool]
	if len(report.Load.Lacking) == 0 {
		d.unreportedSince = time.Time{}
		return nil, 0
	}
	lacking = slices.Clone(report.Load.Lacking)
	unreported := f.countsOf(pool).serving - report.Load.Listed
	for _, m := range f.sorted {
		if m.Pool == pool && m.evacuating && m.requestSerial > report.Serial {
			unreported++ // the report counts it still
		}
	}
	switch {
	case unreported <= 0:
		d.unreportedSince = time.Time{}
	case d.unreportedSince.IsZero():
		d.unreportedSince = now
	}
	recent := now.Sub(d.unreportedSince) < f.arrivalTime()
	for _, m := range f.sorted {
		if unreported > 0 && f.isServing(m, pool) && (recent || f.isArriving(m, now)) && takeFrom(lacking, m) {
			unreported--
			arriving++
		}
	}
	return slices.DeleteFunc(lacking, func(n HostNeed) bool { return n.Hosts == 0 }), arriving
}

// arrivalTime returns how long a host takes to be in its pool's report.
func (f *Fleet) arrivalTime() time.Duration { return f.options.MoveDuration + arrivalDelay }

func (f *Fleet) isServing(m *machine, pool string) bool {
	target, ok := m.servedPool()
	return ok && target == pool
}

// isArriving reports whether the host is on the way to a pool, or was a short time ago.
func (f *Fleet) isArriving(m *machine, now time.Time) bool {
	return m.moving || m.orderPending || !m.orderedAt.IsZero() && now.Sub(m.orderedAt) < f.arrivalTime()
}
