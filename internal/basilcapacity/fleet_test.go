package basilcapacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// world is a fleet with a list of hosts, at a time that tests advance.
type world struct {
	*Fleet
	t    *testing.T
	now  time.Time
	list []basilwork.Machine
}

func newWorld(t *testing.T) *world {
	w := &world{Fleet: New(Options{Maintain: 2 * time.Second, Migrate: 1500 * time.Millisecond}), t: t, now: time.Unix(1000, 0)}
	w.SetConfiguration(&basilwork.Configuration{Services: []basilwork.Service{{Name: "a"}, {Name: "b"}, {Name: "spare", Standby: true}}})
	return w
}

// hosts adds hosts of 64 cores to a pool.
func (w *world) hosts(pool string, count int) {
	for range count {
		m := basilwork.Machine{ID: fmt.Sprintf("m%02d", len(w.list)), Pool: pool, Up: true, State: "up", Room: basilwork.Room{CPU: 64000}}
		if pool != "spare" {
			m.Backend = "i-" + m.ID
		}
		w.list = append(w.list, m)
	}
	w.SetMachines(w.list, w.now)
}

// idleOf returns the backend servers of the pool's last hosts.
func (w *world) idleOf(pool string, count int) []string {
	var ids []string
	for n := len(w.list) - 1; n >= 0 && len(ids) < count; n-- {
		if w.list[n].Pool == pool {
			ids = append(ids, w.list[n].Backend)
		}
	}
	return ids
}

func (w *world) tell(pool string, l Load) {
	w.SetPool(pool, Pool{Serial: w.asks[pool].Serial, Load: l}, w.now)
}

// decide decides at the present time, and again after d.
func (w *world) decide(d time.Duration) Plan {
	p := w.Decide(w.now)
	w.now = w.now.Add(d)
	return p
}

// TestPeakTakesSpareHosts answers a pool's peak with hosts of the standby pool first.
func TestPeakTakesSpareHosts(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 3)
	w.hosts("spare", 4)
	w.tell("a", Load{Used: 60000})
	must.SliceEmpty(t, w.decide(time.Second).Orders)
	w.tell("a", Load{Used: 180000, Wanted: 200000})
	p := w.decide(0)
	must.Len(t, 4, p.Orders)
	for _, o := range p.Orders {
		must.Eq(t, "a", o.Pool)
	}
	must.SliceEmpty(t, w.decide(0).Orders, must.Sprint("orders on their way are not repeated"))
}

// TestPeaksByTurns gives a pool's peak the idle hosts of the one whose peak is over, without a stop over.
func TestPeaksByTurns(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 12)
	w.hosts("b", 3)
	for range 8 {
		w.tell("a", Load{Used: 90000, Idle: w.idleOf("a", 9)})
		w.tell("b", Load{Used: 180000, Wanted: 300000})
		p := w.decide(250 * time.Millisecond)
		for pool, a := range p.Asks {
			must.Eq(t, "a", pool)
			empty := make([]string, 0)
			for id := range a.Backends {
				empty = append(empty, id)
			}
			w.SetPool("a", Pool{Serial: a.Serial, Empty: empty, Load: Load{Used: 90000}}, w.now)
		}
		if len(p.Asks) == 0 {
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
	t.Fatal("no host was asked for")
}

// TestShortValleyKeepsHosts does not give up hosts for a valley shorter than two moves are worth.
func TestShortValleyKeepsHosts(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 10)
	for n := range 40 {
		load := Load{Used: 560000}
		if n%5 == 4 {
			load = Load{Used: 100000, Idle: w.idleOf("a", 8)}
		}
		w.tell("a", load)
		must.MapEmpty(t, w.decide(250*time.Millisecond).Asks)
	}
}

// TestWaveWithinMaxCount orders upkeep of empty hosts only, at most so many at once, orders on their way included.
func TestWaveWithinMaxCount(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 4)
	w.hosts("spare", 6)
	var ids []string
	for _, m := range w.list {
		ids = append(ids, m.ID)
	}
	w.tell("a", Load{Used: 200000})
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: ids, Within: 20 * time.Second, MaxCount: 2}}, nil, w.now)
	p := w.decide(0)
	must.Len(t, 2, upkeeps(p))
	must.Len(t, 1, p.WaveStates)
	must.False(t, p.WaveStates[0].Completed)
	for _, o := range p.Orders {
		must.Eq(t, "", o.Backend)
	}
	must.SliceEmpty(t, upkeeps(w.decide(0)))
	w.Ordered(upkeeps(p)[0], nil, w.now)
	must.SliceEmpty(t, upkeeps(w.decide(0)), must.Sprint("two are away"))
	w.Ordered(upkeeps(p)[1], basilwork.ErrMachineRefused{Reason: "busy"}, w.now)
	next := upkeeps(w.decide(0))
	must.Len(t, 1, next)
	must.NotEq(t, upkeeps(p)[1].Machine, next[0].Machine, must.Sprint("refused a moment ago"))
}

