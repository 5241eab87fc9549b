// Package basilwork defines multi-step jobs, the backend servers that run their
// tasks, and the interfaces through which both reach the platform.
package basilwork
