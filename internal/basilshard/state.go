package basilshard

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is the content of an entry host's member row.
type Member struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Weight      float64 `json:"weight"`
	Stopping    bool    `json:"stopping,omitempty"`
	Slow        bool    `json:"slow,omitempty"`    // short of processor time: the last to claim shards
	Started     int64   `json:"started,omitempty"` // Unix milliseconds
	Lease       int64   `json:"lease,omitempty"`   // milliseconds without a renewal after which the lease has expired; 0 for the default
}

// OwnerRow is the stored owner of a shard; without an incarnation, the shard has been released.
type OwnerRow struct {
	Node          string `json:"node,omitempty"`
	Incarnation   string `json:"incarnation,omitempty"`
	Epoch         int64  `json:"epoch"`
	Address       string `json:"address,omitempty"` // where other entry hosts reach the owner
	PreviousEnded bool   `json:"dead,omitempty"`    // the previous owner's process had ended, or had released the shard, at the takeover
	Next          string `json:"next,omitempty"`    // node that is to claim a released shard at once
	// Since is the first epoch of those up to this one whose owners have all kept the silences of backend servers in their rows, and requested leases
	// of a limited term; 0 for none.
	Since int64 `json:"since,omitempty"`
	// RunListsSince is the first epoch of those up to this one whose owners have all kept the lists of long-running tasks in these rows; 0 for none.
	RunListsSince int64 `json:"run_lists_since,omitempty"`
	Version       int64 `json:"-"`
}

// observedMember is a member row with the clock times at which it was read.
type observedMember struct {
	member    Member
	version   int64
	liveSince time.Duration // since when this incarnation has been renewing its lease without a lapse
	firstRead time.Duration // answer of the first read of this version
	lastRead  time.Duration // request of the last read of this version
}

// State is an entry host's view of the members and shard owners. It is not safe for concurrent use.
type State struct {
	self          Member
	lease         time.Duration
	claimDelay    time.Duration // extra delay per rank before a candidate claims a shard
	members       map[string]*observedMember
	owners        map[string]OwnerRow
	vacantSince   map[string]time.Duration // by shard, since when it has been without a live owner
	readFailed    bool                     // a round failed since the last successful read of the members
	newestVersion int64                    // newest version of an owner row
	stableSince   time.Duration            // since when no shard has changed its owner, been without one or been on its way
	departing     map[string]departure     // by shard of this entry host, hand-overs that are not seen in its owner row yet
}

// NewState returns the empty view of a starting entry host; lease is that of a member whose row states none, and claimDelay is the extra delay per rank before a claim.
func NewState(self Member, lease, claimDelay time.Duration) *State {
	return &State{
		self: self, lease: lease, claimDelay: claimDelay,
		members: make(map[string]*observedMember), owners: make(map[string]OwnerRow), vacantSince: make(map[string]time.Duration),
		departing: make(map[string]departure),
	}
}

// Observed is a member row as read from the store.
type Observed struct {
	Member  Member
	Version int64
}

// Observe applies a read of all member rows. When between the two times the rows were as read isn't known, so that a row counts as
// unchanged from the answer that first had its version until the newest request.
func (s *State) Observe(rows []Observed, requestedAt, answeredAt time.Duration) {
	found := make(map[string]bool, len(rows))
	for _, r := range rows {
		found[r.Member.Node] = true
		m := s.members[r.Member.Node]
		if m == nil || m.version != r.Version || s.readFailed {
			since := requestedAt
			if m != nil && m.member.Incarnation == r.Member.Incarnation && s.isLive(m) {
				since = m.liveSince
			}
			m = &observedMember{member: r.Member, version: r.Version, liveSince: since, firstRead: answeredAt}
			s.members[r.Member.Node] = m
		}
		m.lastRead = requestedAt
	}
	for node := range s.members {
		if !found[node] {
			delete(s.members, node)
		}
	}
	s.readFailed = false
}

// MarkReadFailed records that a renewal or a read of the members failed. Rows that did not change in the meantime count as
// renewed at the next read, because the owners' renewals may have failed for the same reason.
func (s *State) MarkReadFailed() { s.readFailed = true }

// SetOwner applies the owner row of a shard. A hand-over that was decided in an earlier state of the row has ended.
func (s *State) SetOwner(shard string, row OwnerRow) {
	if row.Version != s.owners[shard].Version {
		delete(s.departing, shard)
	}
	s.owners[shard] = row
}

// Owner returns the owner row of a shard.
func (s *State) Owner(shard string) OwnerRow { return s.owners[shard] }

