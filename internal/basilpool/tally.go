package basilpool

import (
	"cmp"
	"slices"

	"basilstage.example/basilstage/internal/basilmodel"
)

// tallyRecord is the stored count of a pool's hosts, with the list of those out of service.
//
// All services of a pool run on all of its hosts, so one item per pool is enough for the budgets of all its services, and a
// service that is reassigned to another pool uses that pool's item without any data to migrate.
type tallyRecord struct {
	Hosts int                 `json:"hosts"`
	Out   []basilmodel.Outage `json:"out,omitempty"` // by host ID
}

func (t tallyRecord) available() int { return t.Hosts - len(t.Out) }

// countStaying returns how many hosts belong to the pool and aren't moving away.
func (t tallyRecord) countStaying() int {
	staying := t.Hosts
	for _, o := range t.Out {
		if o.Cause == basilmodel.OutCauseMove {
			staying--
		}
	}
	return staying
}

// replace returns the tally of the pool after a change of a host; before is the zero host for an added host, after for a
// removed one.
func (t tallyRecord) replace(pool string, before, after basilmodel.Host) tallyRecord {
	next := tallyRecord{Hosts: t.Hosts, Out: slices.Clone(t.Out)}
	if before.Pool() == pool {
		next.Hosts--
		next.Out = slices.DeleteFunc(next.Out, func(o basilmodel.Outage) bool { return o.Host == before.ID() })
	}
	if after.Pool() != pool {
		return next
	}
	next.Hosts++
	if after.InService() {
		return next
	}
	out := basilmodel.Outage{Host: after.ID(), Cause: after.Cause()}
	n, _ := slices.BinarySearchFunc(next.Out, out, func(a, b basilmodel.Outage) int { return cmp.Compare(a.Host, b.Host) })
	next.Out = slices.Insert(next.Out, n, out)
	return next
}

func (t tallyRecord) equal(o tallyRecord) bool {
	return t.Hosts == o.Hosts && slices.Equal(t.Out, o.Out)
}

// budget returns the service's availability budget and the outages that count against it.
func (t tallyRecord) budget(s basilmodel.Service) basilmodel.Budget {
	return basilmodel.NewBudget(basilmodel.BudgetRecord{
		Service: s.Name, Pool: s.Pool, MinAvailable: s.MinAvailable, Hosts: t.Hosts, Out: t.Out,
	})
}
