package basilrouter

import "time"

// Report tells how an attempt on a backend server ended.
type Report struct {
	Ending  Ending
	Latency time.Duration // from the send to the end
	Leaving bool          // the answer said that the backend server is leaving
}

// Lease is one credit at one backend server; it belongs to one goroutine.
type Lease struct {
	router  *Router
	pool    *pool
	member  *member
	backend *Backend
	probe   bool
}

// Backend returns the backend server that was picked.
func (l *Lease) Backend() Backend { return *l.backend }

// Usable tells whether the backend server may still be sent to.
func (l *Lease) Usable() bool {
	return l.member != nil && !l.member.gone.Load() && !l.member.host.isLeaving()
}

// Done gives the credit back and takes the report in; further calls do nothing.
func (l *Lease) Done(r Report, now time.Time) {
	m := l.member
	if m == nil {
		return
	}
	l.member = nil
	if r.Leaving && m.host.markLeaving(l.backend.Epoch) && l.router.options.OnLeaving != nil {
		l.router.options.OnLeaving(l.backend.Host, l.backend.Epoch)
	}
	l.pool.settle(m, r, now.UnixNano(), l.probe)
	if r.Ending == EndingRefused && !r.Leaving && l.pool.policy.pauseFraction > 0 {
		m.host.credit.pause(now.UnixNano(), l.pool.typicalLatency(), l.pool.policy.pauseFraction, l.pool.policy.random())
	}
	if l.router.options.OnFree != nil {
		l.router.options.OnFree(l.backend.Host)
	}
}

// settle takes a report in and frees the credit and the probe's place.
func (p *pool) settle(m *member, r Report, now int64, probe bool) {
	c := &m.host.credit
	switch r.Ending {
	case EndingAnswered, EndingRejected:
		c.grow()
		p.budget.earn()
		m.answered(now, int64(r.Latency), probe)
	case EndingRefused:
		if !r.Leaving {
			c.cut(now)
		}
	case EndingFailed, EndingUnreachable, EndingBroken, EndingTimeout:
		m.health.failure(now, probe)
		m.penalty.add(now)
	case EndingAbandoned:
	}
	c.release()
	if probe {
		m.health.probing.Store(false)
	}
	p.maybeSweep(now, m)
}

func (m *member) answered(now, latency int64, probe bool) {
	if m.health.success(probe) {
		m.penalty.reset()
	}
	m.latency.observe(now, latency)
}
