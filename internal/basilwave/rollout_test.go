package basilwave

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
)

// site describes a fleet for a rollout in simulated time.
type site struct {
	hosts, pools, dataCentres int
	minShare                  float64 // minimum of available hosts, as a share of the pool
	failuresPerDay            float64
	rackLossesPerWeek         float64
	tick                      time.Duration
}

var (
	smallSite = site{hosts: 50, pools: 5, dataCentres: 3, minShare: 0.7, failuresPerDay: 0.8, rackLossesPerWeek: 14, tick: 10 * time.Second}
	tightSite = site{hosts: 50, pools: 5, dataCentres: 3, minShare: 0.8, failuresPerDay: 0.8, rackLossesPerWeek: 14, tick: 10 * time.Second}
	largeSite = site{hosts: 13_000, pools: 23, dataCentres: 20, minShare: 0.96, failuresPerDay: 200, rackLossesPerWeek: 1, tick: 10 * time.Minute}
)

const (
	hostsPerRack  = 4
	simReboot     = 10 * time.Minute
	simShortDrain = 2 * time.Minute
	simLongDrain  = 4 * time.Hour // mean duration of long jobs; 1 in 20 hosts runs one
	simRepair     = 8 * time.Hour
	simLimit      = 49 * 24 * time.Hour
)

// rollout simulates one wave over a site, without a table or network.
type rollout struct {
	site
	random  *rand.Rand
	plan    func(State, time.Time) []Step
	state   State
	now     time.Time
	ready   []time.Time // per host: when its drain, reboot or repair ends
	steps   int
	deficit time.Duration // host time below the minimum of available hosts
	elapsed time.Duration
}

