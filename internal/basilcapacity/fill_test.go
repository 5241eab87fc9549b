package basilcapacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHostsThatOwnerLeavesIdleGoToOtherPool checks that a pool whose owner starts too few tasks to fill its hosts gives up those that stand idle,
// while another one lacks hosts, and gets none of the standby pool.
func TestHostsThatOwnerLeavesIdleGoToOtherPool(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 20)
	w.addHosts("b", 3)
	w.addHosts("spare", 4)
	slow := Load{Used: 4 * 64000, WaitingDemand: 100 * 64000, Limited: true, Idle: w.lastBackends("a", 16)}
	busy := Load{Used: 3 * 64000, WaitingDemand: 20 * 64000}
	for range 3 {
		w.report("a", slow)
		w.report("b", busy)
		for _, o := range w.decide(250 * time.Millisecond).Orders {
			must.Eq(t, "b", o.Pool)
		}
	}
	must.Eq(t, 15, w.evacuationCount("a"))
}

// TestPoolOfFasterOwnerGetsItsHosts checks that what a pool's owner could fill limits neither the next one nor the same one for long.
func TestPoolOfFasterOwnerGetsItsHosts(t *testing.T) {
	needAfter := func(d time.Duration, next Load) int {
		w := newWorld(t)
		w.addHosts("a", 20)
		w.report("a", Load{Used: 4 * 64000, WaitingDemand: 100 * 64000, ArrivedWork: 1000, Limited: true})
		w.decide(d)
		w.report("a", next)
		w.countHosts()
		return w.need("a", 0, w.now)
	}
	must.Eq(t, 5, needAfter(0, Load{Used: 4 * 64000, WaitingDemand: 100 * 64000, ArrivedWork: 1000}))
	must.Greater(t, 5, needAfter(2*time.Second, Load{Used: 4 * 64000, WaitingDemand: 100 * 64000, ArrivedWork: 1000}))
	must.Eq(t, 19, needAfter(20*time.Second, Load{Used: 4 * 64000, WaitingDemand: 12 * 64000, ArrivedWork: 1000}), must.Sprint("the limit is over"))
	must.Greater(t, 100, needAfter(0, Load{WaitingDemand: 100 * 64000, ArrivedWork: 1}), must.Sprint("of the next owner"))
}

// TestPoolKeepsHostsThatItHasFilled checks that a pool that has filled its hosts since its owner was too slow keeps them. Its limit followed
// what was in use before.
func TestPoolKeepsHostsThatItHasFilled(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 20)
	w.addHosts("b", 3)
	w.report("b", Load{Used: 2 * 64000})
	w.report("a", Load{Used: 13 * 64000, WaitingDemand: 40 * 64000, ShortOnly: w.lastBackends("a", 20), Limited: true})
	w.decide(250 * time.Millisecond)
	for range 4 {
		w.report("a", Load{Used: 20 * 64000, WaitingDemand: 40 * 64000, ShortOnly: w.lastBackends("a", 20)})
		w.report("b", Load{Used: 2 * 64000})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 0, w.evacuationCount("a"))
}

// TestLimitOfPoolWithoutRunsEnds checks that a pool gets hosts again though nothing ran in it as its owner was last too slow. A limit of zero
// never grew.
func TestLimitOfPoolWithoutRunsEnds(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 3)
	w.addHosts("spare", 20)
	w.report("a", Load{WaitingDemand: 40 * 64000, Limited: true})
	w.decide(250 * time.Millisecond)
	var moved int
	for range 240 {
		w.report("a", Load{Used: 3 * 64000, WaitingDemand: 40 * 64000})
		moved += len(w.decide(250 * time.Millisecond).Orders)
	}
	must.Positive(t, moved)
}
