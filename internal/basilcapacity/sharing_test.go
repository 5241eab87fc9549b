package basilcapacity

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playStep      = 50 * time.Millisecond
	playReport    = 250 * time.Millisecond // between a pool's reports
	playMove      = 1500 * time.Millisecond
	playListing   = 500 * time.Millisecond // from a host's arrival until its pool reports it
	playShortTask = time.Second            // for which a host that is evacuated is not empty
	playHostCPU   = 64000
	playSettled   = 10 * time.Second // after which constant loads move no more hosts
	// playLongestLack is the time of a move and its list of servers, after the short tasks of the host have ended.
	playLongestLack = playShortTask + playMove + arrivalDelay
)

// playedPool is a pool whose work is given in hosts.
type playedPool struct {
	name    string
	lasting func(at time.Duration) int // hosts of its long-running tasks
	short   func(at time.Duration) int // hosts that its short tasks would fill
	lacked  time.Duration              // for how long it has lacked hosts for long-running tasks, since it last lost any
	longest time.Duration
	silent  bool // its owner is away
	spread  bool // its long-running tasks are spread over all of its hosts
}

// fleetPlay plays a fleet with its pools.
type fleetPlay struct {
	*world
	pools   []*playedPool
	began   time.Time
	arrival map[string]time.Time // of a host that moves
	listed  map[string]time.Time // when the pool reports the host
	left    map[string]string    // by host, the pool that it left last
	moves   int
	returns int // moves of a host to the pool that it left last
	flight  int // most hosts that were evacuated or moved from one pool to another at once
}

func constant(hosts int) func(time.Duration) int { return func(time.Duration) int { return hosts } }

func newFleetPlay(t *testing.T, standby int, sizes []int, pools ...*playedPool) *fleetPlay {
	p := &fleetPlay{world: newWorld(t), pools: pools, arrival: make(map[string]time.Time), listed: make(map[string]time.Time), left: make(map[string]string)}
	services := []basilwork.Service{{Name: "spare", Standby: true}}
	for _, o := range pools {
		services = append(services, basilwork.Service{Name: o.name})
	}
	p.SetConfiguration(&basilwork.Configuration{Services: services})
	for n, o := range pools {
		p.addHosts(o.name, sizes[n])
	}
	p.addHosts("spare", standby)
	for n := range p.list {
		p.list[n].ID = fmt.Sprintf("m%04d", n)
		if p.list[n].Backend != "" {
			p.list[n].Backend = "i-" + p.list[n].ID
		}
	}
	p.SetMachines(nil, p.now)
	p.SetMachines(p.list, p.now)
	p.began = p.now
	return p
}

// lose takes hosts of the pool away for good.
func (p *fleetPlay) lose(pool string, hosts int) {
	for _, o := range p.pools {
		if o.name == pool && hosts > 0 {
			o.lacked = 0
		}
	}
	for n := range p.list {
		if m := &p.list[n]; hosts > 0 && m.Pool == pool && m.Up {
			m.Up, m.Pool, m.Backend = false, "lost", ""
			hosts--
		}
	}
}

// play goes on for the given time.
func (p *fleetPlay) play(length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); p.now = p.now.Add(playStep) {
		p.arriveHosts()
		p.SetMachines(p.list, p.now)
		if p.now.Sub(p.began)%playReport == 0 {
			for _, o := range p.pools {
				if !o.silent {
					p.reportPool(o)
				}
			}
		}
		p.carryOut(p.Decide(p.now))
	}
}

func (p *fleetPlay) arriveHosts() {
	for n := range p.list {
		m := &p.list[n]
		if at, ok := p.arrival[m.ID]; ok && !p.now.Before(at) {
			delete(p.arrival, m.ID)
			m.Up, m.Backend = true, ""
			p.listed[m.ID] = p.now.Add(playListing)
			if m.Pool != "spare" {
				m.Backend = fmt.Sprintf("i-%s-%d", m.ID, p.moves)
			}
		}
	}
}

func (p *fleetPlay) carryOut(plan Plan) {
	for _, o := range plan.Orders {
		p.moves++
		n := slices.IndexFunc(p.list, func(m basilwork.Machine) bool { return m.ID == o.Machine })
		if p.left[o.Machine] == o.Pool && o.Pool != "spare" {
			p.returns++
		}
		p.left[o.Machine] = p.list[n].Pool
		p.list[n].Up, p.list[n].Pool, p.list[n].Backend = false, o.Pool, ""
		p.arrival[o.Machine] = p.now.Add(playMove)
		p.SetOrderOutcome(o, nil, p.now)
	}
	var flight int
	for id := range p.arrival {
		if p.left[id] != "spare" {
			flight++
		}
	}
	for _, r := range p.requests {
		flight += len(r.Backends)
	}
	p.flight = max(p.flight, flight)
}