func newRollout(s site, w basilmodel.WaveRecord, seed uint64, plan func(State, time.Time) []Step) *rollout {
	r := &rollout{site: s, random: rand.New(rand.NewPCG(seed, 1)), plan: plan, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	var c basilmodel.ConfigurationRecord
	counts := make([]int, s.pools)
	for n := range s.hosts {
		pool := (n + n/hostsPerRack) % s.pools // spreads the pools over the racks
		counts[pool]++
		r.state.Hosts = append(r.state.Hosts, basilmodel.NewHost(basilmodel.HostRecord{
			ID: fmt.Sprintf("h%05d", n), Rack: fmt.Sprintf("r%04d", n/hostsPerRack), DataCentre: fmt.Sprintf("dc%02d", n/hostsPerRack%s.dataCentres),
			Pool: fmt.Sprintf("p%02d", pool), State: basilmodel.HostStateActive, Epoch: 1, Registered: 1,
		}))
	}
	for n, count := range counts {
		name := fmt.Sprintf("p%02d", n)
		c.Pools = append(c.Pools, basilmodel.Pool{Name: name})
		c.Services = append(c.Services, basilmodel.Service{Name: name, Pool: name, MinAvailable: int(float64(count) * s.minShare)})
	}
	w.Name, w.Started, w.State = "w", 2, basilmodel.WaveStateRunning
	r.state.Configuration = basilmodel.NewConfiguration(c)
	r.state.Waves = []basilmodel.Wave{basilmodel.NewWave(w)}
	r.ready = make([]time.Time, s.hosts)
	return r
}

// run simulates until the wave is complete or simLimit is reached.
func (r *rollout) run() {
	for r.elapsed < simLimit {
		r.failHosts()
		r.returnRepaired()
		r.addDeficit()
		r.state.Facts = r.facts()
		for _, s := range r.plan(r.state, r.now) {
			if s.Kind == StepKindComplete {
				return
			}
			r.apply(s)
		}
		r.now = r.now.Add(r.tick)
		r.elapsed += r.tick
	}
}

func (r *rollout) facts() map[string]Facts {
	facts := make(map[string]Facts)
	for n, h := range r.state.Hosts {
		if !h.InService() {
			finished := !r.now.Before(r.ready[n])
			facts[h.ID()] = Facts{NoNewWork: true, Drained: finished, RebootRequested: true, Rebooted: finished}
		}
	}
	return facts
}

func (r *rollout) apply(s Step) {
	n, ok := slices.BinarySearchFunc(r.state.Hosts, s.Host, func(h basilmodel.Host, id string) int {
		return cmp.Compare(h.ID(), id)
	})
	if !ok {
		return // a step on the wave, which has no host; the allowed failures are not limited here
	}
	r.steps++
	h := r.state.Hosts[n].Record()
	h.Epoch++
	h.Since = r.now
	switch s.Kind {
	case StepKindDrain:
		h.State, h.Cause, h.Wave = basilmodel.HostStateLeaving, basilmodel.OutCauseWave, s.Wave
		r.ready[n] = r.now.Add(r.drainTime())
	case StepKindDrained:
		h.State = basilmodel.HostStateDrained
	case StepKindMaintain:
		h.State = basilmodel.HostStateMaintenance
		h.Maintained = 3
		r.ready[n] = r.now.Add(simReboot)
	case StepKindFinish, StepKindReturn:
		h.State, h.Cause, h.Wave = basilmodel.HostStateActive, basilmodel.OutCauseNone, ""
	}
	r.state.Hosts[n] = basilmodel.NewHost(h)
}

func (r *rollout) drainTime() time.Duration {
	mean := simShortDrain
	if r.random.IntN(20) == 0 {
		mean = simLongDrain
	}
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

func (r *rollout) failHosts() {
	day := r.tick.Hours() / 24
	for range r.eventCount(r.failuresPerDay * day) {
		r.failHost(r.random.IntN(r.hosts))
	}
	for range r.eventCount(r.rackLossesPerWeek / 7 * day) {
		rack := r.random.IntN(r.hosts/hostsPerRack) * hostsPerRack
		for n := range hostsPerRack {
			r.failHost(rack + n)
		}
	}
}

// eventCount returns a random number of events in one tick, given their mean number.
func (r *rollout) eventCount(mean float64) int {
	n := int(mean)
	if r.random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

func (r *rollout) failHost(n int) {
	h := r.state.Hosts[n].Record()
	if h.State == basilmodel.HostStateMaintenance {
		h.Maintained = 0
	}
	h.State, h.Cause, h.Wave = basilmodel.HostStateFailed, basilmodel.OutCauseFailure, ""
	h.Epoch++
	r.state.Hosts[n] = basilmodel.NewHost(h)
	r.ready[n] = r.now.Add(simRepair)
}

func (r *rollout) returnRepaired() {
	for n, h := range r.state.Hosts {
		if h.State() == basilmodel.HostStateFailed && !r.now.Before(r.ready[n]) {
			r.apply(Step{Kind: StepKindReturn, Host: h.ID()})
		}
	}
}

func (r *rollout) addDeficit() {
	for _, l := range poolLoads(r.state) {
		if l.surplus() < 0 {
			r.deficit += time.Duration(-l.surplus()) * r.tick
		}
	}
}

// oneRackAtATime is the baseline for the planner: it maintains one rack after the
// other, without a reserve.
func oneRackAtATime(s State, now time.Time) []Step {
	p := newPlan(s, now)
	p.dropReserves()
	p.advanceHosts()
	for _, w := range s.Waves {
		work := newWaveWork(w, s.Hosts)
		if work.pending == 0 {
			p.addWaveStep(StepKindComplete, w, "")
		}
		for _, r := range work.racks {
			if work.busy > 0 || p.drainRack(w, r) > 0 {
				break
			}
		}
	}
	return p.steps
}

// BenchmarkRollout measures how long a wave takes and how far services fall below
// their minimum of available hosts.
func BenchmarkRollout(b *testing.B) {
	planner := Planner{}.Plan
	plans := []struct {
		name string
		wave basilmodel.WaveRecord
		plan func(State, time.Time) []Step
	}{
		{"one-rack-at-a-time", basilmodel.WaveRecord{}, oneRackAtATime},
		{"planner/rack-batch=1", basilmodel.WaveRecord{RackBatch: 1}, planner},
		{"planner/rack-batch=2", basilmodel.WaveRecord{RackBatch: 2}, planner},
		{"planner/rack-batch=4", basilmodel.WaveRecord{RackBatch: 4}, planner},
		{"planner/rack-batch=4/no-reserve", basilmodel.WaveRecord{RackBatch: 4}, Planner{noReserve: true}.Plan},
	}
	sites := []struct {
		name  string
		site  site
		seeds uint64
	}{{"50", smallSite, 40}, {"50-tight", tightSite, 40}, {"13000", largeSite, 1}}
	for _, s := range sites {
		for _, p := range plans {
			b.Run(fmt.Sprintf("hosts=%s/%s", s.name, p.name), func(b *testing.B) {
				for b.Loop() {
					var hours, deficit, steps float64
					for seed := range s.seeds {
						p.wave.FailuresAllowed = s.site.hosts
						r := newRollout(s.site, p.wave, seed, p.plan)
						r.run()
						hours += r.elapsed.Hours()
						deficit += r.deficit.Hours()
						steps += float64(r.steps)
					}
					n := float64(s.seeds)
					b.ReportMetric(hours/n, "rollout-h")
					b.ReportMetric(deficit/n, "deficit-host-h")
					b.ReportMetric(steps/n, "steps")
				}
			})
		}
	}
}

// BenchmarkPlan measures the time for one plan in the middle of a wave.
func BenchmarkPlan(b *testing.B) {
	r := newRollout(largeSite, basilmodel.WaveRecord{RackBatch: 2, FailuresAllowed: largeSite.hosts}, 1, Planner{}.Plan)
	for range 100 {
		r.failHosts()
		r.state.Facts = r.facts()
		for _, s := range r.plan(r.state, r.now) {
			r.apply(s)
		}
		r.now = r.now.Add(r.tick)
	}
	b.ReportAllocs()
	for b.Loop() {
		r.plan(r.state, r.now)
	}
}
