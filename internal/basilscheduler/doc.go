// Package basilscheduler decides which task of a pool runs where and when.
//
// It is pure: events and the time go in, actions come out. It opens no sockets,
// reads no clock and writes no logs.
package basilscheduler
