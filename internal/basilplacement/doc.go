// Package basilplacement chooses workers for long jobs.
//
// Choose is the decision itself, without side effects; Placer keeps the state that
// it is based on. There is no coordinator: each entry host draws one of the best
// few workers at random, and a worker without enough room refuses the task.
package basilplacement
