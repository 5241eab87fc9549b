package basilshard

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testLease = 2200 * time.Millisecond
	testRenew = 550 * time.Millisecond
)

var testShards = []string{"calf", "counter", "fleet", "instep", "riding", "toe"}

// hostsOf returns the given number of members of the same weight in each of three data centres.
func hostsOf(each int, weight float64) []Member {
	var list []Member
	for _, zone := range []string{"fukuoka", "kagoshima", "kumamoto"} {
		for n := range each {
			name := fmt.Sprintf("%s-%v-%d", zone, weight, n)
			list = append(list, Member{Node: name, Incarnation: name + ".1", Zone: zone, Weight: weight})
		}
	}
	return list
}

// observe applies reads in which all members have renewed, one per renewal interval.
func observe(s *State, members []Member, from, to time.Duration) {
	for at := from; at <= to; at += testRenew {
		var rows []Observed
		for _, m := range members {
			rows = append(rows, Observed{Member: m, Version: int64(at) + 1})
		}
		s.Observe(rows, at, at)
	}
}

// owners applies the claims of all members and returns the owner of each shard.
func owners(members []Member, shards []string, owned map[string]OwnerRow) map[string]Member {
	claimed := make(map[string]Member)
	for _, m := range members {
		s := NewState(m, testLease, testRenew)
		for shard, row := range owned {
			s.SetOwner(shard, row)
		}
		observe(s, members, 0, testRenew)
		for _, c := range s.Claims(shards, testRenew) {
			claimed[c.Shard] = m
		}
	}
	return claimed
}

// TestShardsGoToHighWeightHostsFirst checks that hosts of low weight get no shards while those of high weight have few, and
// that the shards are spread evenly over the data centres.
func TestShardsGoToHighWeightHostsFirst(t *testing.T) {
	zones := make(map[string]int)
	found := owners(append(hostsOf(8, 0.192), hostsOf(2, 0.8)...), testShards, nil)
	must.MapLen(t, len(testShards), found)
	for shard, m := range found {
		must.Eq(t, 0.8, m.Weight, must.Sprint(shard, m))
		zones[m.Zone]++
	}
	must.Eq(t, map[string]int{"fukuoka": 2, "kagoshima": 2, "kumamoto": 2}, zones)
}

// TestRestartedHostKeepsItsShard checks that a restarted host gets its shard back, unless its weight is much lower than that
// of a free host.
func TestRestartedHostKeepsItsShard(t *testing.T) {
	for _, x := range []struct {
		weight float64
		keeps  bool
	}{{0.4, true}, {0.192, false}} {
		members := append(hostsOf(1, x.weight), hostsOf(1, 0.5)...)
		owned := map[string]OwnerRow{"toe": {Node: members[0].Node, Incarnation: "before", Epoch: 1, Version: 1}}
		must.Eq(t, x.keeps, owners(members, []string{"toe"}, owned)["toe"].Node == members[0].Node, must.Sprint(x.weight))
	}
}

// TestHandOversTerminate checks that shards are handed over one at a time from hosts of low weight to those of high weight, and
// that no more hand-overs follow.
func TestHandOversTerminate(t *testing.T) {
	members := append(hostsOf(2, 0.192), hostsOf(1, 0.8)...)
	owned := make(map[string]OwnerRow)
	for n, shard := range testShards {
		m := members[n]
		owned[shard] = OwnerRow{Node: m.Node, Incarnation: m.Incarnation, Epoch: 1, Version: int64(n + 1)}
	}
	states := make(map[string]*State)
	for _, m := range members {
		states[m.Node] = NewState(m, testLease, testRenew)
	}
	version, last := int64(100), time.Duration(0)
	for now := testRenew; now < 2*time.Minute; now += testRenew {
		for _, m := range members {
			s := states[m.Node]
			observe(s, members, now, now)
			for shard, row := range owned {
				s.SetOwner(shard, row)
			}
			shard, ok := s.NextHandOver(testShards, now)
			if !ok {
				continue
			}
			must.Eq(t, 0.192, m.Weight)
			must.GreaterEq(t, stableTime, now-last)
			last = now
			to := s.Successor(shard, testShards, now)
			version++
			owned[shard] = OwnerRow{Node: to, Incarnation: to + ".1", Epoch: 2, Version: version}
		}
	}
	must.Eq(t, 106, version)
	must.Less(t, time.Minute, last)
	for shard, row := range owned {
		must.StrContains(t, row.Node, "-0.8-", must.Sprint(shard))
	}
}