// isOrphaned reports whether the owner in the row has certainly stopped starting work.
func (s *State) isOrphaned(row OwnerRow) bool {
	if row.Incarnation == "" {
		return true
	}
	m := s.members[row.Node]
	if m == nil || m.restartedSince(row) {
		return true
	}
	return m.lastRead-m.firstRead >= s.leaseOf(m)
}

// ownerEnded reports whether the owner in the row has released the shard or its process has ended.
func (s *State) ownerEnded(row OwnerRow) bool {
	m := s.members[row.Node]
	return row.Incarnation == "" || m != nil && m.restartedSince(row)
}

// restartedSince reports whether the owner's host runs a newer incarnation than the one in the row. A member row that is
// older than the owner row may be that of an earlier incarnation.
func (m *observedMember) restartedSince(row OwnerRow) bool {
	return m.member.Incarnation != row.Incarnation && m.version > row.Version
}

// newClaim returns the claim of a shard without a live owner.
func (s *State) newClaim(shard string, candidates []Candidate, rank int) Claim {
	row := s.owners[shard]
	c := Claim{Shard: shard, Candidates: candidates, Rank: rank, previous: row, previousEnded: s.ownerEnded(row)}
	if m := s.members[row.Node]; m != nil {
		c.memberVersion = m.version
	}
	return c
}

// isLive reports whether a member renews its lease and may claim shards.
func (s *State) isLive(m *observedMember) bool {
	return !m.member.Stopping && m.lastRead-m.firstRead < s.leaseOf(m)*2/3
}

// leaseOf returns the lease that the member's row states.
func (s *State) leaseOf(m *observedMember) time.Duration {
	if m.member.Lease <= 0 {
		return s.lease
	}
	return time.Duration(m.member.Lease) * time.Millisecond
}

