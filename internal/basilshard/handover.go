package basilshard

import (
	"math"
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

// Successor returns the node that should claim a shard that this entry host is about to release, or none. Members that have
// just started don't claim yet. released has the successors of shards whose release this entry host doesn't see yet.
func (s *State) Successor(shard string, shards []string, released map[string]string, now time.Duration) string {
	loads := s.loads(shards)
	for other, node := range released {
		if other != shard && s.owners[other].Node == s.self.Node {
			loads[node]++
		}
	}
	live := slices.DeleteFunc(s.Live(), func(m Member) bool {
		return m.Node == s.self.Node || now-s.members[m.Node].liveSince < settleRounds*s.claimDelay
	})
	if ranked := candidates(shard, "", live, loads); len(ranked) > 0 {
		return ranked[0].Node
	}
	return ""
}

// NextHandOver returns a shard of this entry host that a clearly better member should take over.
//
// The owner with the highest load for its weight hands over first, one shard at a time, and only after the owners and the
// better member have been unchanged for stableTime.
func (s *State) NextHandOver(shards []string, now time.Duration) (string, bool) {
	newest := int64(0)
	vacant := len(shards) == 0
	for _, shard := range shards {
		newest = max(newest, s.owners[shard].Version)
		vacant = vacant || s.isOrphaned(s.owners[shard])
	}
	if vacant || newest != s.newestVersion {
		s.newestVersion, s.stableSince = newest, now
	}
	if now-s.stableSince < stableTime || s.busiest(shards) != s.self.Node || !s.hasBetterMember(shards, weight(s.self), clearlyBetterFactor, now-stableTime) {
		return "", false
	}
	s.stableSince = now // leaves time for this takeover before the next
	n := slices.IndexFunc(shards, func(shard string) bool { return s.owners[shard].Node == s.self.Node })
	return shards[n], true
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

// HasBetterOwner reports whether another member would be a better owner of one of this entry host's shards. The other has to be
// clearly better, or, if this host works at less than the full rate of its weight, only better at all.
func (s *State) HasBetterOwner(shards []string, rate float64) bool {
	if rate < 1 {
		return s.hasBetterMember(shards, rate*weight(s.self), 1, math.MaxInt64)
	}
	return s.hasBetterMember(shards, weight(s.self), clearlyBetterFactor, math.MaxInt64)
}

// hasBetterMember reports whether a member that has been live since before the given time has a cost that is lower by the
// factor. ownWeight is the weight of this entry host in the comparison.
func (s *State) hasBetterMember(shards []string, ownWeight, factor float64, liveBefore time.Duration) bool {
	loads := s.loads(shards)
	cost := float64(loads[s.self.Node]) / ownWeight
	for node, m := range s.members {
		if node == s.self.Node || !s.isLive(m) || m.member.Slow || m.liveSince > liveBefore {
			continue
		}
		c := Candidate{Weight: weight(m.member), Load: loads[node]}
		if cost >= factor*c.cost() {
			return true
		}
	}
	return false
}
