package basilplacement

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// Limits of a Placer.
const (
	placementRetryDelay   = 2 * time.Second
	reserveOneIn          = 16              // one in this many workers is reserved for urgent tasks
	reserveMinWorkers     = 8               // minimum of workers in a data centre for a reservation
	reserveByShare        = 500             // from this many workers on, a share of the rank range replaces exact counting
	refusalBackoffInitial = 5 * time.Second // period in which a worker counts as full after a refusal, doubled each time
	refusalBackoffMax     = 80 * time.Second
	maxFailedJobs         = 10_000 // maximum number of jobs whose failures are remembered
)

// Fleet returns the workers of a service.
type Fleet interface {
	// Usable returns the hosts that may receive work now. The caller may modify the slice.
	Usable(service string, now time.Time) []basilmodel.Host
	// All returns the hosts that can run the service, usable now or not.
	All(service string) []basilmodel.Host
}

// allocation is the room that a task occupies on its worker.
type allocation struct {
	host string
	size Size
}

// refusal is the smallest size that a worker refused recently.
type refusal struct {
	size    Size
	until   time.Time
	backoff time.Duration
}

// Placer chooses workers based on their listed capacity and on the observed tasks of its entry host.
type Placer struct {
	fleet      Fleet
	dataCentre string
	random     func(n int) int

	mutex      sync.Mutex
	capacities map[string]Size
	usage      map[string]*usageRatio
	tasks      map[basilapi.JobID]allocation
	used       map[string]Size
	refused    map[string]refusal
	health     map[string]*health
	failedOn   map[basilapi.JobID][]string
	poolSize   int // usable workers for the service that was placed last
}

var (
	_ basiljob.Observer = (*Placer)(nil)
	_ basiljob.Evictor  = (*Placer)(nil)
)

// NewPlacer returns a Placer for an entry host in the data centre. random returns a
// number from 0 up to, but not including, n.
func NewPlacer(f Fleet, dataCentre string, random func(n int) int) *Placer {
	return &Placer{
		fleet: f, dataCentre: dataCentre, random: random,
		capacities: make(map[string]Size), usage: make(map[string]*usageRatio),
		tasks: make(map[basilapi.JobID]allocation), used: make(map[string]Size),
		refused: make(map[string]refusal), health: make(map[string]*health),
		failedOn: make(map[basilapi.JobID][]string),
	}
}

// Learn updates the capacities of the hosts from the platform's host list.
func (p *Placer) Learn(listed []basilplatform.ListedHost) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range listed {
		p.capacities[l.ID] = Size{Cores: float64(l.Cores), MemoryMB: l.MemoryMB}
	}
}

// Place returns the worker for the next attempt, and allocates the room on it until the task ends.
//
// It returns basiljob.ErrNothingFree or basiljob.ErrFitsNoHost if there is none.
func (p *Placer) Place(_ context.Context, r basiljob.PlacementRequest) (basiljob.Placement, error) {
	now := time.Now()
	usable := p.fleet.Usable(r.Service, now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.poolSize = len(usable)
	p.release(r.ID)
	size, err := p.placementSize(usable, r)
	if err != nil {
		return basiljob.Placement{}, err
	}
	usable = slices.DeleteFunc(usable, func(h basilmodel.Host) bool { return slices.Contains(r.Exclude, h.ID()) })
	n := slices.IndexFunc(usable, func(h basilmodel.Host) bool { return h.ID() == r.Prefer })
	if n < 0 || !p.capacities[r.Prefer].sub(p.used[r.Prefer]).covers(size) {
		n = Choose(p.candidates(usable, now), size, r.Urgent, p.random)
	}
	if n < 0 {
		return basiljob.Placement{}, errors.WithStack(basiljob.ErrNothingFree{RetryAfter: placementRetryDelay})
	}
	h := usable[n]
	p.allocate(r.ID, allocation{host: h.ID(), size: size})
	p.probe(h.ID(), now)
	return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: h.Epoch()}, nil
}

