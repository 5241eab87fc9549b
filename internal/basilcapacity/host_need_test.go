package basilcapacity

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// wholeHost is the need for hosts with 64 cores.
func wholeHost(hosts int) HostNeed {
	return HostNeed{Resources: basilwork.Resources{CPU: 64000}, Hosts: hosts}
}

// newLackingWorld returns a pool of four hosts, which are enough in total but not for a task that needs a whole one, and three hosts to spare.
func newLackingWorld(t *testing.T) *world {
	w := newWorld(t)
	w.addHosts("a", 4)
	w.addHosts("spare", 3)
	return w
}

func lackingLoad(listed int, needs ...HostNeed) Load {
	return Load{Used: 30000, WaitingDemand: 64000, Listed: listed, Kept: listed, MinHosts: listed, Lacking: needs}
}

// arrive has the ordered hosts arrive in pool a.
func (w *world) arrive(p Plan) {
	for _, o := range p.Orders {
		w.SetOrderOutcome(o, nil, w.now)
	}
	w.now = w.now.Add(1500 * time.Millisecond)
	for n := range w.list {
		for _, o := range p.Orders {
			if w.list[n].ID == o.Machine {
				w.list[n].Pool, w.list[n].Backend = "a", "i-"+o.Machine
			}
		}
	}
	w.SetMachines(w.list, w.now)
}

// TestLackingHostsAreFetchedOnce checks that a pool gets the hosts that it lacks although its hosts are enough in total, and no more while they
// are on the way, or have arrived and are not in its report yet.
func TestLackingHostsAreFetchedOnce(t *testing.T) {
	w := newLackingWorld(t)
	w.report("a", lackingLoad(4, wholeHost(2)))
	p := w.decide(250 * time.Millisecond)
	must.Len(t, 2, p.Orders)
	must.SliceEmpty(t, w.decide(250*time.Millisecond).Orders)
	w.arrive(p)
	for range 4 {
		w.report("a", lackingLoad(4, wholeHost(2)))
		next := w.decide(250 * time.Millisecond)
		must.SliceEmpty(t, next.Orders)
		must.MapEmpty(t, next.Requests, must.Sprint("none is given back before it can be used"))
	}
	w.report("a", lackingLoad(6))
	must.SliceEmpty(t, w.decide(250*time.Millisecond).Orders)
}

// TestLackingHostIsReplaced checks that a pool gets another host if the one that it got doesn't come up.
func TestLackingHostIsReplaced(t *testing.T) {
	w := newLackingWorld(t)
	w.report("a", lackingLoad(4, wholeHost(1)))
	w.arrive(w.decide(0))
	for range 40 {
		w.report("a", lackingLoad(4, wholeHost(1)))
		if len(w.decide(250*time.Millisecond).Orders) > 0 {
			return
		}
	}
	t.Fatal("no other host was ordered")
}

// TestLackingHostsAreGivenBack checks that the hosts that a pool lacked are given back once the work is gone.
func TestLackingHostsAreGivenBack(t *testing.T) {
	w := newLackingWorld(t)
	w.report("a", lackingLoad(4, wholeHost(1)))
	w.arrive(w.decide(0))
	for range 4 {
		w.report("a", Load{Used: 30000, Idle: w.lastBackends("a", 2)})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 2, w.evacuationCount("a"))
}

// TestLackingHostsMatch checks that a pool gets only hosts of the size and with the label that its work needs.
func TestLackingHostsMatch(t *testing.T) {
	cases := map[string]struct {
		need   HostNeed
		orders []string
	}{
		"any":         {wholeHost(1), []string{"m04"}},
		"label":       {HostNeed{Label: "rare", Hosts: 2}, []string{"m05"}},
		"size":        {HostNeed{Resources: basilwork.Resources{CPU: 96000}, Hosts: 1}, []string{"m06"}},
		"no such one": {HostNeed{Resources: basilwork.Resources{CPU: 200000}, Hosts: 1}, nil},
	}
	for name, x := range cases {
		w := newLackingWorld(t)
		w.list[5].Labels = []string{"rare"}
		w.list[6].Resources.CPU = 96000
		w.SetMachines(w.list, w.now)
		w.report("a", lackingLoad(4, x.need))
		var ids []string
		for _, o := range w.decide(0).Orders {
			ids = append(ids, o.Machine)
		}
		must.Eq(t, x.orders, ids, must.Sprint(name))
	}
}

// TestLackingHostsOfPoolThatLostSight checks that a pool that reports fewer hosts than it has gets none for the others at first.
func TestLackingHostsOfPoolThatLostSight(t *testing.T) {
	w := newLackingWorld(t)
	for range 8 {
		w.report("a", lackingLoad(2, wholeHost(2)))
		must.SliceEmpty(t, w.decide(250*time.Millisecond).Orders)
	}
}

// TestLackingHostIsKeptFromEvacuation checks that a pool that lacks a host keeps one that is being evacuated instead of fetching another.
func TestLackingHostIsKeptFromEvacuation(t *testing.T) {
	w := newLackingWorld(t)
	for range 4 {
		w.report("a", Load{Used: 30000, Idle: w.lastBackends("a", 1)})
		w.decide(250 * time.Millisecond)
	}
	must.Eq(t, 1, w.evacuationCount("a"))
	w.report("a", lackingLoad(3, wholeHost(1)))
	must.SliceEmpty(t, w.decide(0).Orders)
	must.Eq(t, 0, w.evacuationCount("a"))
}

// TestReportsOfOtherReleasesAreRead checks that a report without lacking hosts has the form of releases before, and that one of those is read.
func TestReportsOfOtherReleasesAreRead(t *testing.T) {
	const before = `{"serial":3,"load":{"used":5,"least":4}}`
	body, err := json.Marshal(PoolReport{Serial: 3, Load: Load{Used: 5, MinHosts: 4}})
	must.NoError(t, err)
	must.Eq(t, before, string(body))
	sent := PoolReport{Serial: 3, Load: Load{Used: 5, MinHosts: 4, Listed: 5, Kept: 4, Lacking: []HostNeed{{Label: "rare", Resources: basilwork.Resources{CPU: 9000}, Hosts: 2}}}}
	body, err = json.Marshal(sent)
	must.NoError(t, err)
	var read PoolReport
	must.NoError(t, json.Unmarshal(body, &read))
	must.Eq(t, sent, read)
}
