package basilrouter

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
)

const (
	maxLeavingMarks      = 1 << 15 // leaving hosts remembered while no service lists them
	minRetryAfter        = 20 * time.Millisecond
	retryAfterNoBackends = time.Second
)

// RouterOptions configures a Router; the zero value suits a single entry host.
type RouterOptions struct {
	DataCentre string                         // data centre of the entry host, whose backend servers are preferred
	EntryHosts int                            // number of entry hosts that share the backend servers' slots
	OnLeaving  func(host string, epoch int64) // called if a backend server announced in a response that it is leaving; must not block
	OnFree     func(host string)              // called if a credit was released; must not block
}

// initialCredits returns the initial credits of each entry host for a backend server.
func (o RouterOptions) initialCredits(slots int) int { return max(1, slots/max(1, o.EntryHosts)) }

// Router selects a backend server for each job.
type Router struct {
	options RouterOptions
	policy  policy
	pools   sync.Map // service name to *servicePool

	mu           sync.Mutex
	hosts        map[string]*host
	unlisted     []*host                   // hosts that no service lists, kept while requests are in flight
	leavingMarks *lru.Cache[string, int64] // leaving marks of hosts that no service lists
}

// NewRouter returns a router without any services.
func NewRouter(o RouterOptions) *Router {
	leavingMarks, _ := lru.New[string, int64](maxLeavingMarks) // fails only for a non-positive size
	return &Router{options: o, policy: defaultPolicy(), hosts: make(map[string]*host), leavingMarks: leavingMarks}
}

// Update replaces the backend servers of a service.
//
// Servers that remain keep their state; those no longer listed aren't picked any more.
func (r *Router) Update(service string, backends []Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolFor(service)
	old := make(map[string]*member)
	for _, m := range p.snapshot.Load().all {
		old[m.host.backend.Load().Host] = m
	}
	members := r.buildMembers(old, backends)
	p.snapshot.Store(members)
	for _, m := range old {
		r.removeMember(m)
	}
	r.pruneHosts()
	p.enforceEjectionLimit(members)
}

// buildMembers returns the new members and deletes from old those that remain.
func (r *Router) buildMembers(old map[string]*member, backends []Backend) *poolMembers {
	members := &poolMembers{all: make([]*member, 0, len(backends))}
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		if listed[b.Host] {
			continue
		}
		listed[b.Host] = true
		m, ok := old[b.Host]
		if !ok {
			m = &member{host: r.hostFor(b), epoch: b.Epoch}
		}
		delete(old, b.Host)
		r.updateMember(m, b)
		members.add(m, b.DataCentre == r.options.DataCentre && !b.Overflow)
	}
	return members
}

// Remove deletes a service; its backend servers are no longer picked for it.
func (r *Router) Remove(service string) {
	r.Update(service, nil)
	r.pools.Delete(service)
}

// Pick takes a credit of a backend server whose host is not excluded, or returns ErrNoBackend.
//
// The caller must call Done on the lease.
func (r *Router) Pick(service string, now time.Time, exclude ...string) (*Lease, error) {
	return r.pick(&Lease{}, service, now, true, exclude) // inlined, so that the lease need not escape to the heap
}

// MarkLeaving marks a host as leaving: it isn't picked until Update supplies a higher epoch.
func (r *Router) MarkLeaving(name string, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[name]; ok {
		h.markLeaving(epoch)
		return
	}
	r.rememberLeaving(name, epoch)
}

// SetCredits sets the credits that this entry host holds for a backend server.
func (r *Router) SetCredits(name string, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[name]; ok {
		h.credits.reset(slots, h.backend.Load().slots())
	}
}

// FreeCredits returns the number of further jobs of the service that could be sent now.
func (r *Router) FreeCredits(service string, now time.Time) int {
	p, ok := r.pool(service)
	if !ok {
		return 0
	}
	n := 0
	for _, m := range p.snapshot.Load().all {
		if m.usable(now.UnixNano(), false) {
			n += m.host.credits.freeCount()
		}
	}
	return n
}

func (r *Router) pick(l *Lease, service string, now time.Time, earlyProbe bool, exclude []string) (*Lease, error) {
	p, ok := r.pool(service)
	if !ok {
		return nil, r.noBackend(service)
	}
	q := pickRequest{now: now.UnixNano(), earlyProbe: earlyProbe, exclude: exclude}
	m := p.choose(&q)
	if m == nil {
		return nil, r.noBackend(service)
	}
	*l = Lease{router: r, pool: p, member: m, backend: m.host.backend.Load(), probe: q.isProbe}
	return l, nil
}