func upkeeps(p Plan) []Order {
	var orders []Order
	for _, o := range p.Orders {
		if o.Wave != "" {
			orders = append(orders, o)
		}
	}
	return orders
}

// TestInheritedAskIsFinished goes on with hosts that a predecessor had emptied.
func TestInheritedAskIsFinished(t *testing.T) {
	for _, wave := range []bool{true, false} {
		w := newWorld(t)
		w.SetAsk("a", Ask{Serial: 7, Backends: map[string]int64{"i-m00": 7}})
		w.hosts("a", 4)
		if wave {
			w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m00"}, Within: 20 * time.Second, MaxCount: 1}}, nil, w.now)
		}
		w.SetMachines(w.list, w.now)
		w.SetPool("a", Pool{Serial: 7, Empty: []string{"i-m00"}, Load: Load{Used: 60000}}, w.now)
		p := w.decide(0)
		must.Len(t, 1, p.Orders)
		must.Eq(t, "m00", p.Orders[0].Machine)
		must.Eq(t, wave, p.Orders[0].Wave == "1")
	}
}

// TestStaleAnswerEmptiesNothing does not take an answer to an earlier ask for one to the present.
func TestStaleAnswerEmptiesNothing(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 4)
	w.tell("a", Load{Used: 200000})
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m00"}, Within: 20 * time.Second, MaxCount: 1}}, nil, w.now)
	before := w.asks["a"].Serial
	p := w.decide(0)
	must.MapLen(t, 1, p.Asks)
	w.SetPool("a", Pool{Serial: before, Empty: []string{"i-m00"}, Load: Load{Used: 200000}}, w.now)
	must.SliceEmpty(t, w.decide(0).Orders)
	w.SetPool("a", Pool{Serial: p.Asks["a"].Serial, Empty: []string{"i-m00"}, Load: Load{Used: 200000}}, w.now)
	must.Len(t, 1, w.decide(0).Orders)
}

// TestHostOnItsWayIsNotOrderedAgain leaves a host that was ordered to a pool alone until a list that was asked for
// afterwards tells where it is: by an older one it still stands empty, while it may have work by now.
func TestHostOnItsWayIsNotOrderedAgain(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 3)
	w.hosts("spare", 4)
	w.tell("a", Load{Used: 180000, Wanted: 400000})
	before, asked := w.list, w.now
	moves := w.decide(100 * time.Millisecond).Orders
	must.Len(t, 4, moves)
	w.SetWaves([]basilwork.Wave{{ID: "1", Machines: []string{"m03", "m04", "m05", "m06"}, Within: 30 * time.Second, MaxCount: 4}}, nil, w.now)
	for _, o := range moves {
		w.Ordered(o, nil, w.now)
	}
	must.SliceEmpty(t, w.decide(20*time.Second).Orders, must.Sprint("they are on their way"))
	w.SetMachines(before, asked)
	must.SliceEmpty(t, w.decide(0).Orders, must.Sprint("the list is older than the orders"))
}

// TestRefusedHostIsListedBeforeTheNextOrder learns from a list where a host is that could not be ordered.
func TestRefusedHostIsListedBeforeTheNextOrder(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 3)
	w.hosts("spare", 1)
	w.tell("a", Load{Used: 180000, Wanted: 20000})
	moves := w.decide(100 * time.Millisecond).Orders
	must.Len(t, 1, moves)
	w.Ordered(moves[0], basilwork.ErrMachineRefused{Reason: "busy"}, w.now)
	w.now = w.now.Add(5 * time.Second)
	w.tell("a", Load{Used: 180000, Wanted: 20000})
	must.SliceEmpty(t, w.decide(0).Orders)
	w.SetMachines(w.list, w.now)
	must.Len(t, 1, w.decide(0).Orders)
}

// TestHostThatLivesOnIsNotGone takes back that a backend server is gone when the list of hosts shows it long after an order
// that the platform said yes to: it was done before.
func TestHostThatLivesOnIsNotGone(t *testing.T) {
	w := newWorld(t)
	w.hosts("a", 4)
	w.tell("a", Load{Used: 60000})
	w.Ordered(Order{Machine: "m00", Backend: "i-m00", Wave: "1"}, nil, w.now)
	w.Ordered(Order{Machine: "m01", Backend: "i-m01", Wave: "1"}, nil, w.now)
	must.MapContainsKeys(t, w.decide(0).Asks["a"].Gone, []string{"i-m00", "i-m01"})
	w.list[1].Backend = "i-new" // the other one was carried out
	for range 4 {
		w.now = w.now.Add(time.Second)
		w.SetMachines(w.list, w.now)
	}
	gone := w.decide(0).Asks["a"].Gone
	must.MapNotContainsKey(t, gone, "i-m00")
	must.MapContainsKey(t, gone, "i-m01")
}
