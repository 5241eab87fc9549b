// Package basilplacement chooses workers for long jobs.
//
// Choose is the pure decision; Placer keeps what it decides on. No coordinator
// takes part: entry hosts choose at random among the best few workers, and a
// worker that has no room refuses.
package basilplacement
