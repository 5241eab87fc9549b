// Package basilfleet meets the platform's host list, host control and worker
// tasks over HTTP and JSON.
package basilfleet
