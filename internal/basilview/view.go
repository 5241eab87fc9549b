package basilview

import (
	"sort"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/internal/basilmodel"
)

// View is what an entry host knows at one moment; it never changes.
type View struct {
	sequence      int64
	configuration basilmodel.Configuration
	pools         map[string]map[string]basilmodel.Host // by pool and host id
	changes       map[string]int64                      // by pool
	leaving       map[string]int64                      // host id to the epoch that is leaving
	members       []Member
	silence       map[string]silence
	storeSeen     time.Time // when the table was last read up to its head
	standing      Standing
	sponsor       string
}

// Sequence returns the audit sequence up to which changes are applied.
func (v *View) Sequence() int64 { return v.sequence }

// Configuration returns the revision in force.
func (v *View) Configuration() basilmodel.Configuration { return v.configuration }

// Members returns the registered entry hosts.
func (v *View) Members() []Member { return v.members }

// Standing returns how far the entry host may serve.
func (v *View) Standing() Standing { return v.standing }

// Sponsor returns the member under whose registration this one serves, or "".
func (v *View) Sponsor() string { return v.sponsor }

// StoreAge returns how long ago the table was last read up to its head.
func (v *View) StoreAge(now time.Time) time.Duration { return now.Sub(v.storeSeen) }

// Host returns the host of that id and whether it is known.
func (v *View) Host(id string) (basilmodel.Host, bool) {
	for _, p := range v.pools {
		if h, ok := p[id]; ok {
			return h, true
		}
	}
	return basilmodel.Host{}, false
}

// Hosts returns all hosts in the order of their ids.
func (v *View) Hosts() []basilmodel.Host {
	var all []basilmodel.Host
	for _, p := range v.pools {
		for _, h := range p {
			all = append(all, h)
		}
	}
	sortHosts(all)
	return all
}

// HostsIn returns the hosts of the pool in the order of their ids.
func (v *View) HostsIn(pool string) []basilmodel.Host {
	all := make([]basilmodel.Host, 0, len(v.pools[pool]))
	for _, h := range v.pools[pool] {
		all = append(all, h)
	}
	sortHosts(all)
	return all
}

// Leaving tells whether the host was seen leaving at its present epoch.
func (v *View) Leaving(h basilmodel.Host) bool {
	epoch, ok := v.leaving[h.ID()]
	return ok && epoch >= h.Epoch()
}

// Fresh tells whether the view is new enough for hosts of other data centres.
func (v *View) Fresh(now time.Time) bool { return v.StoreAge(now) <= remoteViewLimit }

// Changes counts how often the pool's hosts changed.
func (v *View) Changes(pool string) int64 { return v.changes[pool] }

// Usable returns the active hosts of the pool that the entry host may send work to, in no order.
//
// Hosts of its own data centre need no fresh view; those of others do.
func (v *View) Usable(pool, dataCentre string, now time.Time) []basilmodel.Host {
	fresh := v.Fresh(now)
	usable := make([]basilmodel.Host, 0, len(v.pools[pool]))
	for _, h := range v.pools[pool] {
		if h.State() != basilmodel.HostStateActive || v.Leaving(h) {
			continue
		}
		if h.DataCentre() == dataCentre || fresh {
			usable = append(usable, h)
		}
	}
	return usable
}

// Applied tells whether every registered member of the host's data centre has applied the host's epoch.
func (v *View) Applied(h basilmodel.Host) bool {
	known, ok := v.Host(h.ID())
	if !ok || known.Epoch() != h.Epoch() {
		return false
	}
	for _, m := range v.members {
		if m.DataCentre() == h.DataCentre() && m.Applied() < known.Sequence() {
			return false
		}
	}
	return true
}

// Gone tells whether the incarnation was replaced, has left or has been silent for long.
//
// It is a suspicion, on which nothing may rest that has no fence of its own.
func (v *View) Gone(incarnation ulid.ULID) bool {
	if len(v.members) == 0 {
		return false
	}
	s, ok := v.silence[incarnation.String()]
	return !ok || s.reads >= silentReads
}

// Snapshot returns the view's hosts and configuration for a cold start elsewhere.
func (v *View) Snapshot() Snapshot {
	return Snapshot{Sequence: v.sequence, Configuration: v.configuration, Hosts: v.Hosts()}
}

func sortHosts(all []basilmodel.Host) {
	sort.Slice(all, func(a, b int) bool { return all[a].ID() < all[b].ID() })
}
