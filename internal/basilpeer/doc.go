// Package basilpeer links the entry hosts to each other: a mesh of QUIC
// connections under mutual TLS that carries deltas (best effort, newest first
// to count) and requests (one stream each, with honest errors).
//
// Nothing that must hold rests on a delta arriving: what it says is in the
// platform's table too, or is only a hint.
package basilpeer
