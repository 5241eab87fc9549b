package basilscheduler

import "cmp"

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Order -trimprefix=Order -transform=snake -output=order_enumer.go

// Order is the order in which waiting steps are placed. All but OrderSlack are baselines for experiments.
type Order int

// Placement orders.
const (
	OrderSlack      Order = iota // by rank, then by slack to the objective or remaining work
	OrderArrival                 // first come, first served
	OrderShortest                // least remaining work first
	OrderLeastSlack              // like OrderSlack, but without the margin for jobs at risk
)

// compare compares two candidates; long-running tasks come first in every order.
func (o Order) compare(a, b *candidate) int {
	if o == OrderSlack || o == OrderLeastSlack || a.rank == rankServing || b.rank == rankServing {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sortKey, b.sortKey))
	}
	if o == OrderArrival {
		return a.step.occurrence.job.accepted.Compare(b.step.occurrence.job.accepted)
	}
	return cmp.Compare(a.work, b.work)
}
