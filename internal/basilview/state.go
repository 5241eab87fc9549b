package basilview

import (
	"maps"
	"time"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// state is the control state. Only the control loop accesses it.
type state struct {
	dataCentre       string
	loaded           bool
	sequence         int64
	configuration    basilmodel.Configuration
	pools            map[string]map[string]basilmodel.Host // by pool and host ID
	writable         map[string]bool                       // pools whose map isn't shared with a view
	changes          map[string]int64                      // number of changes to the hosts of each pool
	leaving          map[string]int64                      // by host ID, the epoch at which it was seen leaving; shared with views
	leavingChanges   int                                   // number of changes to the leaving map
	members          []Member
	silence          map[string]memberSilence // by incarnation
	storeReadAt      time.Time                // start of the last read that reached the head of the audit trail
	lastTick         time.Time
	registered       bool      // a heartbeat has succeeded
	confirmed        bool      // a heartbeat sent after the last freeze has succeeded
	freezeDetectedAt time.Time // when the last freeze was detected
	fenced           bool
	sponsor          string
	sponsoredAt      time.Time
	sponsored        map[string]sponsoredHost // by incarnation
	gap              bool                     // an audit entry is missing, so the trail has to be read
	heartbeatDue     bool                     // a heartbeat is due at once: a view was loaded, a freeze was detected, or a host of this data centre has to leave
}

// memberSilence counts the consecutive reads of the member list in which a member's heartbeat count didn't change.
type memberSilence struct {
	heartbeats     int64
	unchangedReads int
}

// sponsoredHost is the last report of an entry host that this one sponsors.
type sponsoredHost struct {
	applied    int64
	reportedAt time.Time
}

func newState(dataCentre string) *state {
	return &state{
		dataCentre: dataCentre,
		pools:      make(map[string]map[string]basilmodel.Host),
		writable:   make(map[string]bool),
		changes:    make(map[string]int64),
		leaving:    make(map[string]int64),
		silence:    make(map[string]memberSilence),
		sponsored:  make(map[string]sponsoredHost),
	}
}

func (e snapshotEvent) apply(s *state, _ time.Time) {
	if s.loaded && e.snapshot.Sequence <= s.sequence {
		return
	}
	for _, h := range e.snapshot.Hosts {
		s.putHost(h)
	}
	s.putConfiguration(e.snapshot.Configuration)
	s.sequence = e.snapshot.Sequence
	s.loaded = true
	s.gap = false
	s.heartbeatDue = true
}

func (e entriesEvent) apply(s *state, _ time.Time) {
	for _, entry := range e.entries {
		s.applyEntry(entry)
	}
}

// applyEntry applies the entry that follows the last applied one. It ignores
// earlier entries, and records a gap for later ones.
func (s *state) applyEntry(e basilaudit.Entry) {
	if !s.loaded || e.Sequence() <= s.sequence {
		return
	}
	if e.Sequence() > s.sequence+1 {
		s.gap = true
		return
	}
	for _, h := range e.Hosts() {
		s.putHost(h)
		s.heartbeatDue = s.heartbeatDue || h.DataCentre() == s.dataCentre && h.State() == basilmodel.HostStateLeaving
	}
	if len(e.Hosts()) == 0 {
		for _, h := range e.Record().Before {
			s.removeHost(h)
		}
	}
	if diff := e.Configuration(); diff != nil {
		s.configuration, _ = s.configuration.Apply(*diff) // a revision that was already loaded is not applied again
	}
	s.sequence = e.Sequence()
	s.gap = false
}

func (s *state) putConfiguration(c basilmodel.Configuration) {
	if c.Revision() > s.configuration.Revision() {
		s.configuration = c
	}
}

// putHost stores the host unless a later epoch of it is known, and removes it from any other pool.
func (s *state) putHost(h basilmodel.Host) {
	for name, p := range s.pools {
		known, ok := p[h.ID()]
		if !ok {
			continue
		}
		if known.Epoch() > h.Epoch() {
			return
		}
		if name != h.Pool() {
			delete(s.writablePool(name), h.ID())
		}
	}
	s.writablePool(h.Pool())[h.ID()] = h
}

// writablePool returns the pool's map for modification. A map that is shared with a view is copied first.
func (s *state) writablePool(pool string) map[string]basilmodel.Host {
	s.changes[pool]++
	if s.writable[pool] {
		return s.pools[pool]
	}
	p := maps.Clone(s.pools[pool])
	if p == nil {
		p = make(map[string]basilmodel.Host)
	}
	s.pools[pool] = p
	s.writable[pool] = true
	return p
}

// removeHost deletes a host that was removed at the given epoch, unless a later epoch of it is known.
func (s *state) removeHost(h basilmodel.Host) {
	known, ok := s.pools[h.Pool()][h.ID()]
	if !ok || known.Epoch() > h.Epoch() {
		return
	}
	delete(s.writablePool(h.Pool()), h.ID())
}

func (e headEvent) apply(s *state, _ time.Time) {
	if !s.gap && e.readStart.After(s.storeReadAt) {
		s.storeReadAt = e.readStart
	}
}

func (e membersEvent) apply(s *state, _ time.Time) {
	s.members = e.members
	updated := make(map[string]memberSilence, len(e.members))
	for _, m := range e.members {
		key := m.Incarnation().String()
		last := s.silence[key]
		if last.heartbeats == m.Heartbeats() {
			last.unchangedReads++
		} else {
			last = memberSilence{heartbeats: m.Heartbeats()}
		}
		updated[key] = last
	}
	s.silence = updated
}

func (e heartbeatEvent) apply(s *state, _ time.Time) {
	switch {
	case e.err == nil:
		s.registered = true
		if !e.sentAfter.Before(s.freezeDetectedAt) {
			s.confirmed = true
			s.sponsor = ""
		}
	case IsErrFenced(e.err):
		s.fenced = true
	}
}

func (e leavingEvent) apply(s *state, _ time.Time) {
	if s.leaving[e.host] >= e.epoch {
		return
	}
	s.leaving = maps.Clone(s.leaving)
	s.leaving[e.host] = e.epoch
	s.leavingChanges++
	for name, p := range s.pools {
		if _, ok := p[e.host]; ok {
			s.changes[name]++
		}
	}
}

func (e hostListEvent) apply(s *state, now time.Time) {
	for _, p := range s.pools {
		for id, h := range p {
			if e.leaving[id] && h.State() == basilmodel.HostStateActive {
				leavingEvent{host: id, epoch: h.Epoch()}.apply(s, now)
			}
		}
	}
}

func (e sponsorEvent) apply(s *state, _ time.Time) {
	if s.registered && s.confirmed {
		return
	}
	s.sponsor = e.sponsor
	s.sponsoredAt = e.at
}

func (e sponsoredEvent) apply(s *state, _ time.Time) {
	s.sponsored[e.incarnation] = sponsoredHost{applied: e.applied, reportedAt: e.at}
}

func (tickEvent) apply(s *state, now time.Time) {
	if !s.lastTick.IsZero() && now.Sub(s.lastTick) > freezeLimit {
		s.confirmed = false
		s.sponsor = ""
		s.freezeDetectedAt = now
		s.heartbeatDue = true
	}
	s.lastTick = now
	for key, m := range s.sponsored {
		if now.Sub(m.reportedAt) > sponsoredExpiry {
			delete(s.sponsored, key)
		}
	}
}

// applied returns the audit sequence applied by this entry host and by all that it sponsors.
func (s *state) applied() int64 {
	lowest := s.sequence
	for _, m := range s.sponsored {
		lowest = min(lowest, m.applied)
	}
	return lowest
}

func (s *state) standing(now time.Time) Standing {
	switch {
	case s.fenced:
		return StandingFenced
	case !s.loaded:
		return StandingStarting
	case s.registered && s.confirmed:
		return StandingMember
	case s.sponsor != "" && now.Sub(s.sponsoredAt) <= sponsorExpiry:
		return StandingSponsored
	}
	return StandingUnconfirmed
}

func (s *state) view(now time.Time) *View {
	clear(s.writable)
	return &View{
		sequence:      s.sequence,
		configuration: s.configuration,
		pools:         maps.Clone(s.pools),
		changes:       maps.Clone(s.changes),
		leaving:       s.leaving,
		members:       s.members,
		silence:       s.silence,
		storeReadAt:   s.storeReadAt,
		standing:      s.standing(now),
		sponsor:       s.sponsor,
	}
}

// publishKey holds the properties of a view whose change affects how requests are handled.
type publishKey struct {
	sequence       int64
	revision       int64
	leavingChanges int
	standing       Standing
	fresh          bool
}

func (s *state) publishKey(v *View, now time.Time) publishKey {
	return publishKey{
		sequence:       s.sequence,
		revision:       s.configuration.Revision(),
		leavingChanges: s.leavingChanges,
		standing:       v.standing,
		fresh:          v.Fresh(now),
	}
}
