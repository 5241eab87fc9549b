package basilstandin

import (
	"slices"
	"strings"

	"basilstage.example/basilstage/internal/basilplatform"
)

// itemIndex holds the items of each partition in sort order; its zero value works.
type itemIndex struct {
	partitions map[string][]*basilplatform.Item
}

// find returns where the sort key is, or belongs, and whether it is there.
func (x *itemIndex) find(partition, sort string) (int, bool) {
	return slices.BinarySearchFunc(x.partitions[partition], sort, func(i *basilplatform.Item, s string) int {
		return strings.Compare(i.Key.Sort, s)
	})
}

func (x *itemIndex) get(k basilplatform.Key) (basilplatform.Item, bool) {
	n, ok := x.find(k.Partition, k.Sort)
	if !ok {
		return basilplatform.Item{}, false
	}
	return *x.partitions[k.Partition][n], true
}

func (x *itemIndex) put(i basilplatform.Item) {
	if x.partitions == nil {
		x.partitions = make(map[string][]*basilplatform.Item)
	}
	partition := x.partitions[i.Key.Partition]
	n, ok := x.find(i.Key.Partition, i.Key.Sort)
	if ok {
		partition[n] = &i
		return
	}
	x.partitions[i.Key.Partition] = slices.Insert(partition, n, &i)
}

func (x *itemIndex) remove(k basilplatform.Key) {
	n, ok := x.find(k.Partition, k.Sort)
	if !ok {
		return
	}
	rest := slices.Delete(x.partitions[k.Partition], n, n+1)
	if len(rest) == 0 {
		delete(x.partitions, k.Partition)
		return
	}
	x.partitions[k.Partition] = rest
}

// after returns up to limit items that follow the sort key; limit 0 is all of them.
func (x *itemIndex) after(partition, after string, limit int) []basilplatform.Item {
	n, ok := x.find(partition, after)
	if ok {
		n++
	}
	rest := x.partitions[partition][n:]
	if limit > 0 {
		rest = rest[:min(limit, len(rest))]
	}
	found := make([]basilplatform.Item, len(rest))
	for n, i := range rest {
		found[n] = *i
	}
	return found
}
