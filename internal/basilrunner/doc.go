// Package basilrunner sends orders to one backend server and renews the leases of
// its runs. It tracks the backend server's clock and the latest time at which runs
// that are no longer reported may still be running there.
package basilrunner
