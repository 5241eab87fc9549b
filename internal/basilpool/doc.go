// Package basilpool manages the life cycle of hosts: their assignment to one pool each, moves between pools,
// maintenance and failures, within the availability budgets of the services that run on them.
package basilpool
