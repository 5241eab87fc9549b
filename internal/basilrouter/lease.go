package basilrouter

import "time"

// Report describes how an attempt at a backend server ended.
type Report struct {
	Ending  Ending
	Latency time.Duration // from the send to the end of the attempt
	Leaving bool          // the response carried the Basil-Leaving header
}

// Lease holds one credit for one backend server; it isn't safe for concurrent use.
type Lease struct {
	router  *Router
	pool    *servicePool
	member  *member
	backend *Backend
	probe   bool
}

// Backend returns the backend server that was picked, as it was described then.
func (l *Lease) Backend() Backend { return *l.backend }

// Usable reports whether the job may still be sent to the backend server.
func (l *Lease) Usable() bool {
	return l.member != nil && !l.member.gone.Load() && !l.member.host.isLeaving()
}

// Done returns the credit and records the report; further calls do nothing.
func (l *Lease) Done(r Report, now time.Time) {
	m := l.member
	if m == nil {
		return
	}
	l.member = nil
	if r.Leaving && m.host.markLeaving(l.backend.Epoch) && l.router.options.OnLeaving != nil {
		l.router.options.OnLeaving(l.backend.Host, l.backend.Epoch)
	}
	l.pool.finishAttempt(m, r, now.UnixNano(), l.probe)
	if r.Ending == EndingRefused && !r.Leaving && l.pool.policy.pauseDivisor > 0 {
		m.host.credits.pause(now.UnixNano(), l.pool.typicalLatency(), l.pool.policy.pauseDivisor, l.pool.policy.random())
	}
	if l.router.options.OnFree != nil {
		l.router.options.OnFree(l.backend.Host)
	}
}

// finishAttempt records a report and releases the credit and the probe slot.
func (p *servicePool) finishAttempt(m *member, r Report, now int64, probe bool) {
	c := &m.host.credits
	switch r.Ending {
	case EndingAnswered, EndingRejected:
		c.grow()
		p.budget.earn()
		m.recordAnswer(now, int64(r.Latency), probe)
	case EndingRefused:
		if !r.Leaving {
			c.cut(now)
		}
	case EndingFailed, EndingUnreachable, EndingBroken, EndingTimeout:
		m.health.recordFailure(now, probe)
		m.penalty.add(now)
	case EndingAbandoned:
	}
	c.release()
	if probe {
		m.health.probing.Store(false)
	}
	p.maybeSweep(now, m)
}

func (m *member) recordAnswer(now, latency int64, probe bool) {
	if m.health.recordSuccess(probe) {
		m.penalty.reset()
	}
	m.latency.observe(now, latency)
}