func (r *Router) pool(service string) (*servicePool, bool) {
	v, ok := r.pools.Load(service)
	if !ok {
		return nil, false
	}
	return v.(*servicePool), true
}

func (r *Router) poolFor(service string) *servicePool {
	if p, ok := r.pool(service); ok {
		return p
	}
	p := &servicePool{policy: &r.policy}
	p.snapshot.Store(&poolMembers{})
	r.pools.Store(service, p)
	return p
}

func (r *Router) noBackend(service string) error {
	return errors.WithStack(ErrNoBackend{Service: service, RetryAfter: r.retryAfter(service)})
}

// retryAfter returns the delay after which a caller should retry, with a random extra
// of up to the same time so that callers don't return together.
func (r *Router) retryAfter(service string) time.Duration {
	after := retryAfterNoBackends
	if p, ok := r.pool(service); ok && len(p.snapshot.Load().all) > 0 {
		after = max(minRetryAfter, time.Duration(p.typicalLatency()))
	}
	return after + rand.N(after)
}

// spendRetry takes one retry from the service's budget and reports whether it was available.
func (r *Router) spendRetry(service string) bool {
	p, ok := r.pool(service)
	return ok && p.budget.spend()
}

// hostFor returns the state of a host for a service that newly lists it.
func (r *Router) hostFor(b Backend) *host {
	h, ok := r.hosts[b.Host]
	if ok {
		r.updateHost(h, b)
		h.services++
		return h
	}
	h = &host{services: 1}
	h.backend.Store(&b)
	h.credits.reset(r.options.initialCredits(b.slots()), b.slots())
	if epoch, ok := r.leavingMarks.Get(b.Host); ok {
		h.markLeaving(epoch)
	}
	r.hosts[b.Host] = h
	return h
}

// updateMember applies a new description of the backend server; a higher epoch resets the member's state.
func (r *Router) updateMember(m *member, b Backend) {
	if b.Epoch > m.epoch {
		m.epoch = b.Epoch
		m.health.reset()
		m.latency.reset()
		m.penalty.reset()
	}
	r.updateHost(m.host, b)
}

// updateHost applies a new description of the host; one of a lower epoch is ignored.
func (r *Router) updateHost(h *host, b Backend) {
	old := *h.backend.Load()
	if b.Epoch < old.Epoch || b == old {
		return
	}
	h.backend.Store(&b)
	if b.slots() != old.slots() {
		h.credits.reset(r.options.initialCredits(b.slots()), b.slots())
	}
}

// removeMember retires a member; its host is queued for deletion once no service lists it.
func (r *Router) removeMember(m *member) {
	m.gone.Store(true)
	h := m.host
	h.services--
	if h.services > 0 {
		return
	}
	r.unlisted = append(r.unlisted, h)
}

// pruneHosts deletes the unlisted hosts that have no requests in flight.
func (r *Router) pruneHosts() {
	r.unlisted = slices.DeleteFunc(r.unlisted, func(h *host) bool {
		if h.services > 0 {
			return true
		}
		if h.credits.inFlight.Load() > 0 {
			return false
		}
		r.forgetHost(h)
		return true
	})
}

// forgetHost deletes the host's state, except for its leaving mark.
func (r *Router) forgetHost(h *host) {
	name := h.backend.Load().Host
	if r.hosts[name] == h {
		delete(r.hosts, name)
	}
	if l := h.leavingBelow.Load(); l > 0 {
		r.rememberLeaving(name, l-1)
	}
}

func (r *Router) rememberLeaving(name string, epoch int64) {
	if e, ok := r.leavingMarks.Get(name); !ok || e < epoch {
		r.leavingMarks.Add(name, epoch)
	}
}

func (p *poolMembers) add(m *member, preferred bool) {
	p.all = append(p.all, m)
	if preferred {
		p.preferred = append(p.preferred, m)
		return
	}
	p.fallback = append(p.fallback, m)
}

// enforceEjectionLimit returns members to service if more are ejected than the shrunken membership permits.
func (p *servicePool) enforceEjectionLimit(members *poolMembers) {
	p.sweepMu.Lock()
	defer p.sweepMu.Unlock()
	room := p.maxEjected(len(members.all))
	for _, m := range members.all {
		if !m.health.ejected() {
			continue
		}
		if room > 0 {
			room--
			continue
		}
		m.health.restore()
	}
}