// Evict returns the smallest of the candidates whose task is at least as large as
// the request, and whether there is one.
func (p *Placer) Evict(r basiljob.PlacementRequest, candidates []basilapi.JobID) (basilapi.JobID, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	size := p.usage[r.Service].expectedSize(r.Cores, r.MemoryMB)
	var best basilapi.JobID
	for _, id := range candidates {
		t, ok := p.tasks[id]
		if !ok || !t.size.covers(size) || slices.Contains(r.Exclude, t.host) && !p.refusedRecently(t.host) {
			continue
		}
		if best.IsZero() || t.size.Cores < p.tasks[best].size.Cores {
			best = id
		}
	}
	return best, !best.IsZero()
}

// refusedRecently reports whether the worker refused a task recently. Such a worker may be
// tried again for the task once another one is evicted.
func (p *Placer) refusedRecently(host string) bool {
	_, refused := p.refused[host]
	return refused
}

// placementSize returns the size by which to place the task: the expected one, or
// the declared one if only that fits a host.
//
// It returns ErrFitsNoHost if neither fits any host of the service.
func (p *Placer) placementSize(usable []basilmodel.Host, r basiljob.PlacementRequest) (Size, error) {
	declared := (*usageRatio)(nil).expectedSize(r.Cores, r.MemoryMB)
	expected := p.usage[r.Service].expectedSize(r.Cores, r.MemoryMB)
	for _, s := range []Size{expected, declared} {
		if p.fitsAny(usable, s) {
			return s, nil
		}
	}
	all := p.fleet.All(r.Service)
	for _, s := range []Size{expected, declared} {
		if len(all) == 0 || p.fitsAny(all, s) { // without any host the fleet is still unknown
			return s, nil
		}
	}
	e := basiljob.ErrFitsNoHost{Service: r.Service, Cores: r.Cores, MemoryMB: r.MemoryMB}
	for _, h := range all {
		c := p.capacities[h.ID()]
		e.LargestCores = max(e.LargestCores, int(c.Cores))
		e.LargestMemory = max(e.LargestMemory, c.MemoryMB)
	}
	return Size{}, errors.WithStack(e)
}

// fitsAny reports whether the size fits the capacity of any of the hosts. An unknown capacity fits every size.
func (p *Placer) fitsAny(hosts []basilmodel.Host, s Size) bool {
	return slices.ContainsFunc(hosts, func(h basilmodel.Host) bool {
		c := p.capacities[h.ID()]
		return c.Cores == 0 || c.covers(s)
	})
}

// candidates returns the hosts as candidates for Choose. The caller must hold the mutex.
func (p *Placer) candidates(usable []basilmodel.Host, now time.Time) []Worker {
	racks := make(map[string]int)
	for _, h := range usable {
		if p.used[h.ID()].Cores > 0 {
			racks[h.Rack()]++
		}
	}
	limits := reservedRanks(usable)
	all := make([]Worker, len(usable))
	for n, h := range usable {
		capacity := p.capacities[h.ID()]
		w := Worker{
			Capacity: capacity, Free: capacity.sub(p.used[h.ID()]), BusyOnRack: racks[h.Rack()],
			Remote: h.DataCentre() != p.dataCentre, Reserved: rank(h) < limits[h.DataCentre()],
		}
		if s := p.health[h.ID()]; s != nil {
			w.Ejected, w.Suspect = now.Before(s.ejectedUntil), now.Before(s.suspectUntil)
		}
		if r := p.refused[h.ID()]; now.Before(r.until) {
			w.Refused = r.size
		}
		all[n] = w
	}
	return all
}

// rank returns a hash of the host ID, which orders the workers in the same way on
// all entry hosts.
func rank(h basilmodel.Host) uint64 { return xxhash.Sum64String(h.ID()) }

// reservedRanks returns, by data centre, the rank below which workers are reserved for urgent tasks.
func reservedRanks(usable []basilmodel.Host) map[string]uint64 {
	ranks := make(map[string][]uint64)
	for _, h := range usable {
		ranks[h.DataCentre()] = append(ranks[h.DataCentre()], rank(h))
	}
	limits := make(map[string]uint64, len(ranks))
	for d, all := range ranks {
		switch {
		case len(all) >= reserveByShare:
			limits[d] = math.MaxUint64 / reserveOneIn
		case len(all) >= reserveMinWorkers:
			slices.Sort(all)
			limits[d] = all[(len(all)+reserveOneIn-1)/reserveOneIn]
		}
	}
	return limits
}

