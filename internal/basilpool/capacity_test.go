package basilpool

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilmodel"
)

// simulatedFleet describes a user's fleet whose pools have demand peaks one after the other.
type simulatedFleet struct {
	pools        []int // initial hosts of each pool; the last one is the spare pool
	minAvailable int
	dataCentres  int
	peak         [2]time.Duration // shortest and longest peak
	overlap      time.Duration    // how much earlier or later the next peak may begin
	move         time.Duration    // time from the decision to the first job in the new pool
}

var simulatedFleets = map[string]simulatedFleet{
	"hinokuni":    {pools: []int{8, 9, 10, 11, 12}, minAvailable: 4, dataCentres: 3, peak: [2]time.Duration{3 * time.Second, 8 * time.Second}, overlap: 2 * time.Second, move: 15 * time.Second},
	"association": {pools: []int{12, 10, 8, 9, 11}, minAvailable: 4, dataCentres: 4, peak: [2]time.Duration{5 * time.Second, 12 * time.Second}, overlap: 3 * time.Second, move: 20 * time.Second},
}

const (
	peakFactor    = 5   // of the mean
	idleFactor    = .05 // of the mean
	peakRatio     = 1.3 // peak demand relative to the pool's initial size
	simWarmUp     = time.Hour
	simEnd        = 7 * time.Hour
	decideEvery   = 10 * time.Second
	failureEvery  = 3 * time.Hour // on average
	failureRepair = time.Hour
)

// simulation simulates a fleet in steps of a second, without table and network.
type simulation struct {
	simulatedFleet
	random   *rand.Rand
	start    time.Time
	now      time.Time
	state    CapacityState
	sketch   DemandSketch
	arrives  map[string]time.Time // hosts moving or under repair
	nextPool int
	peakEnds []time.Duration // end of each pool's peak
	nextPeak time.Duration   // start of the next peak

	held, served, asked, unmet float64 // host seconds
	moves                      int
}

func newSimulation(m simulatedFleet, seed uint64) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &simulation{
		simulatedFleet: m, random: rand.New(rand.NewPCG(seed, 2)), start: start, now: start,
		arrives: make(map[string]time.Time), peakEnds: make([]time.Duration, len(m.pools)),
	}
	s.state.Demand = &s.sketch
	var c basilmodel.ConfigurationRecord
	for n, size := range m.pools {
		name := poolName(n)
		c.Pools = append(c.Pools, basilmodel.Pool{Name: name, Spare: n == len(m.pools)-1})
		c.Services = append(c.Services, basilmodel.Service{Name: name, Pool: name, MinAvailable: m.minAvailable})
		for range size {
			id := len(s.state.Hosts)
			s.state.Hosts = append(s.state.Hosts, basilmodel.NewHost(basilmodel.HostRecord{
				ID: fmt.Sprintf("h%02d", id), Rack: fmt.Sprintf("r%02d", id/4), DataCentre: fmt.Sprintf("dc%d", id/4%m.dataCentres),
				Pool: name, State: basilmodel.HostStateActive, Epoch: 1,
			}))
		}
	}
	s.state.Configuration = basilmodel.NewConfiguration(c)
	return s
}

func poolName(n int) string { return fmt.Sprintf("p%d", n) }

// demand returns the current demand of each pool, in hosts.
func (s *simulation) demand() []float64 {
	elapsed := s.now.Sub(s.start)
	if elapsed >= s.nextPeak {
		length := s.peak[0] + time.Duration(s.random.Int64N(int64(s.peak[1]-s.peak[0])))
		s.peakEnds[s.nextPool] = elapsed + length
		s.nextPool = (s.nextPool + 1) % len(s.peakEnds)
		s.nextPeak = elapsed + length + time.Duration((s.random.Float64()*2-1)*float64(s.overlap))
	}
	asked := make([]float64, len(s.pools))
	for n, size := range s.pools {
		mean := peakRatio * float64(size) / peakFactor
		asked[n] = mean * idleFactor
		if elapsed < s.peakEnds[n] {
			asked[n] = mean * peakFactor
		}
		asked[n] *= 0.9 + 0.2*s.random.Float64()
	}
	return asked
}

