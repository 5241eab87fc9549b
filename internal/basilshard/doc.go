// Package basilshard spreads shards over entry hosts: each has one owner at a time,
// whose epoch fences its orders.
//
// Owners stand as rows in the platform's store, and every entry host renews a row
// of its own. An owner whose row has stood still for the lease may be replaced; it
// has stopped starting work by then.
package basilshard
