package basilcapacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// world is a fleet with its list of hosts and a simulated clock.
type world struct {
	*Fleet
	t    *testing.T
	now  time.Time
	list []basilwork.Machine
}

func newWorld(t *testing.T) *world {
	w := &world{Fleet: New(Options{MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond}), t: t, now: time.Unix(1000, 0)}
	w.SetConfiguration(&basilwork.Configuration{Services: []basilwork.Service{{Name: "a"}, {Name: "b"}, {Name: "spare", Standby: true}}})
	return w
}

// addHosts adds hosts with 64 cores to a pool.
func (w *world) addHosts(pool string, count int) {
	for range count {
		m := basilwork.Machine{ID: fmt.Sprintf("m%02d", len(w.list)), Pool: pool, Up: true, State: "up", Resources: basilwork.Resources{CPU: 64000}}
		if pool != "spare" {
			m.Backend = "i-" + m.ID
		}
		w.list = append(w.list, m)
	}
	w.SetMachines(w.list, w.now)
}

// lastBackends returns the backend servers of the pool's last hosts, at most count of them.
func (w *world) lastBackends(pool string, count int) []string {
	var ids []string
	for n := len(w.list) - 1; n >= 0 && len(ids) < count; n-- {
		if w.list[n].Pool == pool {
			ids = append(ids, w.list[n].Backend)
		}
	}
	return ids
}

func (w *world) report(pool string, l Load) {
	w.SetReport(pool, PoolReport{Serial: w.requests[pool].Serial, Load: l}, w.now)
}

// decide returns the plan for the current time, then advances the clock by d.
func (w *world) decide(d time.Duration) Plan {
	p := w.Decide(w.now)
	w.now = w.now.Add(d)
	return p
}

// TestPeakTakesStandbyHosts checks that a pool in a peak gets the hosts of the standby pool, and that orders aren't repeated.
func TestPeakTakesStandbyHosts(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 3)
	w.addHosts("spare", 4)
	w.report("a", Load{Used: 60000})
	must.SliceEmpty(t, w.decide(time.Second).Orders)
	w.report("a", Load{Used: 180000, WaitingDemand: 200000})
	p := w.decide(0)
	must.Len(t, 4, p.Orders)
	for _, o := range p.Orders {
		must.Eq(t, "a", o.Pool)
	}
	must.SliceEmpty(t, w.decide(0).Orders, must.Sprint("pending orders must not be repeated"))
}

// TestAlternatingPeaksMoveHostsDirectly checks that idle hosts of a pool whose peak is over move straight to the pool in a
// peak, not by way of the standby pool.
func TestAlternatingPeaksMoveHostsDirectly(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 12)
	w.addHosts("b", 3)
	for range 8 {
		w.report("a", Load{Used: 90000, Idle: w.lastBackends("a", 9)})
		w.report("b", Load{Used: 180000, WaitingDemand: 300000})
		p := w.decide(250 * time.Millisecond)
		for pool, a := range p.Requests {
			must.Eq(t, "a", pool)
			empty := make([]string, 0)
			for id := range a.Backends {
				empty = append(empty, id)
			}
			w.SetReport("a", PoolReport{Serial: a.Serial, Empty: empty, Load: Load{Used: 90000}}, w.now)
		}
		if len(p.Requests) == 0 {
			continue
		}
		orders := w.decide(0).Orders
		direct := 0
		for _, o := range orders {
			if o.Pool == "b" {
				direct++
			}
		}
		must.Greater(t, 3, direct)
		return
	}
	t.Fatal("no evacuation was requested")
}

// TestShortDropInLoadKeepsHosts checks that a pool keeps its hosts during a drop in load that is too short to pay for two
// moves.
func TestShortDropInLoadKeepsHosts(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 10)
	for n := range 40 {
		load := Load{Used: 560000}
		if n%5 == 4 {
			load = Load{Used: 100000, Idle: w.lastBackends("a", 8)}
		}
		w.report("a", load)
		must.MapEmpty(t, w.decide(250*time.Millisecond).Requests)
	}
}

// TestWaveWithinMaxCount checks that a wave orders maintenance of empty hosts only, and never exceeds MaxCount, pending
// orders included.
func TestWaveWithinMaxCount(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 4)
	w.addHosts("spare", 6)
	var ids []string
	for _, m := range w.list {
		ids = append(ids, m.ID)
	}
	w.report("a", Load{Used: 200000})
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: ids, Duration: 20 * time.Second, MaxCount: 2}}, nil, w.now)
	p := w.decide(0)
	must.Len(t, 2, maintenanceOrders(p))
	must.Len(t, 1, p.WaveStates)
	must.False(t, p.WaveStates[0].Completed)
	for _, o := range p.Orders {
		must.Eq(t, "", o.Backend)
	}
	must.SliceEmpty(t, maintenanceOrders(w.decide(0)))
	w.SetOrderOutcome(maintenanceOrders(p)[0], nil, w.now)
	must.SliceEmpty(t, maintenanceOrders(w.decide(0)), must.Sprint("two hosts are already in maintenance or ordered"))
	w.SetOrderOutcome(maintenanceOrders(p)[1], basilwork.ErrMachineRefused{Reason: "busy"}, w.now)
	next := maintenanceOrders(w.decide(0))
	must.Len(t, 1, next)
	must.NotEq(t, maintenanceOrders(p)[1].Machine, next[0].Machine, must.Sprint("the order for this host has just been refused"))
}