// probe limits a worker whose ejection is over to one task: it ejects the worker
// again until that task has succeeded or the backoff has passed.
func (p *Placer) probe(host string, now time.Time) {
	if s := p.health[host]; s != nil && s.awaitsProbe(now) {
		s.ejectedUntil = now.Add(s.backoff)
	}
}

func (p *Placer) allocate(id basilapi.JobID, t allocation) {
	p.tasks[id] = t
	p.used[t.host] = p.used[t.host].add(t.size)
}

func (p *Placer) release(id basilapi.JobID) {
	t, ok := p.tasks[id]
	if !ok {
		return
	}
	delete(p.tasks, id)
	p.used[t.host] = p.used[t.host].sub(t.size)
	if p.used[t.host].Cores < 1e-9 && p.used[t.host].MemoryMB == 0 {
		delete(p.used, t.host)
	}
}

// Observe records an event of an attempt.
func (p *Placer) Observe(x basiljob.Observation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	switch x.Event {
	case basiljob.TaskEventRunning:
		p.taskRunning(x)
		return
	case basiljob.TaskEventRefused:
		p.taskRefused(x, now)
	case basiljob.TaskEventDone:
		p.taskEnded(x, false, now)
	case basiljob.TaskEventFailed:
		p.taskEnded(x, true, now)
	}
	p.release(x.ID)
}

// taskRefused marks the worker as full for tasks of the refused size, with an exponential backoff.
func (p *Placer) taskRefused(x basiljob.Observation, now time.Time) {
	r := p.refused[x.Host]
	size := (*usageRatio)(nil).expectedSize(x.Cores, x.MemoryMB)
	if t, ok := p.tasks[x.ID]; ok {
		size = t.size
	}
	if now.Before(r.until) && size.covers(r.size) {
		size = r.size
	}
	backoff := min(max(2*r.backoff, refusalBackoffInitial), refusalBackoffMax)
	p.refused[x.Host] = refusal{size: size, backoff: backoff, until: now.Add(backoff)}
}

// taskRunning learns from the reported usage, and allocates the room that the task
// is now expected to take, also if it was placed by another entry host.
func (p *Placer) taskRunning(x basiljob.Observation) {
	l := p.usage[x.Service]
	if l == nil {
		l = new(usageRatio)
		p.usage[x.Service] = l
	}
	l.observe(x.Cores, x.UsageCores)
	if r, ok := p.refused[x.Host]; ok && time.Now().After(r.until) {
		delete(p.refused, x.Host)
	}
	p.release(x.ID)
	p.allocate(x.ID, allocation{host: x.Host, size: l.expectedSize(x.Cores, x.MemoryMB)})
}

// taskEnded records the result of a task and, after a failure, decides whether to eject
// the worker.
func (p *Placer) taskEnded(x basiljob.Observation, failed bool, now time.Time) {
	h := p.health[x.Host]
	if h == nil {
		h = new(health)
		p.health[x.Host] = h
	}
	h.record(x.ID, failed, now)
	if !failed {
		return
	}
	if len(p.failedOn) >= maxFailedJobs {
		clear(p.failedOn)
	}
	if !slices.Contains(p.failedOn[x.ID], x.Host) {
		p.failedOn[x.ID] = append(p.failedOn[x.ID], x.Host)
	}
	ejectIfFailing(p.health, x.Host, p.poolSize, p.blamesWorkers, now)
}

// blamesWorkers reports whether the failures of a job are due to its workers. If the job
// failed on a worker where others succeed, the job itself is at fault.
func (p *Placer) blamesWorkers(id basilapi.JobID) bool {
	return !slices.ContainsFunc(p.failedOn[id], func(host string) bool { return p.health[host].hasSuccess() })
}

// Ejected returns the number of workers that were ejected and have completed no
// task since.
func (p *Placer) Ejected() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var n int
	for _, h := range p.health {
		if h.backoff > 0 {
			n++
		}
	}
	return n
}
