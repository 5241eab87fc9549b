// Package basiljob decides what runs, how often, and what is told of it.
//
// A Registry holds the short jobs of one incarnation of an entry host in
// memory; LongJobs keeps long jobs in the platform's table.
package basiljob
