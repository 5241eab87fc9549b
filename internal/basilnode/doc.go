// Package basilnode runs one entry host on a platform: the HTTP front end for
// callers, and the scheduling of the shards that the entry host owns.
package basilnode
