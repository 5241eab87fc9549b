package basilshard

import (
	"slices"
	"time"
)

// settleRounds is the number of rounds after its start in which a member may not be ready to claim shards.
const settleRounds = 2

// stableTime is how long the owners and a better member must be unchanged before a shard is handed over: long enough for
// several renewals and for the takeover of the previous shard.
const stableTime = 5 * time.Second

// moveToFront moves the node's candidate before all others, if there is one.
func moveToFront(ranked []Candidate, node string) {
	if n := slices.IndexFunc(ranked, func(c Candidate) bool { return c.Node == node }); n > 0 {
		c := ranked[n]
		copy(ranked[1:n+1], ranked[:n])
		ranked[0] = c
	}
}

// departure is a shard of this entry host whose work is being handed over.
type departure struct {
	next      string  // member that is to take the shard
	costLimit float64 // highest cost at which a member is better than this entry host; 0 for any
}

// DecideHandOver reports whether another member would be a better owner of this entry host's shard, whose owner does not keep up. The other
// has to be clearly better, or, if this host works at less than the full rate of its weight, only better at all.
//
// If so, the shard counts as the other's load from now on, so that the owner of another shard, which may be overloaded for the same
// reason, keeps it. Otherwise both would go to that member, for which this host would be the better one then.
func (s *State) DecideHandOver(shard string, shards []string, rate float64, now time.Duration) bool {
	if rate < 1 {
		return s.depart(shard, shards, rate*weight(s.self), 1, now-s.settleTime())
	}
	return s.depart(shard, shards, weight(s.self), clearlyBetterFactor, now-s.settleTime())
}

// depart reports whether a member that has been live since before the given time has a cost that is lower by the factor, and if so counts
// the shard as its load. ownWeight is the weight of this entry host in the comparison. A shard that is already on its way stays with its
// decision.
func (s *State) depart(shard string, shards []string, ownWeight, factor float64, liveBefore time.Duration) bool {
	if !s.isOwn(s.owners[shard]) || s.isDeparting(shard) {
		return false
	}
	loads := s.loads(shards)
	limit := float64(loads[s.self.Node]) / ownWeight / factor
	next := betterCandidate(candidates(shard, "", s.others(liveBefore), loads), limit)
	if next == "" {
		return false
	}
	s.departing[shard] = departure{next: next, costLimit: limit}
	return true
}

// betterCandidate returns the node of the first candidate whose cost is within the limit and which is not slow, or none.
func betterCandidate(ranked []Candidate, limit float64) string {
	for _, c := range ranked {
		c.RestartPending = false // it decides between others, and is no reason to keep a shard
		if !c.Slow && c.cost() <= limit {
			return c.Node
		}
	}
	return ""
}

// Successor returns the node that should claim a shard that this entry host is about to release, or none, and counts the shard as its load
// from now on. Members that have just started don't claim yet. After DecideHandOver or NextHandOver it is a better member than this one; if
// there is none any more, none is named, and the last owner takes the shard again.
func (s *State) Successor(shard string, shards []string, now time.Duration) string {
	limit := s.departing[shard].costLimit
	delete(s.departing, shard)
	ranked := candidates(shard, "", s.others(now-s.settleTime()), s.loads(shards))
	next := ""
	if limit > 0 {
		next = betterCandidate(ranked, limit)
	} else if len(ranked) > 0 {
		next = ranked[0].Node
	}
	if s.isOwn(s.owners[shard]) {
		s.departing[shard] = departure{next: next, costLimit: limit}
	}
	return next
}

// EndHandOver drops what was decided about handing over the shard.
func (s *State) EndHandOver(shard string) { delete(s.departing, shard) }

// settleTime is the time after its start within which a member may not be ready to claim shards.
func (s *State) settleTime() time.Duration { return settleRounds * s.claimDelay }

// others returns the other live members that have been live since the given time or before.
func (s *State) others(liveBefore time.Duration) []Member {
	return slices.DeleteFunc(s.Live(), func(m Member) bool {
		return m.Node == s.self.Node || s.members[m.Node].liveSince > liveBefore
	})
}

// isOwn reports whether this process is the owner in the row.
func (s *State) isOwn(row OwnerRow) bool {
	return row.Node == s.self.Node && row.Incarnation == s.self.Incarnation
}

func (s *State) isDeparting(shard string) bool {
	_, ok := s.departing[shard]
	return ok
}

// NextHandOver returns a shard of this entry host that a clearly better member should take over, and counts it as that member's load.
//
// The owner with the highest load for its weight hands over first, one shard at a time, and only after the owners and the
// better member have been unchanged for stableTime.
func (s *State) NextHandOver(shards []string, now time.Duration) (string, bool) {
	newest := int64(0)
	changing := len(shards) == 0
	for _, shard := range shards {
		newest = max(newest, s.owners[shard].Version)
		changing = changing || s.isOrphaned(s.owners[shard]) || s.isDeparting(shard)
	}
	if changing || newest != s.newestVersion {
		s.newestVersion, s.stableSince = newest, now
	}
	if now-s.stableSince < stableTime || s.busiest(shards) != s.self.Node {
		return "", false
	}
	for _, shard := range shards {
		if s.isOwn(s.owners[shard]) && s.depart(shard, shards, weight(s.self), clearlyBetterFactor, now-stableTime) {
			s.stableSince = now // leaves time for this takeover before the next
			return shard, true
		}
	}
	return "", false
}

// busiest returns the owner with the most shards for its weight.
func (s *State) busiest(shards []string) string {
	node, most := "", 0.0
	for n, load := range s.loads(shards) {
		if c := float64(load) / weight(s.members[n].member); c > most || c == most && n < node {
			node, most = n, c
		}
	}
	return node
}
