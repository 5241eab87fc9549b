// Package basildemo runs entry hosts and stand-ins in one process on loopback,
// puts jobs, a move and a maintenance wave through them, and checks the promises.
package basildemo
