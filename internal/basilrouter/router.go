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
	maxLeavingMarks   = 1 << 15 // hosts remembered as leaving that no service lists
	minRetryAfter     = 20 * time.Millisecond
	retryAfterNoHosts = time.Second
)

// RouterOptions are the settings of a Router; the zero value serves one entry host.
type RouterOptions struct {
	DataCentre string                         // the entry host's own
	EntryHosts int                            // entry hosts that share the backend servers' slots
	OnLeaving  func(host string, epoch int64) // a backend server said that it leaves; must not block
	OnFree     func(host string)              // a credit came free; must not block
}

// share returns the credits that each entry host starts with.
func (o RouterOptions) share(slots int) int { return max(1, slots/max(1, o.EntryHosts)) }

// Router chooses a backend server for each job.
type Router struct {
	options RouterOptions
	policy  policy
	pools   sync.Map // service name to *pool

	mu    sync.Mutex
	hosts map[string]*host
	ended []*host                   // without a service, but with requests in flight
	marks *lru.Cache[string, int64] // leaving marks of hosts that no service lists
}

// NewRouter returns a router that knows no backend server yet.
func NewRouter(o RouterOptions) *Router {
	marks, _ := lru.New[string, int64](maxLeavingMarks) // fails only for a size below 1
	return &Router{options: o, policy: defaultPolicy(), hosts: make(map[string]*host), marks: marks}
}

// Update sets the backend servers of a service.
//
// Those that stay keep their state; those that are missing get no further picks.
func (r *Router) Update(service string, backends []Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolFor(service)
	old := make(map[string]*member)
	for _, m := range p.view.Load().all {
		old[m.host.backend.Load().Host] = m
	}
	v := r.compose(old, backends)
	p.view.Store(v)
	for _, m := range old {
		r.drop(m)
	}
	r.prune()
	p.enforceEjectedShare(v)
}

// compose builds the new membership and takes the members that stay out of old.
func (r *Router) compose(old map[string]*member, backends []Backend) *poolView {
	v := &poolView{all: make([]*member, 0, len(backends))}
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		if listed[b.Host] {
			continue
		}
		listed[b.Host] = true
		m, ok := old[b.Host]
		if !ok {
			m = &member{host: r.join(b), epoch: b.Epoch}
		}
		delete(old, b.Host)
		r.renew(m, b)
		v.add(m, b.DataCentre == r.options.DataCentre && !b.Overflow)
	}
	return v
}

// Remove forgets a service; its backend servers get no further picks for it.
func (r *Router) Remove(service string) {
	r.Update(service, nil)
	r.pools.Delete(service)
}

// Pick takes a credit at a backend server that is not excluded; it fails with ErrNoBackend.
//
// The caller must call Done on the lease.
func (r *Router) Pick(service string, now time.Time, exclude ...string) (*Lease, error) {
	return r.pick(&Lease{}, service, now, true, exclude) // inlined, so that the lease can stay off the heap
}

// MarkLeaving notes that a host leaves: it gets no picks until Update brings a higher epoch.
func (r *Router) MarkLeaving(name string, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[name]; ok {
		h.markLeaving(epoch)
		return
	}
	r.remember(name, epoch)
}

// SetShare sets the credits that this entry host holds at a backend server.
func (r *Router) SetShare(name string, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.hosts[name]; ok {
		h.credit.reset(slots, h.backend.Load().slots())
	}
}

// Free returns how many more jobs of the service could be sent now.
func (r *Router) Free(service string, now time.Time) int {
	p, ok := r.pool(service)
	if !ok {
		return 0
	}
	n := 0
	for _, m := range p.view.Load().all {
		if m.usable(now.UnixNano(), false) {
			n += m.host.credit.spare()
		}
	}
	return n
}

func (r *Router) pick(l *Lease, service string, now time.Time, probe bool, exclude []string) (*Lease, error) {
	p, ok := r.pool(service)
	if !ok {
		return nil, r.noBackend(service)
	}
	q := request{now: now.UnixNano(), probe: probe, exclude: exclude}
	m := p.choose(&q)
	if m == nil {
		return nil, r.noBackend(service)
	}
	*l = Lease{router: r, pool: p, member: m, backend: m.host.backend.Load(), probe: q.probing}
	return l, nil
}

