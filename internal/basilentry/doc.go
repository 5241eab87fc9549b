// Package basilentry wires one entry host together: its HTTP servers, control
// loop, peers, jobs and fleet work, and its graceful stop.
package basilentry
