// Package basilsoak plays random series of faults against real processes on loopback.
//
// Its tests start the program of an entry host several times, beside the stand-ins of the platform, and inject faults from
// outside: signals, and a proxy on the way to the store.
package basilsoak
