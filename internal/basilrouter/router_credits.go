package basilrouter

import "time"

// CreditLimit returns the total number of jobs of the service that may be in flight, including those that already are.
func (r *Router) CreditLimit(service string, now time.Time) int {
	p, ok := r.pool(service)
	if !ok {
		return 0
	}
	n := int64(0)
	for _, m := range p.snapshot.Load().all {
		if m.usable(now.UnixNano(), false) {
			n += m.host.credits.limitMilli.Load() / milli
		}
	}
	return int(n)
}
