// Package basilqueue implements admission control and scheduling for short jobs.
//
// Queues holds one queue per service. A queue classifies jobs by their observed
// run times, limits the share of slots that long jobs hold, shares slots fairly
// between teams, orders the jobs of a team by earliest deadline, and rejects jobs
// that can't start in time. It is safe for concurrent use.
package basilqueue
