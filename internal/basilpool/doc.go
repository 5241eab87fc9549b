// Package basilpool keeps the life of each host: its one pool, its moves between
// pools, its maintenance and its failures, all within the availability budgets of
// the services that run on it.
package basilpool
