package basilpool

import (
	"cmp"
	"slices"

	"basilstage.example/basilstage/internal/basilmodel"
)

// tallyRecord is the stored count of a pool's hosts and of those that are out.
//
// All services of a pool run on all of its hosts, so one item a pool carries the
// budgets of all its services, and a service that the configuration puts into
// another pool is judged by that pool's item with no copy to bring over.
type tallyRecord struct {
	Hosts int                 `json:"hosts"`
	Out   []basilmodel.Outage `json:"out,omitempty"` // by host id
}

func (t tallyRecord) available() int { return t.Hosts - len(t.Out) }

// staying returns how many hosts belong to the pool and don't move away.
func (t tallyRecord) staying() int {
	staying := t.Hosts
	for _, o := range t.Out {
		if o.Cause == basilmodel.OutCauseMove {
			staying--
		}
	}
	return staying
}

// replace returns the tally of the pool after a host changed; either one is the zero host when there is none.
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

// budget returns what the service must keep and what counts against it.
func (t tallyRecord) budget(s basilmodel.Service) basilmodel.Budget {
	return basilmodel.NewBudget(basilmodel.BudgetRecord{
		Service: s.Name, Pool: s.Pool, MinAvailable: s.MinAvailable, Hosts: t.Hosts, Out: t.Out,
	})
}
