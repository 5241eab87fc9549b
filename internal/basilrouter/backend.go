package basilrouter

import "sync/atomic"

// Backend is one backend server as the control loop hands it in.
type Backend struct {
	Host       string // the host's name
	Address    string // IP:port
	DataCentre string
	Epoch      int64 // only grows; a higher one ends a leaving mark
	Slots      int   // requests at once; 0 is the default
	Overflow   bool  // of the spare pool: used once the service's own are full
}

func (b Backend) slots() int {
	if b.Slots <= 0 {
		return DefaultSlots
	}
	return b.Slots
}

// host is the live state of one backend server, shared by all its services.
type host struct {
	backend atomic.Pointer[Backend]
	leaving atomic.Int64 // the highest epoch at which it was seen leaving, plus one
	credit  credit
	pools   int // services that it backs; guarded by Router.mu
}

// isLeaving tells whether the host was seen leaving at its present epoch or later.
func (h *host) isLeaving() bool { return h.leaving.Load() > h.backend.Load().Epoch }

// markLeaving tells whether the mark is new.
func (h *host) markLeaving(epoch int64) bool {
	for {
		l := h.leaving.Load()
		if l > epoch {
			return false
		}
		if h.leaving.CompareAndSwap(l, epoch+1) {
			return true
		}
	}
}

// member is the live state of one backend server within one service.
type member struct {
	host    *host
	epoch   int64       // of the host when the state began; guarded by Router.mu
	gone    atomic.Bool // removed from the service
	latency peakLatency
	penalty penalty
	health  health
}

// usable tells whether the member may be picked at all, credits aside.
func (m *member) usable(now int64, probe bool) bool {
	return !m.gone.Load() && !m.host.isLeaving() && m.health.admits(now, probe)
}

// acquire takes a credit, and the probe's place if the member is ejected.
func (m *member) acquire(q *request) bool {
	if !m.host.credit.acquire() {
		return false
	}
	if m.gone.Load() || m.host.isLeaving() || !m.enter(q) {
		m.host.credit.release()
		return false
	}
	return true
}

func (m *member) enter(q *request) bool {
	if !m.health.ejected() {
		return true
	}
	q.probing = m.health.enter(q.now, q.probe)
	return q.probing
}

// score returns the expected cost of one more request; lower is better.
func (m *member) score(now, typical int64) int64 {
	if m.health.ejected() {
		return 0
	}
	cost := m.latency.estimate(now, typical) * (m.host.credit.inFlight.Load() + 1)
	return cost + cost/milli*m.penalty.current(now)
}
