// Package basilconfig stores the declared configuration as immutable revisions in
// the platform's table. New revisions are accepted by compare-and-set on the newest one.
package basilconfig
