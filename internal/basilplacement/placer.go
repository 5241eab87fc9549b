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
	retryPlacement = 2 * time.Second
	reserveOneIn   = 16              // workers, one of which is kept for urgent tasks
	reserveFrom    = 8               // workers of a data centre, below which none is kept
	reserveByShare = 500             // from where a share of the ranks is as good as a count
	refusedFirst   = 5 * time.Second // that a worker counts as full for what it refused, doubled each time
	refusedLongest = 80 * time.Second
	jobsBlamed     = 10_000 // jobs whose failures are remembered
)

// Fleet tells which workers there are for a service.
type Fleet interface {
	// Usable returns the hosts that may be sent work now, in a slice that the caller may change.
	Usable(service string, now time.Time) []basilmodel.Host
	// All returns the hosts that could ever run the service.
	All(service string) []basilmodel.Host
}

// held is the room that an own task takes.
type held struct {
	host string
	size Size
}

// refusal is the smallest size that a worker refused of late.
type refusal struct {
	size    Size
	until   time.Time
	backoff time.Duration
}

// Placer chooses workers by what it was told of them and of its own tasks.
type Placer struct {
	fleet      Fleet
	dataCentre string
	random     func(n int) int

	mutex      sync.Mutex
	capacities map[string]Size
	services   map[string]*learned
	tasks      map[basilapi.JobID]held
	used       map[string]Size
	refused    map[string]refusal
	health     map[string]*health
	failedOn   map[basilapi.JobID][]string
	pool       int // workers for the service placed last
}

var (
	_ basiljob.Observer = (*Placer)(nil)
	_ basiljob.Evictor  = (*Placer)(nil)
)

// NewPlacer returns a Placer for an entry host of the data centre; random returns a number below its argument.
func NewPlacer(f Fleet, dataCentre string, random func(n int) int) *Placer {
	return &Placer{
		fleet: f, dataCentre: dataCentre, random: random,
		capacities: make(map[string]Size), services: make(map[string]*learned),
		tasks: make(map[basilapi.JobID]held), used: make(map[string]Size),
		refused: make(map[string]refusal), health: make(map[string]*health),
		failedOn: make(map[basilapi.JobID][]string),
	}
}

// Learn takes the capacities of the hosts from the platform's list.
func (p *Placer) Learn(listed []basilplatform.ListedHost) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, l := range listed {
		p.capacities[l.ID] = Size{Cores: float64(l.Cores), MemoryMB: l.MemoryMB}
	}
}

// Place returns the worker for the next attempt, and holds the room there until the task ends.
//
// It fails with basiljob.ErrNothingFree or basiljob.ErrFitsNoHost.
func (p *Placer) Place(_ context.Context, r basiljob.PlacementRequest) (basiljob.Placement, error) {
	now := time.Now()
	usable := p.fleet.Usable(r.Service, now)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pool = len(usable)
	p.release(r.ID)
	size, err := p.expect(usable, r)
	if err != nil {
		return basiljob.Placement{}, err
	}
	usable = slices.DeleteFunc(usable, func(h basilmodel.Host) bool { return slices.Contains(r.Exclude, h.ID()) })
	n := slices.IndexFunc(usable, func(h basilmodel.Host) bool { return h.ID() == r.Prefer })
	if n < 0 || !p.capacities[r.Prefer].less(p.used[r.Prefer]).holds(size) {
		n = Choose(p.workers(usable, now), size, r.Urgent, p.random)
	}
	if n < 0 {
		return basiljob.Placement{}, errors.WithStack(basiljob.ErrNothingFree{RetryAfter: retryPlacement})
	}
	h := usable[n]
	p.hold(r.ID, held{host: h.ID(), size: size})
	p.probe(h.ID(), now)
	return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: h.Epoch()}, nil
}

// Evict returns the smallest of the tasks that holds as much as the request needs, and whether there is one.
func (p *Placer) Evict(r basiljob.PlacementRequest, candidates []basilapi.JobID) (basilapi.JobID, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	size := p.services[r.Service].size(r.Cores, r.MemoryMB)
	var best basilapi.JobID
	for _, id := range candidates {
		t, ok := p.tasks[id]
		if !ok || !t.size.holds(size) || slices.Contains(r.Exclude, t.host) && !p.full(t.host) {
			continue
		}
		if best.IsZero() || t.size.Cores < p.tasks[best].size.Cores {
			best = id
		}
	}
	return best, !best.IsZero()
}

// full tells whether the worker refused a task of late, for which it may be asked again once room is made.
func (p *Placer) full(host string) bool {
	_, refused := p.refused[host]
	return refused
}

