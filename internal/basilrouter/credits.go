package basilrouter

import "time"

// Credits returns how many jobs of the service may be in flight at once, those that are included.
func (r *Router) Credits(service string, now time.Time) int {
	p, ok := r.pool(service)
	if !ok {
		return 0
	}
	n := int64(0)
	for _, m := range p.view.Load().all {
		if m.usable(now.UnixNano(), false) {
			n += m.host.credit.limit.Load() / milli
		}
	}
	return int(n)
}
