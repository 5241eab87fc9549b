package basilwork

import (
	"context"

	"basilstage.example/basilstage/internal/basilplatform"
)

// Page is a part of the items of a partition.
type Page struct {
	Items   []basilplatform.Item
	Version int64 // of the store, from before the read
	More    bool  // items with later sort keys exist
}

// PartitionReader reads all items of a partition page by page; create it with NewPartitionReader.
//
// A read that fails costs the page alone: what has been read isn't read again, however long the link takes to carry the whole partition.
type PartitionReader struct {
	store     Store
	partition string
	after     string
	version   int64
	items     int
	begun     bool
	complete  bool
}

// NewPartitionReader returns a reader of the partition that has read nothing yet.
func NewPartitionReader(s Store, partition string) *PartitionReader {
	return &PartitionReader{store: s, partition: partition}
}

// Begun reports whether a page has been read.
func (r *PartitionReader) Begun() bool { return r.begun }

// Items returns the number of items that have been read.
func (r *PartitionReader) Items() int { return r.items }

// Version returns the store's version from before the first page. Items may be newer, and what has changed since tells a watch from there on.
func (r *PartitionReader) Version() int64 { return r.version }

// Read reads the pages that it hasn't read yet, and calls apply with the items of each. If it fails, it may be called again.
func (r *PartitionReader) Read(ctx context.Context, apply func(items []basilplatform.Item)) error {
	for !r.complete {
		p, err := r.store.Page(ctx, r.partition, r.after)
		if err != nil {
			return err
		}
		if !r.begun {
			r.begun, r.version = true, p.Version
		}
		if len(p.Items) > 0 {
			r.after = p.Items[len(p.Items)-1].Key.Sort
		}
		r.items += len(p.Items)
		r.complete = !p.More || len(p.Items) == 0
		apply(p.Items)
	}
	return nil
}
