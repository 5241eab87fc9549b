package basilview

import (
	"maps"
	"time"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// state is the control state; only the control loop touches it.
type state struct {
	dataCentre    string
	loaded        bool
	sequence      int64
	configuration basilmodel.Configuration
	pools         map[string]map[string]basilmodel.Host
	owned         map[string]bool  // pools whose map no view shares yet
	changes       map[string]int64 // by pool, how often its hosts changed
	leaving       map[string]int64
	leavings      int // how often leaving changed
	members       []Member
	silence       map[string]silence
	storeSeen     time.Time
	ticked        time.Time
	registered    bool      // a heartbeat has succeeded
	confirmed     bool      // and one that was sent since the last freeze
	woken         time.Time // when the last freeze was found
	fenced        bool
	sponsor       string
	sponsorSeen   time.Time
	sponsored     map[string]sponsored
	gap           bool // an entry is missing: the trail has to be read
	asked         bool // a heartbeat is due at once: the view is loaded, a freeze was found, or a host of this data centre is asked away
}

// silence counts the reads in a row in which a member's heartbeat stood still.
type silence struct {
	beat  int64
	reads int
}

// sponsored is what a sponsor knows of an entry host that serves under it.
type sponsored struct {
	applied int64
	seen    time.Time
}

func newState(dataCentre string) *state {
	return &state{
		dataCentre: dataCentre,
		pools:      make(map[string]map[string]basilmodel.Host),
		owned:      make(map[string]bool),
		changes:    make(map[string]int64),
		leaving:    make(map[string]int64),
		silence:    make(map[string]silence),
		sponsored:  make(map[string]sponsored),
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
	s.asked = true
}

func (e entriesEvent) apply(s *state, _ time.Time) {
	for _, x := range e.entries {
		s.applyEntry(x)
	}
}

// applyEntry applies the change that follows the last one; earlier ones are known, later ones leave a gap.
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
		s.asked = s.asked || h.DataCentre() == s.dataCentre && h.State() == basilmodel.HostStateLeaving
	}
	if len(e.Hosts()) == 0 {
		for _, h := range e.Record().Before {
			s.removeHost(h)
		}
	}
	if d := e.Configuration(); d != nil {
		s.configuration, _ = s.configuration.Apply(*d) // a revision that was read before is not applied again
	}
	s.sequence = e.Sequence()
	s.gap = false
}

func (s *state) putConfiguration(c basilmodel.Configuration) {
	if c.Revision() > s.configuration.Revision() {
		s.configuration = c
	}
}

// putHost stores the host unless a later epoch is known, and takes it out of any other pool.
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
			delete(s.own(name), h.ID())
		}
	}
	s.own(h.Pool())[h.ID()] = h
}

// own returns the pool's map to change; one that a view shares is copied first.
func (s *state) own(pool string) map[string]basilmodel.Host {
	s.changes[pool]++
	if s.owned[pool] {
		return s.pools[pool]
	}
	p := maps.Clone(s.pools[pool])
	if p == nil {
		p = make(map[string]basilmodel.Host)
	}
	s.pools[pool] = p
	s.owned[pool] = true
	return p
}

// removeHost strikes off a host that was removed at that epoch.
func (s *state) removeHost(h basilmodel.Host) {
	known, ok := s.pools[h.Pool()][h.ID()]
	if !ok || known.Epoch() > h.Epoch() {
		return
	}
	delete(s.own(h.Pool()), h.ID())
}

func (e headEvent) apply(s *state, _ time.Time) {
	if !s.gap && e.at.After(s.storeSeen) {
		s.storeSeen = e.at
	}
}

func (e membersEvent) apply(s *state, _ time.Time) {
	s.members = e.members
	heard := make(map[string]silence, len(e.members))
	for _, m := range e.members {
		key := m.Incarnation().String()
		last := s.silence[key]
		if last.beat == m.Beat() {
			last.reads++
		} else {
			last = silence{beat: m.Beat()}
		}
		heard[key] = last
	}
	s.silence = heard
}

func (e beatEvent) apply(s *state, _ time.Time) {
	switch {
	case e.err == nil:
		s.registered = true
		if !e.began.Before(s.woken) {
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
	s.leavings++
	for name, p := range s.pools {
		if _, ok := p[e.host]; ok {
			s.changes[name]++
		}
	}
}

func (e listEvent) apply(s *state, now time.Time) {
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
	s.sponsorSeen = e.at
}

func (e sponsoredEvent) apply(s *state, _ time.Time) {
	s.sponsored[e.incarnation] = sponsored{applied: e.applied, seen: e.at}
}

func (tickEvent) apply(s *state, now time.Time) {
	if !s.ticked.IsZero() && now.Sub(s.ticked) > freezeLimit {
		s.confirmed = false
		s.sponsor = ""
		s.woken = now
		s.asked = true
	}
	s.ticked = now
	for key, m := range s.sponsored {
		if now.Sub(m.seen) > sponsoredLimit {
			delete(s.sponsored, key)
		}
	}
}

// applied returns the sequence in force here and at every entry host that this one sponsors.
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
	case s.sponsor != "" && now.Sub(s.sponsorSeen) <= sponsorLimit:
		return StandingSponsored
	}
	return StandingUnconfirmed
}

func (s *state) view(now time.Time) *View {
	clear(s.owned)
	return &View{
		sequence:      s.sequence,
		configuration: s.configuration,
		pools:         maps.Clone(s.pools),
		changes:       maps.Clone(s.changes),
		leaving:       s.leaving,
		members:       s.members,
		silence:       s.silence,
		storeSeen:     s.storeSeen,
		standing:      s.standing(now),
		sponsor:       s.sponsor,
	}
}

// mark tells views apart that traffic has to act on differently.
type mark struct {
	sequence int64
	revision int64
	leavings int
	standing Standing
	fresh    bool
}

func (s *state) mark(v *View, now time.Time) mark {
	return mark{
		sequence: s.sequence,
		revision: s.configuration.Revision(),
		leavings: s.leavings,
		standing: v.standing,
		fresh:    v.Fresh(now),
	}
}
