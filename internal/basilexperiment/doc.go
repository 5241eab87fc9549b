// Package basilexperiment plays loads against the scheduler's and the capacity planner's own decisions in event
// time, without sockets or a store, and compares policies side by side.
package basilexperiment
