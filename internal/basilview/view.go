package basilview

import (
	"sort"
	"time"

	"github.com/oklog/ulid/v2"

	"basilstage.example/basilstage/internal/basilmodel"
)

// View is an immutable snapshot of an entry host's control state.
type View struct {
	sequence      int64
	configuration basilmodel.Configuration
	pools         map[string]map[string]basilmodel.Host // by pool and host ID
	changes       map[string]int64                      // by pool, the number of changes to its hosts
	leaving       map[string]int64                      // by host ID, the epoch at which it was seen leaving
	members       []Member
	silence       map[string]memberSilence // by incarnation
	storeReadAt   time.Time                // start of the last read that reached the head of the audit trail
	standing      Standing
	sponsor       string
}

// Sequence returns the audit sequence up to which entries are applied.
func (v *View) Sequence() int64 { return v.sequence }

// Configuration returns the configuration in force.
func (v *View) Configuration() basilmodel.Configuration { return v.configuration }

// Members returns the registered entry hosts.
func (v *View) Members() []Member { return v.members }

// Standing returns the membership state of the entry host.
func (v *View) Standing() Standing { return v.standing }

// Sponsor returns the ID of the member that sponsors this entry host, or "".
func (v *View) Sponsor() string { return v.sponsor }

// StoreAge returns the time since the audit trail was last read up to its head.
func (v *View) StoreAge(now time.Time) time.Duration { return now.Sub(v.storeReadAt) }

// Host returns the host with the given ID, and whether it exists.
func (v *View) Host(id string) (basilmodel.Host, bool) {
	for _, p := range v.pools {
		if h, ok := p[id]; ok {
			return h, true
		}
	}
	return basilmodel.Host{}, false
}

// Hosts returns all hosts, sorted by ID.
func (v *View) Hosts() []basilmodel.Host {
	var hosts []basilmodel.Host
	for _, p := range v.pools {
		for _, h := range p {
			hosts = append(hosts, h)
		}
	}
	sortHosts(hosts)
	return hosts
}

// HostsIn returns the hosts of the pool, sorted by ID.
func (v *View) HostsIn(pool string) []basilmodel.Host {
	hosts := make([]basilmodel.Host, 0, len(v.pools[pool]))
	for _, h := range v.pools[pool] {
		hosts = append(hosts, h)
	}
	sortHosts(hosts)
	return hosts
}

// Leaving reports whether the host was seen leaving at its current epoch or a later one.
func (v *View) Leaving(h basilmodel.Host) bool {
	epoch, ok := v.leaving[h.ID()]
	return ok && epoch >= h.Epoch()
}

// Fresh reports whether the view is recent enough for using hosts of other data centres.
func (v *View) Fresh(now time.Time) bool { return v.StoreAge(now) <= remoteViewAgeLimit }

// Changes returns the number of changes to the pool's hosts.
func (v *View) Changes(pool string) int64 { return v.changes[pool] }

// Usable returns the active hosts of the pool to which an entry host of the data centre may send work, in no order.
//
// Hosts of other data centres are usable only while the view is fresh.
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

// Applied reports whether every registered member of the host's data centre has
// applied the audit entry of the host's epoch. It is false if the view has another epoch of the host.
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

// Gone reports whether the incarnation is presumed gone: it was replaced, has
// left, or hasn't sent a heartbeat for several reads of the member list.
//
// The result may be wrong, so only actions that are fenced by other means may rely on it.
func (v *View) Gone(incarnation ulid.ULID) bool {
	if len(v.members) == 0 {
		return false
	}
	s, ok := v.silence[incarnation.String()]
	return !ok || s.unchangedReads >= silentReadLimit
}

// Snapshot returns the view's hosts and configuration for the cold start of another entry host.
func (v *View) Snapshot() Snapshot {
	return Snapshot{Sequence: v.sequence, Configuration: v.configuration, Hosts: v.Hosts()}
}

func sortHosts(hosts []basilmodel.Host) {
	sort.Slice(hosts, func(a, b int) bool { return hosts[a].ID() < hosts[b].ID() })
}