func (r *Router) pool(service string) (*pool, bool) {
	v, ok := r.pools.Load(service)
	if !ok {
		return nil, false
	}
	return v.(*pool), true
}

func (r *Router) poolFor(service string) *pool {
	if p, ok := r.pool(service); ok {
		return p
	}
	p := &pool{policy: &r.policy}
	p.view.Store(&poolView{})
	r.pools.Store(service, p)
	return p
}

func (r *Router) noBackend(service string) error {
	return errors.WithStack(ErrNoBackend{Service: service, RetryAfter: r.retryAfter(service)})
}

// retryAfter returns when a caller should come back, spread at random.
func (r *Router) retryAfter(service string) time.Duration {
	after := retryAfterNoHosts
	if p, ok := r.pool(service); ok && len(p.view.Load().all) > 0 {
		after = max(minRetryAfter, time.Duration(p.typicalLatency()))
	}
	return after + rand.N(after)
}

// spendRetry tells whether one more retry is within the service's budget, and takes it.
func (r *Router) spendRetry(service string) bool {
	p, ok := r.pool(service)
	return ok && p.budget.spend()
}

// join returns the live state of a host that one more service lists.
func (r *Router) join(b Backend) *host {
	h, ok := r.hosts[b.Host]
	if ok {
		r.renewHost(h, b)
		h.pools++
		return h
	}
	h = &host{pools: 1}
	h.backend.Store(&b)
	h.credit.reset(r.options.share(b.slots()), b.slots())
	if epoch, ok := r.marks.Get(b.Host); ok {
		h.markLeaving(epoch)
	}
	r.hosts[b.Host] = h
	return h
}

// renew takes over what changed; a higher epoch starts the state anew.
func (r *Router) renew(m *member, b Backend) {
	if b.Epoch > m.epoch {
		m.epoch = b.Epoch
		m.health.reset()
		m.latency.reset()
		m.penalty.reset()
	}
	r.renewHost(m.host, b)
}

func (r *Router) renewHost(h *host, b Backend) {
	old := *h.backend.Load()
	if b.Epoch < old.Epoch || b == old {
		return
	}
	h.backend.Store(&b)
	if b.slots() != old.slots() {
		h.credit.reset(r.options.share(b.slots()), b.slots())
	}
}

// drop ends a member; the host is forgotten with its last service.
func (r *Router) drop(m *member) {
	m.gone.Store(true)
	h := m.host
	h.pools--
	if h.pools > 0 {
		return
	}
	r.ended = append(r.ended, h)
}

// prune forgets the hosts that no service lists and that hold no request.
func (r *Router) prune() {
	r.ended = slices.DeleteFunc(r.ended, func(h *host) bool {
		if h.pools > 0 {
			return true
		}
		if h.credit.inFlight.Load() > 0 {
			return false
		}
		r.forget(h)
		return true
	})
}

func (r *Router) forget(h *host) {
	name := h.backend.Load().Host
	if r.hosts[name] == h {
		delete(r.hosts, name)
	}
	if l := h.leaving.Load(); l > 0 {
		r.remember(name, l-1)
	}
}

func (r *Router) remember(name string, epoch int64) {
	if e, ok := r.marks.Get(name); !ok || e < epoch {
		r.marks.Add(name, epoch)
	}
}

func (v *poolView) add(m *member, near bool) {
	v.all = append(v.all, m)
	if near {
		v.near = append(v.near, m)
		return
	}
	v.far = append(v.far, m)
}

// enforceEjectedShare puts members back in service when the pool shrank below its ejected share.
func (p *pool) enforceEjectedShare(v *poolView) {
	p.sweeping.Lock()
	defer p.sweeping.Unlock()
	room := p.maxEjected(len(v.all))
	for _, m := range v.all {
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
