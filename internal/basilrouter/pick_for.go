package basilrouter

import "time"

// PickFor is Pick for a job that may be repeated or not: only one that may is sent to a host on trial early.
func (r *Router) PickFor(service string, now time.Time, idempotent bool) (*Lease, error) {
	return r.pick(&Lease{}, service, now, idempotent, nil)
}
