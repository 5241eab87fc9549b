// Package basilwork holds jobs of several steps, the backend servers that run
// their tasks, and the ports to the platform that carries them.
package basilwork
