package basilshard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is what an entry host tells of itself.
type Member struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"incarnation"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Weight      float64 `json:"weight"`
	Stopping    bool    `json:"stopping,omitempty"`
	Slow        bool    `json:"slow,omitempty"`    // short of processor time: takes shards only when nobody else does
	Started     int64   `json:"started,omitempty"` // Unix milliseconds
}

// OwnerRow is the stored owner of a shard; no incarnation means that it was released.
type OwnerRow struct {
	Node        string `json:"node,omitempty"`
	Incarnation string `json:"incarnation,omitempty"`
	Epoch       int64  `json:"epoch"`
	Address     string `json:"address,omitempty"` // where other entry hosts reach the owner
	Dead        bool   `json:"dead,omitempty"`    // the owner before had ended when this one took over
	Version     int64  `json:"-"`
}

// seen is a member's row as it was observed.
type seen struct {
	member  Member
	version int64
	since   time.Duration // when this incarnation was first read, or renewed again after it stood still
	first   time.Duration // when this version was first read
	last    time.Duration // when it was last read
}

// State is what an entry host knows of members and owners. One goroutine uses it.
type State struct {
	self    Member
	lease   time.Duration
	rank    time.Duration // that each lower rank waits longer before it claims
	members map[string]*seen
	owners  map[string]OwnerRow
	vacant  map[string]time.Duration // since when shards were seen without a live owner
	gap     bool                     // a read failed since the last good one
	newest  int64                    // version of an owner row
	settled time.Duration            // since when each shard has had its live owner
}

// NewState returns what a starting entry host knows: nothing.
func NewState(self Member, lease, rank time.Duration) *State {
	return &State{
		self: self, lease: lease, rank: rank,
		members: make(map[string]*seen), owners: make(map[string]OwnerRow), vacant: make(map[string]time.Duration),
	}
}

// Observed is a member's row as read.
type Observed struct {
	Member  Member
	Version int64
}

// Observe takes in a read of all members that was asked for at the time.
func (s *State) Observe(rows []Observed, asked time.Duration) {
	found := make(map[string]bool, len(rows))
	for _, r := range rows {
		found[r.Member.Node] = true
		m := s.members[r.Member.Node]
		if m == nil || m.version != r.Version || s.gap {
			since := asked
			if m != nil && m.member.Incarnation == r.Member.Incarnation && s.live(m) {
				since = m.since
			}
			m = &seen{member: r.Member, version: r.Version, since: since, first: asked}
			s.members[r.Member.Node] = m
		}
		m.last = asked
	}
	for node := range s.members {
		if !found[node] {
			delete(s.members, node)
		}
	}
	s.gap = false
}

// Missed notes that members could not be read: what stood still meanwhile may have done so for that reason.
func (s *State) Missed() { s.gap = true }

// SetOwner takes in the row of a shard.
func (s *State) SetOwner(shard string, row OwnerRow) { s.owners[shard] = row }

// Owner returns the stored owner of a shard.
func (s *State) Owner(shard string) OwnerRow { return s.owners[shard] }

// dead tells whether the holder of the row certainly started no work any more.
func (s *State) dead(row OwnerRow) bool {
	if row.Incarnation == "" {
		return true
	}
	m := s.members[row.Node]
	if m == nil || m.succeeds(row) {
		return true
	}
	return m.last-m.first >= s.lease
}

// ended tells whether the holder of the row has released it, or its process has ended.
func (s *State) ended(row OwnerRow) bool {
	m := s.members[row.Node]
	return row.Incarnation == "" || m != nil && m.succeeds(row)
}

// succeeds tells whether the holder of the row has started again since. A read of the members that is older than the
// row may tell of the incarnation before it.
func (m *seen) succeeds(row OwnerRow) bool {
	return m.member.Incarnation != row.Incarnation && m.version > row.Version
}

// standing returns the version that the row of the holder's member was seen to stand still at, 0 for no row.
//
// It returns false when nothing rests on that: the holder has released the shard, or its process has ended.
func (s *State) standing(row OwnerRow) (version int64, ok bool) {
	if s.ended(row) {
		return 0, false
	}
	if m := s.members[row.Node]; m != nil {
		version = m.version
	}
	return version, true
}

