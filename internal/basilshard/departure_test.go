package basilshard

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// settled is a time at which members that were observed from the beginning may get shards.
const settled = 5 * time.Second

// membersOf returns members of equal weight with the given nodes.
func membersOf(nodes ...string) []Member {
	var list []Member
	for _, n := range nodes {
		list = append(list, Member{Node: n, Incarnation: n + ".1", Weight: 1})
	}
	return list
}

// rowOf returns the row of a shard that the node owns.
func rowOf(node string, epoch int64) OwnerRow {
	return OwnerRow{Node: node, Incarnation: node + ".1", Epoch: epoch, Version: epoch}
}

// stateOf returns the view of a member to which all members are live and which knows the owners of the shards.
func stateOf(self Member, members []Member, owners map[string]string) *State {
	s := NewState(self, testLease, testRenew)
	observe(s, members, 0, settled)
	for shard, node := range owners {
		s.SetOwner(shard, rowOf(node, 1))
	}
	return s
}

// TestHandOversAtOnceDoNotComeBack checks that a member that got the shards of an overloaded one doesn't find that one clearly better in turn. Owners
// of two shards that were overloaded at the same time handed over both, and the other host had what the first one had before.
func TestHandOversAtOnceDoNotComeBack(t *testing.T) {
	for _, rate := range []float64{1, 0.9, 0.3} {
		for count := 2; count <= 6; count++ {
			t.Run(fmt.Sprint(rate, count), func(t *testing.T) {
				members := membersOf("a", "b")
				owned := make(map[string]string)
				var shards, decided []string
				for n := range count {
					shards = append(shards, fmt.Sprint("shard-", n))
					owned[shards[n]] = "a"
				}
				from, to := stateOf(members[0], members, owned), stateOf(members[1], members, owned)
				for _, shard := range shards { // as each owner asks before the release of another shard is stored
					if from.DecideHandOver(shard, shards, rate, settled) {
						decided = append(decided, shard)
					}
				}
				must.SliceNotEmpty(t, decided)
				for _, shard := range decided {
					must.Eq(t, "b", from.Successor(shard, shards, settled))
					to.SetOwner(shard, rowOf("b", 2))
				}
				members[0].Slow = rate < 1
				observe(to, members, settled, settled+testRenew)
				for _, shard := range decided {
					must.False(t, to.DecideHandOver(shard, shards, 1, settled))
				}
			})
		}
	}
}

// TestShardOnItsWayIsNotHandedOverAgain checks that no shard is offered to a better member while another is on its way.
func TestShardOnItsWayIsNotHandedOverAgain(t *testing.T) {
	members := membersOf("a", "b")
	shards := []string{"calf", "instep", "toebox", "vamp"}
	s := stateOf(members[0], members, map[string]string{"calf": "a", "instep": "a", "toebox": "a", "vamp": "a"})
	offered := func(now time.Duration) string {
		observe(s, members, now, now)
		shard, _ := s.NextHandOver(shards, now)
		return shard
	}
	now := settled
	must.Eq(t, "", offered(now))
	must.True(t, s.DecideHandOver("calf", shards, 1, now))
	must.False(t, s.DecideHandOver("calf", shards, 1, now))
	now += 2 * stableTime
	must.Eq(t, "", offered(now))
	s.EndHandOver("calf") // it was not released
	must.Eq(t, "", offered(now+testRenew))
	must.Eq(t, "calf", offered(now+stableTime))
	must.False(t, s.DecideHandOver("calf", shards, 1, now+stableTime))
}

// TestReleasedShardCountsForItsSuccessor checks that shards are claimed by the member with the least load though another shard is still on its
// way to one that has no other.
func TestReleasedShardCountsForItsSuccessor(t *testing.T) {
	members := membersOf("a", "b", "c")
	for n := range 8 {
		lost, released := fmt.Sprint("a-lost-", n), "b-released"
		for _, self := range members {
			s := stateOf(self, members, nil)
			s.SetOwner(released, OwnerRow{Node: "a", Epoch: 1, Next: "b", Version: 1})
			s.SetOwner(lost, OwnerRow{Node: "gone", Incarnation: "gone.1", Epoch: 1, Version: 1})
			s.SetOwner("c-owned", rowOf("a", 1))
			var claimed []string
			for _, c := range s.Claims([]string{lost, released, "c-owned"}, settled) {
				claimed = append(claimed, c.Shard)
			}
			must.Eq(t, map[string][]string{"a": nil, "b": {released}, "c": {lost}}[self.Node], claimed, must.Sprint(self.Node, lost))
		}
	}
}

// TestSuccessorsOfStoppingHostCountEachOther checks that the shards of a host that stops go to different members, whether it had decided before to
// hand one over or not, and that hand-overs of an earlier ownership count no more.
func TestSuccessorsOfStoppingHostCountEachOther(t *testing.T) {
	members := membersOf("a", "b", "c")
	shards := []string{"calf", "instep", "toebox", "vamp"}
	for _, decided := range []bool{false, true} {
		s := stateOf(members[0], members, map[string]string{"calf": "a", "instep": "a", "toebox": "a", "vamp": "a"})
		if decided {
			must.True(t, s.DecideHandOver("calf", shards, 1, settled))
		}
		for round := range 2 {
			loads := make(map[string]int)
			for n, shard := range []string{"vamp", "toebox", "instep", "calf"} {
				s.EndHandOver(shard)
				loads[s.Successor(shard, shards, settled)]++
				must.True(t, !decided || n < 3 || loads["b"] == loads["c"])
			}
			must.Eq(t, map[string]int{"b": 2, "c": 2}, loads)
			for n, shard := range shards {
				s.SetOwner(shard, rowOf("a", int64(2+round*len(shards)+n))) // claimed again
			}
			must.Eq(t, map[string]int{"a": 4}, s.loads(shards))
		}
	}
}

// TestHandOverEndsWithoutBetterMember checks that a shard whose successor got other shards meanwhile is released to no member that would not be
// clearly better any more, so that its last owner takes it again.
func TestHandOverEndsWithoutBetterMember(t *testing.T) {
	members := membersOf("a", "b", "c")
	shards := []string{"calf", "instep", "toebox", "vamp"}
	s := stateOf(members[0], members, map[string]string{"calf": "a", "instep": "a", "toebox": "c", "vamp": "c"})
	must.True(t, s.DecideHandOver("calf", shards, 1, settled))
	s.SetOwner("vamp", OwnerRow{Node: "c", Epoch: 1, Next: "b", Version: 2})
	must.Eq(t, "", s.Successor("calf", shards, settled))
	s.SetOwner("calf", OwnerRow{Node: "a", Epoch: 1, Version: 3})
	for _, c := range s.Claims(shards, settled) {
		must.Eq(t, "calf", c.Shard)
		must.Eq(t, "a", c.Candidates[0].Node)
	}
}
