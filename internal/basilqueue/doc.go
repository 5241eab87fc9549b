// Package basilqueue decides which short job may be sent next, and which is refused at once.
//
// Queues holds one queue per service. A queue sorts jobs into classes by the run
// times that it has observed, bounds the slots of long jobs, is fair between
// teams, goes by the earliest deadline within a team, and refuses what can't
// start in time. It is safe for concurrent use.
package basilqueue
