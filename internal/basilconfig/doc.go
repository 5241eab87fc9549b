// Package basilconfig keeps the declared configuration as immutable revisions in
// the platform's table, moved forward by compare-and-set.
package basilconfig