func maintenanceOrders(p Plan) []Order {
	var orders []Order
	for _, o := range p.Orders {
		if o.Wave != "" {
			orders = append(orders, o)
		}
	}
	return orders
}

// TestInheritedEvacuationIsFinished checks that hosts evacuated at a previous owner's request are maintained or moved.
func TestInheritedEvacuationIsFinished(t *testing.T) {
	for _, wave := range []bool{true, false} {
		w := newWorld(t)
		w.SetRequest("a", EvacuationRequest{Serial: 7, Backends: map[string]int64{"i-m00": 7}})
		w.addHosts("a", 4)
		if wave {
			w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m00"}, Duration: 20 * time.Second, MaxCount: 1}}, nil, w.now)
		}
		w.SetMachines(w.list, w.now)
		w.SetReport("a", PoolReport{Serial: 7, Empty: []string{"i-m00"}, Load: Load{Used: 60000}}, w.now)
		p := w.decide(0)
		must.Len(t, 1, p.Orders)
		must.Eq(t, "m00", p.Orders[0].Machine)
		must.Eq(t, wave, p.Orders[0].Wave == "1")
	}
}

// TestStaleReportDoesNotMarkHostEmpty checks that a report on an earlier request doesn't count a host as empty.
func TestStaleReportDoesNotMarkHostEmpty(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 4)
	w.report("a", Load{Used: 200000})
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m00"}, Duration: 20 * time.Second, MaxCount: 1}}, nil, w.now)
	before := w.requests["a"].Serial
	p := w.decide(0)
	must.MapLen(t, 1, p.Requests)
	w.SetReport("a", PoolReport{Serial: before, Empty: []string{"i-m00"}, Load: Load{Used: 200000}}, w.now)
	must.SliceEmpty(t, w.decide(0).Orders)
	w.SetReport("a", PoolReport{Serial: p.Requests["a"].Serial, Empty: []string{"i-m00"}, Load: Load{Used: 200000}}, w.now)
	must.Len(t, 1, w.decide(0).Orders)
}

// TestMovingHostIsNotOrderedAgain checks that a moved host gets no further order until a list requested after the move
// shows it: an older list still shows it empty, although it may have work by now.
func TestMovingHostIsNotOrderedAgain(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 3)
	w.addHosts("spare", 4)
	w.report("a", Load{Used: 180000, WaitingDemand: 400000})
	before, requestedAt := w.list, w.now
	moves := w.decide(100 * time.Millisecond).Orders
	must.Len(t, 4, moves)
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m03", "m04", "m05", "m06"}, Duration: 30 * time.Second, MaxCount: 4}}, nil, w.now)
	for _, o := range moves {
		w.SetOrderOutcome(o, nil, w.now)
	}
	must.SliceEmpty(t, w.decide(20*time.Second).Orders, must.Sprint("the hosts are moving"))
	w.SetMachines(before, requestedAt)
	must.SliceEmpty(t, w.decide(0).Orders, must.Sprint("the list was requested before the orders"))
}

// TestRefusedHostIsListedBeforeTheNextOrder checks that a host whose order was refused gets no further order until a new
// list shows where it is.
func TestRefusedHostIsListedBeforeTheNextOrder(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 3)
	w.addHosts("spare", 1)
	w.report("a", Load{Used: 180000, WaitingDemand: 20000})
	moves := w.decide(100 * time.Millisecond).Orders
	must.Len(t, 1, moves)
	w.SetOrderOutcome(moves[0], basilwork.ErrMachineRefused{Reason: "busy"}, w.now)
	w.now = w.now.Add(5 * time.Second)
	w.report("a", Load{Used: 180000, WaitingDemand: 20000})
	must.SliceEmpty(t, w.decide(0).Orders)
	w.SetMachines(w.list, w.now)
	must.Len(t, 1, w.decide(0).Orders)
}

// TestRunningBackendIsNotGone checks that a backend server is no longer reported as gone when the list still shows it long
// after an accepted order: the platform accepts a repeated order without acting on it.
func TestRunningBackendIsNotGone(t *testing.T) {
	w := newWorld(t)
	w.addHosts("a", 4)
	w.report("a", Load{Used: 60000})
	w.SetOrderOutcome(Order{Machine: "m00", Backend: "i-m00", Wave: "1"}, nil, w.now)
	w.SetOrderOutcome(Order{Machine: "m01", Backend: "i-m01", Wave: "1"}, nil, w.now)
	must.MapContainsKeys(t, w.decide(0).Requests["a"].Gone, []string{"i-m00", "i-m01"})
	w.list[1].Backend = "i-new" // the order for m01 was carried out
	for range 4 {
		w.now = w.now.Add(time.Second)
		w.SetMachines(w.list, w.now)
	}
	gone := w.decide(0).Requests["a"].Gone
	must.MapNotContainsKey(t, gone, "i-m00")
	must.MapContainsKey(t, gone, "i-m01")
}
