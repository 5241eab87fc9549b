// Package basilsettings reads what one entry host is told at its start: who it
// is, where it listens, and how it reaches its peers and the platform.
package basilsettings
