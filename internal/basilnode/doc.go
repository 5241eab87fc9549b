// Package basilnode runs one entry host on a platform: the callers' front, the
// shards it owns and their work.
package basilnode
