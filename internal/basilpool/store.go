package basilpool

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Partitions of the table for hosts and pools.
//
// All hosts share one partition, so that a cold start reads them with one query per page. This costs no write throughput,
// because the trail's head serializes all writes anyway.
const (
	hostPartition = "host"
	poolPartition = "pool"
)

// hostPageSize is the maximum number of hosts per query.
const hostPageSize = 2000

func hostKey(id string) basilplatform.Key {
	return basilplatform.Key{Partition: hostPartition, Sort: id}
}

func poolKey(name string) basilplatform.Key {
	return basilplatform.Key{Partition: poolPartition, Sort: name}
}

// load decodes an item into the value and returns its version, 0 if there is none.
func load(ctx context.Context, t basilplatform.Table, k basilplatform.Key, into any) (int64, error) {
	i, err := t.Get(ctx, k)
	if basilplatform.IsErrItemNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return i.Version, errors.WithStack(json.Unmarshal(i.Body, into))
}

// put returns a write that replaces the given version of the item, without a precondition if it is 0.
func put(k basilplatform.Key, version int64, value any) (basilplatform.Write, error) {
	body, err := json.Marshal(value)
	w := basilplatform.Write{Kind: basilplatform.WriteKindPut, Key: k, Body: body}
	return withVersion(w, version), errors.WithStack(err)
}

func withVersion(w basilplatform.Write, version int64) basilplatform.Write {
	if version > 0 {
		w.Precondition = basilplatform.PreconditionVersion
		w.Version = version
	}
	return w
}

// queryHosts reads all hosts page by page.
func queryHosts(ctx context.Context, t basilplatform.Table) ([]basilmodel.Host, error) {
	var hosts []basilmodel.Host
	after := ""
	for {
		items, err := t.Query(ctx, hostPartition, after, hostPageSize)
		if err != nil || len(items) == 0 { // only an empty page marks the end; others may be short
			return hosts, err
		}
		for _, i := range items {
			var h basilmodel.Host
			if err := json.Unmarshal(i.Body, &h); err != nil {
				return nil, errors.WithStack(err)
			}
			hosts = append(hosts, h)
		}
		after = items[len(items)-1].Key.Sort
	}
}
