// Package basilledger keeps accepted jobs in the platform's store.
//
// Any entry host may accept and cancel jobs. Only the owner of a service's shard
// writes progress, in group commits with the owner row as a precondition.
package basilledger
