package basilrouter

import "time"

// PickFor is Pick for a job that may not be idempotent: as a probe of an ejected backend
// server, an idempotent job is used earlier than others.
func (r *Router) PickFor(service string, now time.Time, idempotent bool) (*Lease, error) {
	return r.pick(&Lease{}, service, now, idempotent, nil)
}
