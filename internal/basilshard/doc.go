// Package basilshard distributes shards over entry hosts: each shard has one owner at
// a time, whose epoch is the fencing token of its orders.
//
// Owners are rows in the platform's store, and every entry host (member) keeps a member
// row there that it renews periodically. An owner whose member row hasn't changed for the
// lease time may be replaced; by then it has stopped starting work.
package basilshard
