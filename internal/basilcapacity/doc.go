// Package basilcapacity decides which hosts are maintained when, and in which pools hosts stand.
//
// It is pure: lists, reports and the time go in, a plan comes out.
package basilcapacity