// TestIdleMembersAreReadRarely checks that only few members read the others in every round once each shard has an owner.
func TestIdleMembersAreReadRarely(t *testing.T) {
	members := append(hostsOf(8, 0.192), hostsOf(2, 0.8)...)
	found := owners(members, testShards, nil)
	first, closely, owning := 0, 0, make(map[string]bool)
	for _, m := range members {
		s := NewState(m, testLease, testRenew)
		observe(s, members, 0, testRenew)
		if s.Involved(testShards, testRenew) {
			first++
		}
		s.Claims(testShards, testRenew)
		must.True(t, s.Involved(testShards, testRenew*(1+activeCandidates)), must.Sprint("the best-ranked candidates have not claimed in time"))
		for shard, o := range found {
			s.SetOwner(shard, OwnerRow{Node: o.Node, Incarnation: o.Incarnation, Epoch: 1, Version: 1})
			owning[o.Node] = true
		}
		if s.Involved(testShards, testRenew) {
			closely++
		}
		if owning[m.Node] {
			must.True(t, s.Involved(testShards, testRenew))
		}
		s.MarkReadFailed()
		must.True(t, s.Involved(testShards, testRenew))
	}
	must.LessEq(t, len(owning)+activeCandidates, closely)
	must.LessEq(t, (len(testShards)+1)*activeCandidates, first)
}

// TestIdleReadRateIsBounded checks that the rows that an idle member reads per second hardly grow with the number of
// members. Otherwise the reads of all members would grow with its square and overload the store.
func TestIdleReadRateIsBounded(t *testing.T) {
	rows := func(each int) float64 {
		members := hostsOf(each, 0.8)
		s := NewState(members[0], testLease, testRenew)
		observe(s, members, 0, 0)
		return float64(len(members)) / (float64(s.idleRounds()) * testRenew.Seconds())
	}
	must.Eq(t, rows(10), rows(20), must.Sprint("30 and 60 members"))
	must.Less(t, 4*rows(10), rows(100), must.Sprint("30 and 300 members: limited by maxIdleRounds"))
}

// TestRestartedOwnerIsNotOrphaned checks that an owner row with an unknown incarnation isn't taken for orphaned
// before the members have been read anew. Hosts that read the members rarely may learn of a restart from the owner row first.
func TestRestartedOwnerIsNotOrphaned(t *testing.T) {
	self, other := Member{Node: "a", Incarnation: "a.1", Weight: 2}, Member{Node: "b", Incarnation: "b.1"}
	s := NewState(self, testLease, testRenew)
	read := func(version int64, requestedAt time.Duration) {
		s.Observe([]Observed{{Member: self, Version: version}, {Member: other, Version: version}}, requestedAt, requestedAt)
	}
	read(10, 0)
	s.SetOwner("stretch", OwnerRow{Node: "b", Incarnation: "b.2", Epoch: 3, Version: 12})
	must.SliceEmpty(t, s.Claims([]string{"stretch"}, time.Second))
	other.Incarnation = "b.3"
	read(14, 2*time.Second)
	s.Claims([]string{"stretch"}, 2*time.Second)
	must.Len(t, 1, s.Claims([]string{"stretch"}, 4*time.Second))
}

// TestHostThatDoesNotSeeItselfIsInvolved checks that a host reads the members in every round until it has seen its own lease, and
// again once that lease seems to have expired.
func TestHostThatDoesNotSeeItselfIsInvolved(t *testing.T) {
	self := Member{Node: "a", Incarnation: "a.2", Weight: 0.1}
	others := hostsOf(3, 0.8)
	owner := others[0]
	s := NewState(self, testLease, testRenew)
	s.SetOwner("toe", OwnerRow{Node: owner.Node, Incarnation: owner.Incarnation, Epoch: 1, Version: 1})
	involved := func() bool { return s.Involved([]string{"toe"}, testRenew) }
	observe(s, others, 0, 0)
	must.True(t, involved(), must.Sprint("no own row"))
	observe(s, append(others, Member{Node: "a", Incarnation: "a.1", Weight: 0.1}), testRenew, testRenew)
	must.True(t, involved(), must.Sprint("row of an earlier incarnation"))
	observe(s, append(others, self), 2*testRenew, 2*testRenew)
	must.False(t, involved(), must.Sprint("own row"))
	observe(s, append(others, Member{Node: "a", Incarnation: "a.2", Weight: 0.1, Stopping: true}), 3*testRenew, 3*testRenew)
	must.False(t, involved(), must.Sprint("stopping"))
	lapsed := []Observed{{Member: self, Version: 1}, {Member: owner, Version: 9}}
	s.Observe(lapsed, 4*testRenew, 4*testRenew)
	lapsed[1].Version++
	s.Observe(lapsed, 4*testRenew+testLease, 4*testRenew+testLease)
	must.True(t, involved(), must.Sprint("paused for as long as a lease"))
}
