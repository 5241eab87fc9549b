package basilpool

import (
	"cmp"
	"context"
	"slices"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
)

// trailPageSize is the maximum number of entries per read of the trail.
const trailPageSize = 500

// Replica is an in-memory copy of the hosts and the configuration, updated from the trail.
//
// It is not safe for concurrent use. Returned values are shared and valid until the next Refresh.
type Replica struct {
	trail         *basilaudit.Trail
	sequence      int64
	loaded        bool
	hosts         []basilmodel.Host // by ID
	configuration basilmodel.Configuration
}

// NewReplica returns an empty replica that follows the trail.
func NewReplica(t *basilaudit.Trail) *Replica { return &Replica{trail: t} }

// Hosts returns all hosts ordered by ID.
func (r *Replica) Hosts() []basilmodel.Host { return r.hosts }

// Configuration returns the newest accepted configuration.
func (r *Replica) Configuration() basilmodel.Configuration { return r.configuration }

// Sequence returns the sequence of the latest applied entry.
func (r *Replica) Sequence() int64 { return r.sequence }

// Refresh updates the replica; after a failure the replica is older but still consistent.
func (r *Replica) Refresh(ctx context.Context) error {
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	for {
		entries, err := r.trail.After(ctx, r.sequence, trailPageSize)
		if err != nil || len(entries) == 0 {
			return err
		}
		for _, e := range entries {
			r.apply(e)
		}
	}
}

// load reads all hosts and the configuration. Changes made meanwhile follow the head that is read first; applying them
// again is harmless because of epochs and revisions.
func (r *Replica) load(ctx context.Context) error {
	head, err := r.trail.Head(ctx)
	if err != nil {
		return err
	}
	hosts, err := queryHosts(ctx, r.trail.Table())
	if err != nil {
		return err
	}
	configuration, _, err := basilconfig.Current(ctx, r.trail.Table())
	if err != nil {
		return err
	}
	r.sequence, r.hosts, r.configuration, r.loaded = head, hosts, configuration, true
	return nil
}

func (r *Replica) apply(e basilaudit.Entry) {
	r.sequence = e.Sequence()
	if d := e.Configuration(); d != nil {
		r.configuration, _ = r.configuration.Apply(*d) // a revision that is already loaded is not applied again
	}
	for _, h := range e.Hosts() {
		r.put(h)
	}
	if len(e.Hosts()) > 0 {
		return
	}
	for _, h := range e.Record().Before {
		r.remove(h)
	}
}

func (r *Replica) find(id string) (int, bool) {
	return slices.BinarySearchFunc(r.hosts, id, func(h basilmodel.Host, id string) int { return cmp.Compare(h.ID(), id) })
}

func (r *Replica) put(h basilmodel.Host) {
	n, ok := r.find(h.ID())
	switch {
	case !ok:
		r.hosts = slices.Insert(r.hosts, n, h)
	case h.Epoch() > r.hosts[n].Epoch():
		r.hosts[n] = h
	}
}

func (r *Replica) remove(h basilmodel.Host) {
	if n, ok := r.find(h.ID()); ok && r.hosts[n].Epoch() <= h.Epoch() {
		r.hosts = slices.Delete(r.hosts, n, n+1)
	}
}
