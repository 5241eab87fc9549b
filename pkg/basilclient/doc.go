// Package basilclient is the Go client of basilstage for callers and operators.
package basilclient