// reportPool reports the load of a pool, whose long-running tasks are on its first hosts and whose short ones fill the others.
func (p *fleetPlay) reportPool(o *playedPool) {
	at := p.now.Sub(p.began)
	lasting, short := o.lasting(at), o.short(at)
	var ids, empty []string
	for _, m := range p.list {
		if m.Pool != o.name || m.Backend == "" || p.now.Before(p.listed[m.ID]) {
			continue
		}
		serial, requested := p.requests[o.name].Backends[m.Backend]
		switch {
		case !requested:
			ids = append(ids, m.Backend)
		case serial <= p.requests[o.name].Serial && p.now.Sub(p.backends[m.Backend].requestedAt) >= playShortTask:
			empty = append(empty, m.Backend)
		}
	}
	occupied := min(lasting, len(ids))
	busy := min(len(ids), occupied+short)
	l := Load{
		Serving: lasting * playHostCPU, Used: busy * playHostCPU, WaitingDemand: (lasting + short - busy) * playHostCPU, MinHosts: lasting,
		ArrivedWork: int64(at.Seconds() * float64(short*playHostCPU)), ShortOnly: limitIDs(ids[occupied:busy]), Idle: ids[busy:],
	}
	if o.spread {
		l.ShortOnly, l.Idle = nil, nil
	}
	o.lacked += playReport
	if lacking := lasting - len(ids); lacking > 0 {
		l.Listed, l.Kept, l.Lacking = len(ids), len(ids), []HostNeed{wholeHost(lacking)}
	} else {
		o.lacked = 0
	}
	o.longest = max(o.longest, o.lacked)
	p.SetReport(o.name, PoolReport{Serial: p.requests[o.name].Serial, Empty: empty, Load: l}, p.now)
}

// hostsOf returns how many hosts the pool reports or gets.
func (p *fleetPlay) hostsOf(pool string) int {
	var count int
	for _, m := range p.list {
		if m.Pool == pool {
			count++
		}
	}
	return count
}

// newStarvingPlay returns the loads of four pools one of which needs four times the fleet, while another has just lost half of its hosts. Pool b
// has short tasks for the given number of hosts.
func newStarvingPlay(t *testing.T, short int) *fleetPlay {
	p := newFleetPlay(t, 0, []int{270, 29, 25, 26},
		&playedPool{name: "peak", lasting: constant(12), short: constant(1140)}, &playedPool{name: "b", lasting: constant(24), short: constant(short)},
		&playedPool{name: "c", lasting: constant(20), short: constant(1)}, &playedPool{name: "robbed", lasting: constant(22), short: constant(1)})
	p.play(playSettled)
	p.returns = 0
	p.lose("robbed", 13)
	return p
}

// TestLongRunningTasksGetHostsBesideUnmeetableNeed checks that a pool that lost half of its hosts gets others for its long-running tasks within a
// move and its list of servers, though the need of another pool exceeds the fleet.
func TestLongRunningTasksGetHostsBesideUnmeetableNeed(t *testing.T) {
	p := newStarvingPlay(t, 1)
	p.play(20 * time.Second)
	robbed := p.pools[3]
	must.LessEq(t, playLongestLack, robbed.longest, must.Sprintf("the pool has %d hosts", p.hostsOf("robbed")))
	must.GreaterEq(t, 22, p.hostsOf("robbed"))
}

// TestUnmeetableNeedStarvesNoOtherPool checks that pools whose needs are small get them while the need of another one exceeds the fleet, that no
// host goes back and forth, and that the limit of concurrent moves is kept.
func TestUnmeetableNeedStarvesNoOtherPool(t *testing.T) {
	p := newStarvingPlay(t, 31)
	p.play(playSettled)
	for _, x := range []struct {
		pool  string
		hosts int
	}{{"b", 55}, {"c", 21}, {"robbed", 23}} {
		must.GreaterEq(t, x.hosts, p.hostsOf(x.pool), must.Sprint(x.pool))
	}
	moves := p.moves
	p.play(playSettled)
	must.Eq(t, moves, p.moves, must.Sprint("the loads are constant"))
	must.Eq(t, 0, p.returns)
	must.LessEq(t, p.maxConcurrentMoves(), p.flight)
}

// TestUnmeetableNeedsAreSharedOut checks that pools whose needs exceed the fleet each get a like share of it.
func TestUnmeetableNeedsAreSharedOut(t *testing.T) {
	p := newStarvingPlay(t, 400)
	p.play(playSettled)
	hosts := []int{p.hostsOf("peak"), p.hostsOf("b")}
	slices.SortFunc(hosts, cmp.Compare)
	must.GreaterEq(t, hosts[1]*3/4, hosts[0], must.Sprint(hosts))
	must.LessEq(t, p.maxConcurrentMoves(), p.flight)
}

// TestUrgentHostsDoNotWaitForPoolWithoutOwner checks that hosts for long-running tasks come from another pool if the one that was asked first has no
// owner that answers.
func TestUrgentHostsDoNotWaitForPoolWithoutOwner(t *testing.T) {
	peak := func(name string) *playedPool {
		return &playedPool{name: name, lasting: constant(5), short: constant(400)}
	}
	p := newFleetPlay(t, 0, []int{100, 80, 20}, peak("a"), peak("b"), &playedPool{name: "robbed", lasting: constant(18), short: constant(0)})
	p.play(playSettled)
	p.pools[0].silent = true
	p.lose("robbed", 10)
	p.play(playSettled)
	must.LessEq(t, playLongestLack+shareDelay, p.pools[2].longest)
}

// TestUrgentHostsDoNotWaitForHostsThatAreHeld checks that hosts for long-running tasks come from another pool if that above its share has
// long-running tasks on all of its hosts.
func TestUrgentHostsDoNotWaitForHostsThatAreHeld(t *testing.T) {
	p := newFleetPlay(
		t, 0, []int{100, 60, 20}, &playedPool{name: "peak", lasting: constant(5), short: constant(400)},
		&playedPool{name: "held", lasting: constant(20), short: constant(0), spread: true}, &playedPool{name: "robbed", lasting: constant(18), short: constant(0)},
	)
	p.play(playSettled)
	p.lose("robbed", 7)
	p.play(playSettled)
	must.LessEq(t, playLongestLack, p.pools[2].longest)
}