// advanceHosts completes moves and repairs that are due, and makes hosts fail at random.
func (s *simulation) advanceHosts() {
	for n, h := range s.state.Hosts {
		r := h.Record()
		if due, ok := s.arrives[h.ID()]; ok && !s.now.Before(due) {
			delete(s.arrives, h.ID())
			if r.Target != "" {
				r.Pool, r.Target = r.Target, ""
			}
			r.State = basilmodel.HostStateActive
			s.state.Hosts[n] = basilmodel.NewHost(r)
		}
	}
	if s.random.Float64() < 1/failureEvery.Seconds() {
		n := s.random.IntN(len(s.state.Hosts))
		r := s.state.Hosts[n].Record()
		r.State, r.Target, r.Since = basilmodel.HostStateFailed, "", s.now
		s.state.Hosts[n] = basilmodel.NewHost(r)
		s.arrives[r.ID] = s.now.Add(failureRepair)
	}
}

func (s *simulation) startMoves(proposals []Proposal) {
	for _, p := range proposals {
		for n, h := range s.state.Hosts {
			if h.ID() != p.Host {
				continue
			}
			r := h.Record()
			r.State, r.Target, r.Since = basilmodel.HostStateLeaving, p.Target, s.now
			s.state.Hosts[n] = basilmodel.NewHost(r)
			s.arrives[r.ID] = s.now.Add(s.move)
			s.moves++
		}
	}
}

func (s *simulation) activeHosts() []int {
	active := make([]int, len(s.pools))
	for _, h := range s.state.Hosts {
		for n := range active {
			if h.InService() && h.Pool() == poolName(n) {
				active[n]++
			}
		}
	}
	return active
}

// serve serves the demand from each pool's own hosts and from up to the given number of shared hosts of the spare pool.
func (s *simulation) serve(asked []float64, active []int, shared, held float64) {
	over := 0.0
	served := 0.0
	for n, d := range asked {
		own := min(d, float64(active[n]))
		served += own
		over += d - own
	}
	last := len(asked) - 1
	spilled := min(over, shared, max(float64(active[last])-asked[last], 0))
	if s.now.Sub(s.start) < simWarmUp {
		return
	}
	s.held += held
	s.served += served + spilled
	s.asked += served + over
	s.unmet += over - spilled
}

// policy proposes moves, and returns how many hosts of the spare pool are shared and how many hosts are held in total.
type policy func(s *simulation, asked []float64, active []int) (proposals []Proposal, shared, held float64)

// static sizes each pool for its own peak.
func static(s *simulation, _ []float64, active []int) ([]Proposal, float64, float64) {
	held := 0.0
	for n, size := range s.pools {
		active[n] = int(math.Ceil(float64(size) * peakRatio * 1.1))
		held += float64(active[n])
	}
	return nil, 0, held
}

// noMoves makes no moves.
func noMoves(s *simulation, _ []float64, _ []int) ([]Proposal, float64, float64) {
	return nil, 0, float64(len(s.state.Hosts))
}

// threshold moves a host to each pool above a high utilization mark from the least utilized pool below a low mark.
func threshold(s *simulation, asked []float64, active []int) ([]Proposal, float64, float64) {
	held := float64(len(s.state.Hosts))
	if s.now.Sub(s.start)%decideEvery != 0 {
		return nil, 0, held
	}
	var proposals []Proposal
	for n := range asked {
		if asked[n] < 0.8*float64(active[n]) {
			continue
		}
		idlest := -1
		for k := range asked {
			low := asked[k] < 0.2*float64(active[k]) && active[k] > s.minAvailable
			if low && (idlest < 0 || asked[k]/float64(active[k]) < asked[idlest]/float64(active[idlest])) {
				idlest = k
			}
		}
		if idlest < 0 {
			continue
		}
		for _, h := range s.state.Hosts {
			if h.InService() && h.Pool() == poolName(idlest) {
				proposals = append(proposals, Proposal{Host: h.ID(), Target: poolName(n)})
				active[idlest]--
				break
			}
		}
	}
	return proposals, 0, held
}

// thresholdShared is threshold with the whole spare pool shared by all pools.
func thresholdShared(s *simulation, asked []float64, active []int) ([]Proposal, float64, float64) {
	proposals, _, held := threshold(s, asked, active)
	return proposals, math.Inf(1), held
}

// sharedBuffer is the policy of this package; hosts beyond the buffer are free for other work and don't serve demand here.
func sharedBuffer(s *simulation, asked []float64, active []int) ([]Proposal, float64, float64) {
	d := Demand{Pools: make(map[string]float64)}
	for n := range asked {
		d.Pools[poolName(n)] = asked[n]
		d.Overflow += max(asked[n]-float64(active[n]), 0)
	}
	s.sketch.Observe(d, s.now)
	_, spare := poolNeeds(s.state, s.now)
	buffer := float64(Buffer(s.state))
	held := buffer + float64(spare.need)
	for n := range len(active) - 1 {
		held += float64(active[n])
	}
	var proposals []Proposal
	if s.now.Sub(s.start)%decideEvery == 0 {
		proposals = ProposeMoves(s.state, s.now)
	}
	return proposals, buffer, min(held, float64(len(s.state.Hosts)))
}

