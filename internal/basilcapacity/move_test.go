package basilcapacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// evacuationCount returns how many backend servers of the pool are requested to be evacuated.
func (w *world) evacuationCount(pool string) int { return len(w.requests[pool].Backends) }

// TestHostsWithShortRunsAreEvacuatedAfterPeak checks that after a peak hosts with short runs are evacuated, rather than only
// once they happen to be idle.
func TestHostsWithShortRunsAreEvacuatedAfterPeak(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 12)
	w.report("a", Load{Used: 600000})
	w.decide(time.Second)
	for range 3 {
		w.report("a", Load{Used: 200000, ShortOnly: w.lastBackends("a", 6)})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 6, w.evacuationCount("a"))
	for _, id := range w.lastBackends("a", 6) {
		must.MapContainsKey(t, w.requests["a"].Backends, id)
	}
}

// TestNewPeakCancelsEvacuations checks that a pool in a new peak keeps the hosts that were being evacuated, without a move.
func TestNewPeakCancelsEvacuations(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 12)
	w.addHosts("spare", 4)
	for range 4 {
		w.report("a", Load{Used: 200000, ShortOnly: w.lastBackends("a", 6)})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 6, w.evacuationCount("a"))
	w.report("a", Load{Used: 400000, WaitingDemand: 150000})
	p := w.decide(0)
	must.Eq(t, 0, w.evacuationCount("a"))
	for _, o := range p.Orders {
		must.Eq(t, "", o.Backend, must.Sprint("only hosts of the standby pool may move"))
	}
}

// TestLongRunningTasksAreConsolidated checks that a pool whose long-running tasks fit on fewer hosts gives up one host at a
// time, once it has had spare hosts for longer than a short drop in load.
func TestLongRunningTasksAreConsolidated(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 5)
	load := Load{Used: 70000, Serving: 70000, MinHosts: 3, Movable: w.lastBackends("a", 3)}
	for range 10 {
		w.report("a", load)
		must.MapEmpty(t, w.decide(250*time.Millisecond).Requests)
	}
	for range 12 {
		w.report("a", load)
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 1, w.evacuationCount("a"))
}

// TestSlowHostsAreReleasedFirst checks that a slow host is replaced, released before healthy ones and used again last.
func TestSlowHostsAreReleasedFirst(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 8)
	w.addHosts("spare", 2)
	idle := w.lastBackends("a", 8)
	slow := idle[len(idle)-1]
	load := Load{Used: 400000, Slow: []string{slow}}
	w.report("a", load)
	must.Len(t, 1, w.decide(time.Second).Orders, must.Sprint("a replacement for the slow host"))
	w.list[8].Pool, w.list[8].Backend = "a", "i-new"
	w.SetMachines(w.list, w.now)
	for range 4 {
		w.report("a", Load{Used: 380000, Idle: idle[len(idle)-2:], Slow: []string{slow}})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 1, w.evacuationCount("a"))
	must.MapContainsKey(t, w.requests["a"].Backends, slow)
	w.list[0].Pool, w.list[0].Backend = "spare", ""
	w.SetMachines(w.list, w.now)
	w.report("a", Load{Used: 450000, WaitingDemand: 20000})
	orders := w.decide(0).Orders
	must.Positive(t, len(orders))
	must.NotEq(t, w.list[0].ID, orders[0].Machine)
}

// TestPoolStatusesShowUnseenEvacuations checks that a pool that doesn't act on its requests shows up in the log data.
func TestPoolStatusesShowUnseenEvacuations(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 12)
	w.report("a", Load{Used: 600000})
	w.decide(time.Second)
	w.report("a", Load{Used: 200000, Idle: w.lastBackends("a", 6)})
	w.decide(3 * time.Second)
	s := w.PoolStatuses(w.now)[0]
	must.Eq(t, 6, s.UnseenEvacuations)
	must.Eq(t, 3000, s.OldestEvacuation)
	must.Eq(t, 3000, s.ReportAge)
	must.Less(t, s.RequestSerial, s.SeenSerial)
}

// TestLargeFleetMovesHostsAsFastAsThePlatformAccepts checks that the number of concurrent evacuations follows the
// platform's order rate. A fixed limit left a hundred hosts idle while another pool lacked as many.
func TestLargeFleetMovesHostsAsFastAsThePlatformAccepts(t *testing.T) {
	for _, x := range []struct {
		orders      float64
		evacuations int
	}{{0, 48}, {64, 48}, {200, 150}} {
		w := newWorld(t)
		w.options.OrderRate = x.orders
		w.addHosts("a", 200)
		w.addHosts("b", 3)
		w.report("a", Load{Used: 300000, Idle: w.lastBackends("a", 180)})
		w.report("b", Load{Used: 180000, WaitingDemand: 20000000})
		w.decide(0)
		must.Eq(t, x.evacuations, w.evacuationCount("a"))
	}
}