// Live returns the live members, sorted by node.
func (s *State) Live() []Member {
	var list []Member
	for _, m := range s.members {
		if s.isLive(m) {
			list = append(list, m.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Claim is a shard that this entry host should claim, with what led to it. It is valid only while the owner row is the one
// that was found to be without a live owner: since then, another member may have claimed the shard.
type Claim struct {
	Shard         string
	Candidates    []Candidate // members that may claim the shard, best first
	Rank          int         // index of this entry host among them
	previous      OwnerRow    // owner row without a live owner
	previousEnded bool        // see ownerEnded
	memberVersion int64       // last seen version of the previous owner's member row, 0 for no row
}

// Candidate is a member that may claim a shard, with its load before the claim.
type Candidate struct {
	Node           string  `json:"node"`
	Weight         float64 `json:"weight"`
	Load           int     `json:"load"`
	Slow           bool    `json:"slow,omitempty"`
	RestartPending bool    `json:"old,omitempty"` // not restarted yet during a rolling restart
	zone           string
}

// cost returns the member's load by weight with one more shard. The cost of a member that is likely to be restarted soon is
// higher, because its shards would have to be taken over again, which takes seconds without starts.
func (c Candidate) cost() float64 {
	cost := float64(c.Load+1) / c.Weight
	if c.RestartPending {
		cost *= clearlyBetterFactor
	}
	return cost
}

// Claims returns the shards that this entry host should claim now.
func (s *State) Claims(shards []string, now time.Duration) []Claim {
	var claims []Claim
	loads := s.loads(shards)
	live := s.Live()
	for _, shard := range shards {
		if !s.isOrphaned(s.owners[shard]) {
			delete(s.vacantSince, shard)
			continue
		}
		since, ok := s.vacantSince[shard]
		if !ok {
			since = now
			s.vacantSince[shard] = now
		}
		ranked := candidates(shard, s.owners[shard].Node, live, loads)
		moveToFront(ranked, s.owners[shard].Next)
		if len(ranked) > 0 && s.loaded(shard) == "" {
			loads[ranked[0].Node]++
		}
		rank := slices.IndexFunc(ranked, func(c Candidate) bool { return c.Node == s.self.Node })
		if rank >= 0 && now-since >= time.Duration(rank)*s.claimDelay {
			claims = append(claims, s.newClaim(shard, ranked, rank))
		}
	}
	return claims
}

// loads returns the number of shards by the node that they count for.
func (s *State) loads(shards []string) map[string]int {
	loads := make(map[string]int)
	for _, shard := range shards {
		if node := s.loaded(shard); node != "" {
			loads[node]++
		}
	}
	return loads
}

// loaded returns the node that the shard counts for: the live member that it is on its way to, or else its owner. It returns none for an
// orphaned shard.
func (s *State) loaded(shard string) string {
	row := s.owners[shard]
	next := row.Next
	if d, ok := s.departing[shard]; ok {
		next = d.next
	}
	if m := s.members[next]; m != nil && s.isLive(m) {
		return next
	}
	if s.isOrphaned(row) {
		return ""
	}
	return row.Node
}

// clearlyBetterFactor is the factor between the costs of two members at which one is clearly better than the other.
const clearlyBetterFactor = 2

// candidates ranks the members for a shard: by least load for their weight, then by fewest shards in their data centre,
// then by rendezvous hashing. Slow members come last. The shard's last owner, if it is live again and not slow, comes
// first unless another one is clearly better.
func candidates(shard, lastOwner string, live []Member, loads map[string]int) []Candidate {
	ranked := make([]Candidate, 0, len(live))
	zones := make(map[string]int)
	rollingStart := rollingRestartStart(live)
	for _, m := range live {
		ranked = append(ranked, Candidate{
			Node: m.Node, Weight: weight(m), Load: loads[m.Node], Slow: m.Slow, RestartPending: m.Started < rollingStart, zone: m.Zone,
		})
		zones[m.Zone] += loads[m.Node]
	}
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(compareBool(a.Slow, b.Slow), cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(zones[a.zone], zones[b.zone]),
			cmp.Compare(hash(shard, b.Node), hash(shard, a.Node)))
	})
	if n := slices.IndexFunc(ranked, func(c Candidate) bool { return c.Node == lastOwner && !c.Slow }); n > 0 && ranked[n].cost() < clearlyBetterFactor*ranked[0].cost() {
		c := ranked[n]
		ranked = slices.Insert(slices.Delete(ranked, n, n+1), 0, c)
	}
	return ranked
}

// rollingRestartTime is how long after a start other members are expected to be restarted too; each stop and start takes
// some seconds.
const rollingRestartTime = 15 * time.Second

// rollingRestartStart returns the earliest start, in Unix milliseconds, that belongs to the same rolling restart as the
// newest one.
//
// Members that all started together are equal. Long after a rolling restart, the members that were restarted last are
// still preferred, which does no harm.
func rollingRestartStart(live []Member) int64 {
	var newest int64
	for _, m := range live {
		newest = max(newest, m.Started)
	}
	return newest - rollingRestartTime.Milliseconds()
}

// activeCandidates is the number of best-ranked candidates for a shard that read the members in every round; the others
// take over later.
const activeCandidates = 4

// Involved reports whether this entry host has to read the members in every round, because it owns a shard or may soon claim
// one.
//
// For a shard without an owner, that applies to the best-ranked candidates, and to the others only after the delays of those
// have passed. If it applied to all at once, the rows read from the store would grow with the square of the members. A host
// that has not seen its own renewal doesn't know its rank, while the others may already wait for its claim.
func (s *State) Involved(shards []string, now time.Duration) bool {
	loads := s.loads(shards)
	if s.readFailed || len(shards) == 0 || loads[s.self.Node] > 0 || len(s.departing) > 0 || !s.seesItself() {
		return true
	}
	live := s.Live()
	for _, shard := range shards {
		if !s.isOrphaned(s.owners[shard]) {
			continue
		}
		since, isVacant := s.vacantSince[shard]
		if isVacant && now-since >= activeCandidates*s.claimDelay || s.isActiveCandidate(candidates(shard, s.owners[shard].Node, live, loads)) {
			return true
		}
	}
	return s.isActiveCandidate(candidates("", "", live, loads))
}

// seesItself reports whether this entry host's own row was live or stopping when the members were last read. The first read
// may come before the first renewal, since both are sent at once.
func (s *State) seesItself() bool {
	m := s.members[s.self.Node]
	return m != nil && m.member.Incarnation == s.self.Incarnation && (m.member.Stopping || s.isLive(m))
}

// isActiveCandidate reports whether this entry host is among the activeCandidates best-ranked ones.
func (s *State) isActiveCandidate(ranked []Candidate) bool {
	return slices.ContainsFunc(ranked[:min(len(ranked), activeCandidates)], func(c Candidate) bool { return c.Node == s.self.Node })
}

// idleRounds returns the number of rounds between reads of the members by a host that is not involved. It grows with the
// number of members, so that the rows that each host reads per second hardly do.
func (s *State) idleRounds() int {
	return min(max(minIdleRounds, minIdleRounds*len(s.members)/idleRoundsMembers), maxIdleRounds)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func weight(m Member) float64 {
	if m.Weight <= 0 {
		return 1
	}
	return m.Weight
}

func hash(shard, node string) uint64 { return xxhash.Sum64String(shard + "\x00" + node) }