func (s *simulation) run(p policy) {
	for s.now.Sub(s.start) < simEnd {
		s.advanceHosts()
		asked, active := s.demand(), s.activeHosts()
		proposals, open, held := p(s, asked, active)
		s.serve(asked, active, open, held)
		s.startMoves(proposals)
		s.now = s.now.Add(time.Second)
	}
}

// BenchmarkCapacity compares policies by the hosts that they hold and the demand that they leave unserved.
func BenchmarkCapacity(b *testing.B) {
	policies := []struct {
		name string
		run  policy
	}{
		{"static-for-peaks", static},
		{"pools-untouched", noMoves},
		{"threshold", threshold},
		{"threshold-and-shared-spare", thresholdShared},
		{"shared-buffer", sharedBuffer},
	}
	for _, name := range []string{"hinokuni", "association"} {
		for _, p := range policies {
			b.Run(name+"/"+p.name, func(b *testing.B) {
				for b.Loop() {
					s := newSimulation(simulatedFleets[name], 1)
					s.run(p.run)
					hours := (simEnd - simWarmUp).Hours()
					b.ReportMetric(s.held/3600/hours, "hosts-held")
					b.ReportMetric((s.held-s.served)/3600/hours, "buffer-host-h/h")
					b.ReportMetric(float64(s.moves)/simEnd.Hours(), "moves/h")
					b.ReportMetric(100*s.unmet/s.asked, "unmet-%")
				}
			})
		}
	}
}

// noHistory names the test case without observed demand.
const noHistory = "no host is released before demand is known"

func TestDecide(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	tests := []struct {
		name   string
		pools  []int
		change func(s *simulation)
		moves  []string // pool > target
	}{
		{"pools at their need stay unchanged", []int{5, 5, 9}, func(*simulation) {}, nil},
		{"a single surplus host stays", []int{6, 5, 9}, func(*simulation) {}, nil},
		{"a larger surplus goes to the spare pool", []int{7, 5, 9}, func(*simulation) {}, []string{"p0>p2"}},
		{noHistory, []int{7, 5, 9}, func(*simulation) {}, nil},
		{"concurrent moves are limited", []int{12, 12, 9}, func(*simulation) {}, []string{"p0>p2", "p0>p2", "p0>p2", "p0>p2"}},
		{"a short buffer takes a single surplus host", []int{6, 5, 9}, func(s *simulation) {
			s.sketch.Observe(Demand{Overflow: 8}, now)
		}, []string{"p0>p2"}},
		{"sustained demand gets hosts", []int{5, 5, 9}, func(s *simulation) {
			for range 2 {
				s.sketch.Observe(Demand{Pools: map[string]float64{"p1": 6.5}}, now)
			}
		}, []string{"p2>p1", "p2>p1"}},
		{"a host that has just failed is not replaced", []int{5, 5, 9}, func(s *simulation) {
			s.fail(0, now.Add(-time.Minute))
		}, nil},
		{"a host that failed long ago is replaced", []int{5, 5, 9}, func(s *simulation) { s.fail(0, now.Add(-time.Hour)) }, []string{"p2>p0"}},
		{"the spare pool keeps the hosts that it needs", []int{4, 4, 5}, func(*simulation) {}, nil},
		{"no move violates a budget", []int{7, 5, 9}, func(s *simulation) {
			for n := range 3 {
				s.fail(n, now.Add(-time.Minute))
			}
		}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(simulatedFleet{pools: tt.pools, minAvailable: 4, dataCentres: 2}, 1)
			if tt.name != noHistory {
				s.sketch.Observe(Demand{}, now.Add(-time.Hour))
			}
			tt.change(s)
			var moves []string
			for _, p := range ProposeMoves(s.state, now) {
				for _, h := range s.state.Hosts {
					if h.ID() == p.Host {
						moves = append(moves, h.Pool()+">"+p.Target)
					}
				}
			}
			must.Eq(t, tt.moves, moves)
		})
	}
}

func (s *simulation) fail(n int, at time.Time) {
	r := s.state.Hosts[n].Record()
	r.State, r.Since = basilmodel.HostStateFailed, at
	s.state.Hosts[n] = basilmodel.NewHost(r)
}
