package basilexperiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	warmUp       = 10 * time.Second       // before the first job: the platform starts hosts first
	drainTime    = 15 * time.Second       // after the last arrival
	fleetEvery   = 250 * time.Millisecond // between decisions on hosts
	machineEvery = 700 * time.Millisecond // between reads of the list of hosts
	migrate      = 1500 * time.Millisecond
	maintain     = 2 * time.Second
	listTime     = 250 * time.Millisecond // from a backend server's start until its pool lists it
	standby      = "standby"
	maxAttempts  = 4
	failingParts = 3 // of the time: hosts fail in the middle one
)

// world is one play of a load under one policy.
type world struct {
	clock
	load    *Load
	policy  Policy
	random  *rand.Rand
	hosts   []*host
	pools   []*pool
	fleet   *basilcapacity.Fleet // nil where hosts stay
	jobs    map[string]*arrival
	figures *Figures
	length  time.Duration
	born    int
}

// Play plays a load for a length of time under a policy, and returns what callers and operators saw.
func Play(l *Load, p Policy, seed uint64, length time.Duration) *Figures {
	w := &world{
		load: l, policy: p, random: rand.New(rand.NewPCG(seed, seed)), jobs: make(map[string]*arrival),
		figures: newFigures(l, p), length: length,
	}
	if p != PolicyStatic {
		w.fleet = basilcapacity.New(basilcapacity.Options{MaintenanceDuration: maintain, MoveDuration: migrate, OrderRate: l.Orders, IdleOnly: p == PolicyIdleOnly, Sharing: p.sharing(), KeepUsed: p.keepsUsed()})
		w.fleet.SetConfiguration(w.configuration())
	}
	for n := range l.Services {
		w.pools = append(w.pools, newPool(w, l.Services[n].Name))
	}
	w.addHosts(seed)
	for n := range l.Services {
		w.pools[n].list()
		w.pools[n].lasting(&l.Services[n])
	}
	for _, a := range l.arrivals(seed, length) {
		w.jobs[a.job.ID] = &a
		w.after(warmUp+a.at, func() { w.poolOf(a.queue.Service).submit(&a) })
	}
	w.plan()
	w.run(warmUp + length + drainTime)
	w.figures.close(l, w.jobs)
	return w.figures
}

// plan sets up what happens besides the callers' work.
func (w *world) plan() {
	w.every(fleetEvery, w.sample)
	w.every(fleetEvery, newStrandedCount(w).sample)
	w.every(fleetEvery, newAbsence(w).sample)
	if w.load.Lost > 0 {
		w.after(warmUp+lostAt, w.loseHosts)
	}
	if w.fleet != nil {
		w.every(machineEvery, func() { w.fleet.SetMachines(w.machines(), w.time()) })
		w.every(fleetEvery, w.decide)
	}
	if w.fleet != nil && w.load.Wave > 0 {
		w.after(warmUp+w.length/10, w.askWave)
	}
	failing := int(w.load.Failing * float64(len(w.hosts)))
	for n, fails := range []bool{true, false} {
		w.after(warmUp+w.length*time.Duration(n+1)/failingParts, func() {
			for _, h := range w.hosts[:failing] {
				h.failing = fails
			}
		})
	}
}

func (w *world) configuration() *basilwork.Configuration {
	c := &basilwork.Configuration{Version: 1, Services: []basilwork.Service{{Name: standby, Standby: true}}}
	for _, s := range w.load.Services {
		c.Services = append(c.Services, basilwork.Service{Name: s.Name, EnforcesCapacity: true})
	}
	for _, q := range w.load.Queues {
		c.Queues = append(c.Queues, basilwork.Queue{
			Name: q.Name, Service: q.Service, MaxAttempts: maxAttempts, Stretch: q.Stretch, Slack: q.Slack,
		})
	}
	return c
}

// addHosts starts the services' hosts and those of the standby pool; where hosts stay, the latter are shared out.
func (w *world) addHosts(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1<<32))
	for n := range w.load.Services {
		for range w.load.Services[n].Hosts {
			w.addHost(w.pools[n], r)
		}
	}
	for n := range w.load.Standby {
		if w.policy == PolicyStatic {
			w.addHost(w.pools[n%len(w.pools)], r)
			continue
		}
		w.addHost(nil, r)
	}
}

func (w *world) addHost(p *pool, r *rand.Rand) {
	h := &host{pool: p, listed: p != nil, factor: 1, runs: nil}
	h.Machine = basilwork.Machine{ID: fmt.Sprintf("host-%03d", len(w.hosts)), Pool: standby, Up: true, State: "up", Resources: w.load.Host}
	if r.Float64() < w.load.Slow {
		h.factor = slowTimes
	}
	w.hosts = append(w.hosts, h)
	w.boot(h, p)
}

// boot starts a backend server on a host, unless the host is off.
func (w *world) boot(h *host, p *pool) {
	w.born++
	h.renew(fmt.Sprintf("backend-%05d", w.born), p)
}

func (w *world) hostOf(backend string) *host {
	for _, h := range w.hosts {
		if h.pool != nil && h.backend.ID == backend {
			return h
		}
	}
	return nil
}

func (w *world) machines() []basilwork.Machine {
	var list []basilwork.Machine
	for _, h := range w.hosts {
		list = append(list, h.Machine)
	}
	return list
}

// decide carries out what the fleet decides.
func (w *world) decide() {
	plan := w.fleet.Decide(w.time())
	for _, p := range w.pools {
		if ask, ok := plan.Requests[p.name]; ok {
			w.after(tellTime, func() { p.takeAsk(ask) })
		}
	}
	for _, o := range plan.Orders {
		w.after(callTime, func() { w.order(o) })
	}
}

// order carries out an order for a host.
func (w *world) order(o basilcapacity.Order) {
	for _, h := range w.hosts {
		if h.ID != o.Machine {
			continue
		}
		h.leave()
		away, target := maintain, h.Pool
		if o.Wave == "" {
			away, target = migrate, o.Pool
			w.figures.Moves++
		}
		h.State, h.Pool = "moving", target
		w.fleet.SetOrderOutcome(o, nil, w.time())
		w.after(away, func() { w.arrive(h, target) })
	}
}

// arrive starts a host's backend server in its pool.
func (w *world) arrive(h *host, target string) {
	h.State = "up"
	h.Up = true
	if target == standby {
		w.boot(h, nil)
		return
	}
	p := w.poolOf(target)
	w.boot(h, p)
	w.after(listTime, func() {
		h.listed = true
		p.list()
	})
}

// askWave has the first hosts maintained.
func (w *world) askWave() {
	wave := basilwork.Wave{ID: "1", Duration: w.length * 8 / 10, MaxCount: w.load.WaveMost}
	for _, h := range w.hosts[:min(w.load.Wave, len(w.hosts))] {
		wave.Machines = append(wave.Machines, h.ID)
	}
	w.fleet.SetWaves([]basilwork.Wave{wave}, nil, w.time())
}

// sample notes how many hosts are paid for and how much of them is used.
func (w *world) sample() {
	if w.now < warmUp {
		return
	}
	m := moment{at: w.now - warmUp}
	for _, h := range w.hosts {
		if h.Pool != standby {
			m.held++
		}
		if h.pool == w.loser() && h.listed {
			m.loser++
		}
		m.used += float64(h.used.CPU) / float64(h.Resources.CPU)
	}
	w.figures.sample(m, fleetEvery)
}
