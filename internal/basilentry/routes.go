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
	pool    string
	changes int64
	fresh   bool
}

func newRoutes(r *basilrouter.Router, dataCentre string) *routes {
	return &routes{router: r, dataCentre: dataCentre, published: make(map[string]route)}
}

// publish updates the services whose backend servers have changed.
func (r *routes) publish(v *basilview.View, now time.Time) {
	fresh := v.Fresh(now)
	backends := make(map[string][]basilrouter.Backend) // by pool, made when needed
	declared := make(map[string]bool)
	for _, s := range v.Configuration().Services() {
		declared[s.Name] = true
		next := route{pool: s.Pool, changes: v.Changes(s.Pool), fresh: fresh}
		if r.published[s.Name] == next {
			continue
		}
		if _, ok := backends[s.Pool]; !ok {
			backends[s.Pool] = r.backends(v, s.Pool, now)
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

func (r *routes) backends(v *basilview.View, pool string, now time.Time) []basilrouter.Backend {
	usable := v.Usable(pool, r.dataCentre, now)
	all := make([]basilrouter.Backend, 0, len(usable))
	for _, h := range usable {
		all = append(all, basilrouter.Backend{Host: h.ID(), Address: h.Address(), DataCentre: h.DataCentre(), Epoch: h.Epoch()})
	}
	return all
}
