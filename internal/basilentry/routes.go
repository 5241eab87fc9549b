package basilentry

import (
	"time"

	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilview"
)

// routes hands the router the backend servers of each service; only the control loop uses it.
type routes struct {
	router     *basilrouter.Router
	dataCentre string
	published  map[string]route // by service
}

// route tells apart the sets of backend servers that a service can have.
type route struct {
	pool         string
	changes      int64
	spareChanges int64 // of the spare pool, which takes what the pool's own hosts can't
	fresh        bool
}

func newRoutes(r *basilrouter.Router, dataCentre string) *routes {
	return &routes{router: r, dataCentre: dataCentre, published: make(map[string]route)}
}

// publish updates the services whose backend servers have changed.
func (r *routes) publish(v *basilview.View, now time.Time) {
	fresh := v.Fresh(now)
	spare := sparePool(v)
	backends := make(map[string][]basilrouter.Backend) // by pool, made when needed
	declared := make(map[string]bool)
	for _, s := range v.Configuration().Services() {
		declared[s.Name] = true
		next := route{pool: s.Pool, changes: v.Changes(s.Pool), spareChanges: v.Changes(spare), fresh: fresh}
		if r.published[s.Name] == next {
			continue
		}
		if _, ok := backends[s.Pool]; !ok {
			backends[s.Pool] = r.backends(v, s.Pool, spare, now)
		}
		r.router.Update(s.Name, backends[s.Pool])
		r.published[s.Name] = next
	}
	for name := range r.published {
		if !declared[name] {
			r.router.Remove(name)
			delete(r.published, name)
		}
	}
}

// sparePool returns the pool that holds the shared buffer, or "".
func sparePool(v *basilview.View) string {
	for _, p := range v.Configuration().Pools() {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// backends returns the pool's backend servers, then those of the spare pool.
func (r *routes) backends(v *basilview.View, pool, spare string, now time.Time) []basilrouter.Backend {
	usable := v.Usable(pool, r.dataCentre, now)
	all := make([]basilrouter.Backend, 0, len(usable))
	for _, h := range usable {
		all = append(all, basilrouter.Backend{Host: h.ID(), Address: h.Address(), DataCentre: h.DataCentre(), Epoch: h.Epoch()})
	}
	if spare == pool || spare == "" {
		return all
	}
	for _, h := range v.Usable(spare, r.dataCentre, now) {
		all = append(all, basilrouter.Backend{
			Host: h.ID(), Address: h.Address(), DataCentre: h.DataCentre(), Epoch: h.Epoch(), Overflow: true,
		})
	}
	return all
}
