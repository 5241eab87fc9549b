// Package basilscheduler assigns the tasks of one pool to backend servers and decides when they start and stop.
//
// The package has no side effects: callers pass in events and the current time, and Decide returns the actions to take.
// It opens no connections, reads no clock and writes no logs.
package basilscheduler