// expect returns the size to place the task by: the learned one, or the declared one where only that fits a host.
//
// It fails with ErrFitsNoHost when no host could ever take either.
func (p *Placer) expect(usable []basilmodel.Host, r basiljob.PlacementRequest) (Size, error) {
	declared := (*learned)(nil).size(r.Cores, r.MemoryMB)
	expected := p.services[r.Service].size(r.Cores, r.MemoryMB)
	for _, s := range []Size{expected, declared} {
		if p.fitsAny(usable, s) {
			return s, nil
		}
	}
	all := p.fleet.All(r.Service)
	for _, s := range []Size{expected, declared} {
		if len(all) == 0 || p.fitsAny(all, s) { // with no host the fleet is not known yet
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

// fitsAny tells whether a host, were it empty, could take the size; one of unknown capacity might.
func (p *Placer) fitsAny(hosts []basilmodel.Host, s Size) bool {
	return slices.ContainsFunc(hosts, func(h basilmodel.Host) bool {
		c := p.capacities[h.ID()]
		return c.Cores == 0 || c.holds(s)
	})
}

// workers returns the hosts as the decision sees them; the caller holds the mutex.
func (p *Placer) workers(usable []basilmodel.Host, now time.Time) []Worker {
	racks := make(map[string]int)
	for _, h := range usable {
		if p.used[h.ID()].Cores > 0 {
			racks[h.Rack()]++
		}
	}
	limits := reserve(usable)
	all := make([]Worker, len(usable))
	for n, h := range usable {
		capacity := p.capacities[h.ID()]
		w := Worker{
			Capacity: capacity, Free: capacity.less(p.used[h.ID()]), OnRack: racks[h.Rack()],
			Remote: h.DataCentre() != p.dataCentre, Reserved: rank(h) < limits[h.DataCentre()],
		}
		if s := p.health[h.ID()]; s != nil {
			w.Ejected, w.Suspect = now.Before(s.until), now.Before(s.suspect)
		}
		if r := p.refused[h.ID()]; now.Before(r.until) {
			w.Refused = r.size
		}
		all[n] = w
	}
	return all
}

// rank orders workers alike at each entry host.
func rank(h basilmodel.Host) uint64 { return xxhash.Sum64String(h.ID()) }

// reserve returns, by data centre, the rank below which workers are kept for urgent tasks.
func reserve(usable []basilmodel.Host) map[string]uint64 {
	ranks := make(map[string][]uint64)
	for _, h := range usable {
		ranks[h.DataCentre()] = append(ranks[h.DataCentre()], rank(h))
	}
	limits := make(map[string]uint64, len(ranks))
	for d, all := range ranks {
		switch {
		case len(all) >= reserveByShare:
			limits[d] = math.MaxUint64 / reserveOneIn
		case len(all) >= reserveFrom:
			slices.Sort(all)
			limits[d] = all[(len(all)+reserveOneIn-1)/reserveOneIn]
		}
	}
	return limits
}

// probe lets an ejected worker whose time is over have one task, and no more until it ends.
func (p *Placer) probe(host string, now time.Time) {
	if s := p.health[host]; s != nil && s.probing(now) {
		s.until = now.Add(s.backoff)
	}
}

func (p *Placer) hold(id basilapi.JobID, t held) {
	p.tasks[id] = t
	p.used[t.host] = p.used[t.host].add(t.size)
}

func (p *Placer) release(id basilapi.JobID) {
	t, ok := p.tasks[id]
	if !ok {
		return
	}
	delete(p.tasks, id)
	p.used[t.host] = p.used[t.host].less(t.size)
	if p.used[t.host].Cores < 1e-9 && p.used[t.host].MemoryMB == 0 {
		delete(p.used, t.host)
	}
}

// Observe takes what became of an attempt.
func (p *Placer) Observe(x basiljob.Observation) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	switch x.Event {
	case basiljob.TaskEventRunning:
		p.running(x)
		return
	case basiljob.TaskEventRefused:
		p.refuse(x, now)
	case basiljob.TaskEventDone:
		p.ended(x, false, now)
	case basiljob.TaskEventFailed:
		p.ended(x, true, now)
	}
	p.release(x.ID)
}

// refuse counts the worker as full for what it refused.
func (p *Placer) refuse(x basiljob.Observation, now time.Time) {
	r := p.refused[x.Host]
	size := (*learned)(nil).size(x.Cores, x.MemoryMB)
	if t, ok := p.tasks[x.ID]; ok {
		size = t.size
	}
	if now.Before(r.until) && size.holds(r.size) {
		size = r.size
	}
	backoff := min(max(2*r.backoff, refusedFirst), refusedLongest)
	p.refused[x.Host] = refusal{size: size, backoff: backoff, until: now.Add(backoff)}
}

// running learns from the usage, and holds the room that the task is now thought to take, whoever placed it.
func (p *Placer) running(x basiljob.Observation) {
	l := p.services[x.Service]
	if l == nil {
		l = new(learned)
		p.services[x.Service] = l
	}
	l.take(x.Cores, x.UsageCores)
	if r, ok := p.refused[x.Host]; ok && time.Now().After(r.until) {
		delete(p.refused, x.Host)
	}
	p.release(x.ID)
	p.hold(x.ID, held{host: x.Host, size: l.size(x.Cores, x.MemoryMB)})
}

// ended judges the worker; a job that fails where others succeed is at fault itself.
func (p *Placer) ended(x basiljob.Observation, failed bool, now time.Time) {
	h := p.health[x.Host]
	if h == nil {
		h = new(health)
		p.health[x.Host] = h
	}
	h.take(x.ID, failed, now)
	if !failed {
		return
	}
	if len(p.failedOn) >= jobsBlamed {
		clear(p.failedOn)
	}
	if !slices.Contains(p.failedOn[x.ID], x.Host) {
		p.failedOn[x.ID] = append(p.failedOn[x.ID], x.Host)
	}
	judge(p.health, x.Host, p.pool, p.blames, now)
}

// blames tells whether a job's failures are its workers': it failed on none where others succeed.
func (p *Placer) blames(id basilapi.JobID) bool {
	return !slices.ContainsFunc(p.failedOn[id], func(host string) bool { return p.health[host].succeeds() })
}

// Ejected returns how many workers are ejected and have not proved themselves since.
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
