package basilplacement_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// usageLag is the time from a task's start until workers report its usage.
const usageLag = 30 * time.Second

// simTask is a task on a simulated worker.
type simTask struct {
	cores float64 // actually used
	ends  time.Time
	began time.Time
	state basilplatform.TaskState
	host  string
}

// simPool simulates a set of workers, four per rack, which refuse tasks that
// exceed their free cores.
type simPool struct {
	cores int
	hosts []basilmodel.Host

	mutex    sync.Mutex
	tasks    map[string]*simTask // by job and attempt
	used     map[string]float64
	failing  map[string]bool
	starts   map[string]time.Time // first start, by job
	refusals int
	evicted  int
}

func newSimPool(workers, cores int) *simPool {
	m := &simPool{
		cores: cores, tasks: make(map[string]*simTask), used: make(map[string]float64),
		failing: make(map[string]bool), starts: make(map[string]time.Time),
	}
	for n := range workers {
		id := fmt.Sprintf("w%05d", n)
		m.hosts = append(m.hosts, basilmodel.NewHost(basilmodel.HostRecord{
			ID: id, Address: id, DataCentre: "fukuoka", Rack: fmt.Sprint("r", n/4), State: basilmodel.HostStateActive, Epoch: 1,
		}))
	}
	return m
}

func (m *simPool) Usable(string, time.Time) []basilmodel.Host { return slices.Clone(m.hosts) }

func (m *simPool) All(string) []basilmodel.Host { return m.hosts }

func (m *simPool) listed() []basilplatform.ListedHost {
	var all []basilplatform.ListedHost
	for _, h := range m.hosts {
		all = append(all, basilplatform.ListedHost{ID: h.ID(), Cores: m.cores, MemoryMB: 256 << 10})
	}
	return all
}

// usedShare is the ratio between used and declared cores, by service.
var usedShare = map[string]float64{"quarter": 0.25, "exact": 1, "fourfold": 4}

func taskKey(job string, attempt int) string { return fmt.Sprint(job, "/", attempt) }

func (m *simPool) Start(_ context.Context, address string, x basilplatform.Task) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endFinished()
	cores := float64(x.Cores) * usedShare[x.Service]
	if m.used[address]+cores > float64(m.cores) {
		m.refusals++
		return basilplatform.ErrRefused{Operation: "start", Reason: "full"}
	}
	now := time.Now()
	t := &simTask{cores: cores, host: address, began: now, ends: now.Add(time.Duration(x.DurationGuess) * time.Millisecond), state: basilplatform.TaskStateRunning}
	if m.failing[address] {
		t.state = basilplatform.TaskStateFailed
	} else {
		m.used[address] += cores
	}
	m.tasks[taskKey(x.Job, x.Attempt)] = t
	if _, ok := m.starts[x.Job]; !ok {
		m.starts[x.Job] = now
	}
	return nil
}

// endFinished ends the tasks that have run for their whole duration.
func (m *simPool) endFinished() {
	for _, t := range m.tasks {
		if t.state == basilplatform.TaskStateRunning && !time.Now().Before(t.ends) {
			t.state = basilplatform.TaskStateDone
			m.used[t.host] -= t.cores
		}
	}
}

func (m *simPool) Status(_ context.Context, _, job string, attempt int) (basilplatform.TaskStatus, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endFinished()
	s := basilplatform.TaskStatus{Boot: "boot"}
	if t := m.tasks[taskKey(job, attempt)]; t != nil {
		s.State = t.state
		if time.Since(t.began) >= usageLag {
			s.UsageCores = t.cores
		}
	}
	return s, nil
}

func (m *simPool) Stop(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	m.mutex.Lock()
	m.endFinished()
	k := taskKey(job, attempt)
	if t := m.tasks[k]; t == nil {
		m.tasks[k] = &simTask{state: basilplatform.TaskStateNotStarted}
	} else if t.state == basilplatform.TaskStateRunning {
		t.state = basilplatform.TaskStateStopped
		m.used[t.host] -= t.cores
		m.evicted++
	}
	m.mutex.Unlock()
	return m.Status(ctx, address, job, attempt)
}

func (m *simPool) Renew(context.Context, string, string, int, time.Duration) error { return nil }

func (m *simPool) Checkpoint(context.Context, string, string, int) error { return nil }

func (m *simPool) Throttle(context.Context, string, string, int, float64) error { return nil }

// utilization returns the share of the pool's cores that are in use.
func (m *simPool) utilization() float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endFinished()
	var sum float64
	for _, u := range m.used {
		sum += u
	}
	return sum / float64(m.cores*len(m.hosts))
}

// randomPlacer is a baseline that chooses workers at random.
type randomPlacer struct {
	pool   *simPool
	random *rand.Rand
}

func (p *randomPlacer) Place(_ context.Context, _ basiljob.PlacementRequest) (basiljob.Placement, error) {
	h := p.pool.hosts[p.random.IntN(len(p.pool.hosts))]
	return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: 1}, nil
}

// firstFitPlacer is a baseline that chooses the first worker with enough free cores for the declared ones.
type firstFitPlacer struct {
	pool  *simPool
	mutex sync.Mutex
	hosts map[string]string // job to host
	cores map[string]int    // by job
	used  map[string]int    // by host
}

func (p *firstFitPlacer) Place(_ context.Context, r basiljob.PlacementRequest) (basiljob.Placement, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.release(r.ID.String())
	for _, h := range p.pool.hosts {
		if slices.Contains(r.Exclude, h.ID()) || p.used[h.ID()]+r.Cores > p.pool.cores {
			continue
		}
		p.used[h.ID()] += r.Cores
		p.hosts[r.ID.String()], p.cores[r.ID.String()] = h.ID(), r.Cores
		return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: 1}, nil
	}
	return basiljob.Placement{}, basiljob.ErrNothingFree{RetryAfter: 2 * time.Second}
}

func (p *firstFitPlacer) Observe(x basiljob.Observation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if x.Event != basiljob.TaskEventRunning {
		p.release(x.ID.String())
	}
}

func (p *firstFitPlacer) release(job string) {
	p.used[p.hosts[job]] -= p.cores[job]
	delete(p.hosts, job)
	delete(p.cores, job)
}
