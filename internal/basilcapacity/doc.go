// Package basilcapacity plans host maintenance and the assignment of hosts to pools.
//
// It does no I/O: host lists, pool reports and the current time are passed in, and a plan is returned.
package basilcapacity
