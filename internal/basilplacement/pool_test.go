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

// usageLag is how late workers report usage.
const usageLag = 30 * time.Second

// modelTask is a task on a worker of the model.
type modelTask struct {
	cores float64 // really taken
	ends  time.Time
	began time.Time
	state basilplatform.TaskState
	host  string
}

// modelPool is a set of workers, four to a rack, which refuse what they have no room for.
type modelPool struct {
	cores int
	hosts []basilmodel.Host

	mutex    sync.Mutex
	tasks    map[string]*modelTask // by job and attempt
	used     map[string]float64
	failing  map[string]bool
	starts   map[string]time.Time // of jobs
	refusals int
	stopped  int
}

func newModelPool(workers, cores int) *modelPool {
	m := &modelPool{
		cores: cores, tasks: make(map[string]*modelTask), used: make(map[string]float64),
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

func (m *modelPool) Usable(string, time.Time) []basilmodel.Host { return slices.Clone(m.hosts) }

func (m *modelPool) All(string) []basilmodel.Host { return m.hosts }

func (m *modelPool) listed() []basilplatform.ListedHost {
	var all []basilplatform.ListedHost
	for _, h := range m.hosts {
		all = append(all, basilplatform.ListedHost{ID: h.ID(), Cores: m.cores, MemoryMB: 256 << 10})
	}
	return all
}

// misjudged is by what the declared cores of a service are off.
var misjudged = map[string]float64{"quarter": 0.25, "exact": 1, "fourfold": 4}

func modelKey(job string, attempt int) string { return fmt.Sprint(job, "/", attempt) }

func (m *modelPool) Start(_ context.Context, address string, x basilplatform.Task) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.settle()
	cores := float64(x.Cores) * misjudged[x.Service]
	if m.used[address]+cores > float64(m.cores) {
		m.refusals++
		return basilplatform.ErrRefused{Operation: "start", Reason: "full"}
	}
	now := time.Now()
	t := &modelTask{cores: cores, host: address, began: now, ends: now.Add(time.Duration(x.DurationGuess) * time.Millisecond), state: basilplatform.TaskStateRunning}
	if m.failing[address] {
		t.state = basilplatform.TaskStateFailed
	} else {
		m.used[address] += cores
	}
	m.tasks[modelKey(x.Job, x.Attempt)] = t
	if _, ok := m.starts[x.Job]; !ok {
		m.starts[x.Job] = now
	}
	return nil
}

// settle ends the tasks whose time is over.
func (m *modelPool) settle() {
	for _, t := range m.tasks {
		if t.state == basilplatform.TaskStateRunning && !time.Now().Before(t.ends) {
			t.state = basilplatform.TaskStateDone
			m.used[t.host] -= t.cores
		}
	}
}

func (m *modelPool) Status(_ context.Context, _, job string, attempt int) (basilplatform.TaskStatus, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.settle()
	s := basilplatform.TaskStatus{Boot: "boot"}
	if t := m.tasks[modelKey(job, attempt)]; t != nil {
		s.State = t.state
		if time.Since(t.began) >= usageLag {
			s.UsageCores = t.cores
		}
	}
	return s, nil
}

func (m *modelPool) Stop(ctx context.Context, address, job string, attempt int) (basilplatform.TaskStatus, error) {
	m.mutex.Lock()
	m.settle()
	k := modelKey(job, attempt)
	if t := m.tasks[k]; t == nil {
		m.tasks[k] = &modelTask{state: basilplatform.TaskStateNotStarted}
	} else if t.state == basilplatform.TaskStateRunning {
		t.state = basilplatform.TaskStateStopped
		m.used[t.host] -= t.cores
		m.stopped++
	}
	m.mutex.Unlock()
	return m.Status(ctx, address, job, attempt)
}

func (m *modelPool) Renew(context.Context, string, string, int, time.Duration) error { return nil }

func (m *modelPool) Checkpoint(context.Context, string, string, int) error { return nil }

func (m *modelPool) Throttle(context.Context, string, string, int, float64) error { return nil }

// packing returns the share of the pool's cores that are taken.
func (m *modelPool) packing() float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.settle()
	var sum float64
	for _, u := range m.used {
		sum += u
	}
	return sum / float64(m.cores*len(m.hosts))
}

// randomPlacer is the baseline that knows nothing.
type randomPlacer struct {
	pool   *modelPool
	random *rand.Rand
}

func (p *randomPlacer) Place(_ context.Context, _ basiljob.PlacementRequest) (basiljob.Placement, error) {
	h := p.pool.hosts[p.random.IntN(len(p.pool.hosts))]
	return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: 1}, nil
}

// firstFitPlacer is the baseline that takes the first worker with room for the declared size.
type firstFitPlacer struct {
	pool  *modelPool
	mutex sync.Mutex
	held  map[string]string // job to host
	cores map[string]int    // by job
	used  map[string]int    // by host
}

func (p *firstFitPlacer) Place(_ context.Context, r basiljob.PlacementRequest) (basiljob.Placement, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.drop(r.ID.String())
	for _, h := range p.pool.hosts {
		if slices.Contains(r.Exclude, h.ID()) || p.used[h.ID()]+r.Cores > p.pool.cores {
			continue
		}
		p.used[h.ID()] += r.Cores
		p.held[r.ID.String()], p.cores[r.ID.String()] = h.ID(), r.Cores
		return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: 1}, nil
	}
	return basiljob.Placement{}, basiljob.ErrNothingFree{RetryAfter: 2 * time.Second}
}

func (p *firstFitPlacer) Observe(x basiljob.Observation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if x.Event != basiljob.TaskEventRunning {
		p.drop(x.ID.String())
	}
}

func (p *firstFitPlacer) drop(job string) {
	p.used[p.held[job]] -= p.cores[job]
	delete(p.held, job)
	delete(p.cores, job)
}
