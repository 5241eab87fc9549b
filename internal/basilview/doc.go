// Package basilview runs the control loop of an entry host. A single goroutine
// owns the control state, updates it from the audit trail, the member list, the
// host list and peers, and publishes an immutable View that request handlers read.
package basilview