// live tells whether a member renews and takes shards.
func (s *State) live(m *seen) bool {
	return !m.member.Stopping && m.last-m.first < s.lease*2/3
}

// Live returns the members that renew, in the order of their nodes.
func (s *State) Live() []Member {
	var list []Member
	for _, m := range s.members {
		if s.live(m) {
			list = append(list, m.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}

// Claim is a shard that an entry host is to claim, with what decided it.
type Claim struct {
	Shard string
	Order []Candidate // of members that may claim it, best first
	Rank  int         // of this entry host in the order
}

// Candidate is a member that may own a shard, with its load before.
type Candidate struct {
	Node   string  `json:"node"`
	Weight float64 `json:"weight"`
	Load   int     `json:"load"`
	Slow   bool    `json:"slow,omitempty"`
	Old    bool    `json:"old,omitempty"` // not restarted yet while members are restarted in turn
	zone   string
}

// cost is what a shard more makes of the member's load, by its weight. One that is likely to be restarted next is dearer:
// a takeover costs seconds without starts.
func (c Candidate) cost() float64 {
	cost := float64(c.Load+1) / c.Weight
	if c.Old {
		cost *= clearly
	}
	return cost
}

// Claims returns the shards that this entry host is to claim now.
func (s *State) Claims(shards []string, now time.Duration) []Claim {
	var claims []Claim
	loads := s.loads(shards)
	live := s.Live()
	for _, shard := range shards {
		if !s.dead(s.owners[shard]) {
			delete(s.vacant, shard)
			continue
		}
		since, ok := s.vacant[shard]
		if !ok {
			since = now
			s.vacant[shard] = now
		}
		order := candidates(shard, s.owners[shard].Node, live, loads)
		if len(order) > 0 {
			loads[order[0].Node]++
		}
		rank := slices.IndexFunc(order, func(c Candidate) bool { return c.Node == s.self.Node })
		if rank >= 0 && now-since >= time.Duration(rank)*s.rank {
			claims = append(claims, Claim{Shard: shard, Order: order, Rank: rank})
		}
	}
	return claims
}

// loads returns how many of the shards each live owner has.
func (s *State) loads(shards []string) map[string]int {
	loads := make(map[string]int)
	for _, shard := range shards {
		if row := s.owners[shard]; !s.dead(row) {
			loads[row.Node]++
		}
	}
	return loads
}

// steadyTime is how long owners and a better member are steady before a shard is handed over: some renewals, and the
// takeover of the shard before.
const steadyTime = 5 * time.Second

// clearly is how many times the cost of one member is that of another that is clearly better.
const clearly = 2

// candidates orders members for a shard: slow ones last, then its last owner if that started again and no
// other is clearly better, then those with the least load for their weight, then those in data centres with few
// shards, then by rendezvous hashing.
func candidates(shard, last string, live []Member, loads map[string]int) []Candidate {
	order := make([]Candidate, 0, len(live))
	zones := make(map[string]int)
	since := rollingSince(live)
	for _, m := range live {
		order = append(order, Candidate{
			Node: m.Node, Weight: weight(m), Load: loads[m.Node], Slow: m.Slow, Old: m.Started < since, zone: m.Zone,
		})
		zones[m.Zone] += loads[m.Node]
	}
	slices.SortFunc(order, func(a, b Candidate) int {
		return cmp.Or(compareBool(a.Slow, b.Slow), cmp.Compare(a.cost(), b.cost()),
			cmp.Compare(zones[a.zone], zones[b.zone]),
			cmp.Compare(hash(shard, b.Node), hash(shard, a.Node)))
	})
	if n := slices.IndexFunc(order, func(c Candidate) bool { return c.Node == last && !c.Slow }); n > 0 && order[n].cost() < clearly*order[0].cost() {
		c := order[n]
		order = slices.Insert(slices.Delete(order, n, n+1), 0, c)
	}
	return order
}

// rollingTime is how long after a start others are expected to be restarted too: some seconds for each stop and start.
const rollingTime = 15 * time.Second

// rollingSince returns when the restart of members in turn began that the newest start is a part of (Unix milliseconds).
//
// Members that all started together are all as new. Long after a restart the members that it came to last are still
// preferred, which costs nothing.
func rollingSince(live []Member) int64 {
	var newest int64
	for _, m := range live {
		newest = max(newest, m.Started)
	}
	return newest - rollingTime.Milliseconds()
}

// HandOver returns a shard of this entry host that a clearly better one is to take over.
//
// Of all owners the one with the highest cost hands over first, one shard at a time, and only once owners and the
// better member have been steady for a while.
func (s *State) HandOver(shards []string, now time.Duration) (string, bool) {
	newest := int64(0)
	vacant := len(shards) == 0
	for _, shard := range shards {
		newest = max(newest, s.owners[shard].Version)
		vacant = vacant || s.dead(s.owners[shard])
	}
	if vacant || newest != s.newest {
		s.newest, s.settled = newest, now
	}
	if now-s.settled < steadyTime || s.busiest(shards) != s.self.Node || !s.better(shards, weight(s.self), clearly, now-steadyTime) {
		return "", false
	}
	s.settled = now // the next one not before this one has had its time
	n := slices.IndexFunc(shards, func(shard string) bool { return s.owners[shard].Node == s.self.Node })
	return shards[n], true
}

// nearby is how many of the members that would claim a shard next follow the others closely; the rest take over later.
const nearby = 4

// Involved tells whether this entry host owns a shard or is soon to claim one, for which it has to follow the members closely.
//
// A shard without an owner involves those that would claim it first, and the others once those have let their time pass: were
// all involved at once, what the store reads would grow with the square of the members.
func (s *State) Involved(shards []string, now time.Duration) bool {
	loads := s.loads(shards)
	if s.gap || len(shards) == 0 || loads[s.self.Node] > 0 {
		return true
	}
	live := s.Live()
	for _, shard := range shards {
		if !s.dead(s.owners[shard]) {
			continue
		}
		since, seen := s.vacant[shard]
		if seen && now-since >= nearby*s.rank || s.isNear(candidates(shard, s.owners[shard].Node, live, loads)) {
			return true
		}
	}
	return s.isNear(candidates("", "", live, loads))
}

// isNear tells whether this entry host is among the first of the candidates.
func (s *State) isNear(order []Candidate) bool {
	return slices.ContainsFunc(order[:min(len(order), nearby)], func(c Candidate) bool { return c.Node == s.self.Node })
}

// rounds returns how many rounds pass between reads of all members by one that is not involved: the more members there are,
// the fewer, so that what each reads hardly grows with them.
func (s *State) rounds() int {
	return min(max(idleRounds, idleRounds*len(s.members)/idleMembers), idleMost)
}

// busiest returns the owner that has the most shards for its weight.
func (s *State) busiest(shards []string) string {
	node, most := "", 0.0
	for n, load := range s.loads(shards) {
		if c := float64(load) / weight(s.members[n].member); c > most || c == most && n < node {
			node, most = n, c
		}
	}
	return node
}

// Better tells whether another member would do better with a shard of this entry host, which works at the rate of its
// weight: clearly, or at all where it works at less.
func (s *State) Better(shards []string, rate float64) bool {
	if rate < 1 {
		return s.better(shards, rate*weight(s.self), 1, math.MaxInt64)
	}
	return s.better(shards, weight(s.self), clearly, math.MaxInt64)
}

// better tells whether the cost of a member that has renewed since before the time is lower by the factor.
func (s *State) better(shards []string, own, factor float64, before time.Duration) bool {
	loads := s.loads(shards)
	cost := float64(loads[s.self.Node]) / own
	for node, m := range s.members {
		if node == s.self.Node || !s.live(m) || m.member.Slow || m.since > before {
			continue
		}
		c := Candidate{Weight: weight(m.member), Load: loads[node]}
		if cost >= factor*c.cost() {
			return true
		}
	}
	return false
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
