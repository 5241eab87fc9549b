// Package basilrouter chooses a backend server for each job and sends the job there.
//
// Router keeps the live state of the backend servers (credits, latency, failures,
// leaving marks) and is safe for concurrent use. Dispatcher sends a job over
// HTTP/1.1, tells whether it was run, and retries within a budget.
package basilrouter
