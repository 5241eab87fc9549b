// Package basilview runs the control loop of an entry host: one goroutine owns
// the control state, learns from the audit trail, the member list, the host
// list and peers, and publishes an immutable View that traffic reads.
package basilview
