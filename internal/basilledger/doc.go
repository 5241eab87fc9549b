// Package basilledger keeps accepted jobs in the platform's store.
//
// Any entry host accepts and cancels; the owner of a service's shard writes
// progress, in group commits that carry the owner's row as a precondition.
package basilledger
