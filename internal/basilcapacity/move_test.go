package basilcapacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// askedOf returns how many backend servers of the pool are to be emptied.
func (w *world) askedOf(pool string) int { return len(w.asks[pool].Backends) }

// TestPeakOverEmptiesHostsWithShortRuns has a pool empty hosts after its peak, before they happen to be idle.
func TestPeakOverEmptiesHostsWithShortRuns(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 12)
	w.tell("a", Load{Used: 600000})
	w.decide(time.Second)
	for range 3 {
		w.tell("a", Load{Used: 200000, Brief: w.idleOf("a", 6)})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 6, w.askedOf("a"))
	for _, id := range w.idleOf("a", 6) {
		must.MapContainsKey(t, w.asks["a"].Backends, id)
	}
}

// TestPeakAgainTakesBackAsks keeps hosts that were being emptied when the pool needs them again, without a move.
func TestPeakAgainTakesBackAsks(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 12)
	w.hosts("spare", 4)
	for range 4 {
		w.tell("a", Load{Used: 200000, Brief: w.idleOf("a", 6)})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 6, w.askedOf("a"))
	w.tell("a", Load{Used: 400000, Wanted: 150000})
	p := w.decide(0)
	must.Eq(t, 0, w.askedOf("a"))
	for _, o := range p.Orders {
		must.Eq(t, "", o.Backend, must.Sprint("only hosts of the standby pool move"))
	}
}

// TestSpreadServiceIsPacked empties one host at a time of a pool whose long-running tasks need fewer, once it has
// had too many for longer than a dip.
func TestSpreadServiceIsPacked(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 5)
	load := Load{Used: 70000, Serving: 70000, Least: 3, Movable: w.idleOf("a", 3)}
	for range 10 {
		w.tell("a", load)
		must.MapEmpty(t, w.decide(250*time.Millisecond).Asks)
	}
	for range 12 {
		w.tell("a", load)
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 1, w.askedOf("a"))
}

// TestSlowHostsLeaveFirst replaces a slow host, gives it up before sound ones and takes it back last.
func TestSlowHostsLeaveFirst(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 8)
	w.hosts("spare", 2)
	idle := w.idleOf("a", 8)
	slow := idle[len(idle)-1]
	load := Load{Used: 400000, Slow: []string{slow}}
	w.tell("a", load)
	must.Len(t, 1, w.decide(time.Second).Orders, must.Sprint("another host in its place"))
	w.list[8].Pool, w.list[8].Backend = "a", "i-new"
	w.SetMachines(w.list, w.now)
	for range 4 {
		w.tell("a", Load{Used: 380000, Idle: idle[len(idle)-2:], Slow: []string{slow}})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 1, w.askedOf("a"))
	must.MapContainsKey(t, w.asks["a"].Backends, slow)
	w.list[0].Pool, w.list[0].Backend = "spare", ""
	w.SetMachines(w.list, w.now)
	w.tell("a", Load{Used: 450000, Wanted: 20000})
	orders := w.decide(0).Orders
	must.Positive(t, len(orders))
	must.NotEq(t, w.list[0].ID, orders[0].Machine)
}

// TestStandingsTellUnansweredAsks shows a pool that does not follow what it is asked.
func TestStandingsTellUnansweredAsks(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 12)
	w.tell("a", Load{Used: 600000})
	w.decide(time.Second)
	w.tell("a", Load{Used: 200000, Idle: w.idleOf("a", 6)})
	w.decide(3 * time.Second)
	s := w.Standings(w.now)[0]
	must.Eq(t, 6, s.Unanswered)
	must.Eq(t, 3000, s.Waiting)
	must.Eq(t, 3000, s.AnswerAge)
	must.Less(t, s.Serial, s.Known)
}

// TestLargeFleetMovesHostsAsFastAsThePlatformAccepts empties as many hosts at once as the platform's rate allows: a
// fixed number had a hundred idle hosts stay while another pool missed as many.
func TestLargeFleetMovesHostsAsFastAsThePlatformAccepts(t *testing.T) {
	for _, x := range []struct {
		orders float64
		asked  int
	}{{0, 48}, {64, 48}, {200, 150}} {
		w := newWorld(t)
		w.options.Orders = x.orders
		w.hosts("a", 200)
		w.hosts("b", 3)
		w.tell("a", Load{Used: 300000, Idle: w.idleOf("a", 180)})
		w.tell("b", Load{Used: 180000, Wanted: 20000000})
		w.decide(0)
		must.Eq(t, x.asked, w.askedOf("a"))
	}
}
