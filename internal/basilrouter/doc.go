// Package basilrouter balances jobs over the backend servers of each service.
//
// Router selects a backend server by its free credits, latency, failures and leaving
// marks; it is safe for concurrent use. Dispatcher sends a job to the selected server
// over HTTP/1.1, determines whether the job ran, and retries within a budget.
package basilrouter
