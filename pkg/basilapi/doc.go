// Package basilapi holds the messages, outcomes and typed errors that callers
// and operators exchange with an entry host over HTTP.
//
// Messages are wire forms, so their fields are exported.
package basilapi
