// Package basilexperiment plays loads against the scheduler's and the capacity planner's own decisions in event
// time, without sockets or a store, and compares policies side by side. It also compares ways to renew leases while answers are lost.
package basilexperiment
