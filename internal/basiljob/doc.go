// Package basiljob tracks the life cycle of jobs: whether an attempt may start, and what clients are answered.
//
// A Registry keeps the short jobs of one incarnation of an entry host in
// memory; LongJobs stores long jobs in the platform's table.
package basiljob
