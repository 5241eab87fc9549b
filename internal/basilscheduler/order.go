package basilscheduler

import "cmp"

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Order -trimprefix=Order -transform=snake -output=order_enumer.go

// Order is the order in which waiting steps are placed. All but OrderLeastWork are baselines for experiments.
type Order int

// Placement orders.
const (
	OrderLeastWork  Order = iota // by rank, jobs on time by their remaining work, others by their remaining run time
	OrderSlack                   // like OrderLeastWork, but jobs on time by their slack to the objective
	OrderArrival                 // first come, first served
	OrderShortest                // least remaining work first
	OrderLeastSlack              // like OrderSlack, but without the margin for jobs at risk
)

// compare compares two candidates; long-running tasks come first in every order.
//
// OrderLeastWork answers a load beyond the room. Among jobs that can still be on time, those with the least work left free
// room for others soonest, and a job that was begun comes before one of the same size that wasn't.
func (o Order) compare(a, b *candidate) int {
	switch {
	case a.rank == rankServing || b.rank == rankServing, o == OrderSlack, o == OrderLeastSlack, o == OrderLeastWork && (a.rank != rankOnTime || b.rank != rankOnTime):
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sortKey, b.sortKey))
	case o == OrderArrival:
		return a.step.occurrence.job.accepted.Compare(b.step.occurrence.job.accepted)
	}
	return cmp.Compare(a.work, b.work)
}
