package basilrouter

import "sync/atomic"

// Backend describes one backend server, as the control loop supplies it.
type Backend struct {
	Host       string
	Address    string // IP:port
	DataCentre string
	Epoch      int64 // never decreases; a higher epoch clears the leaving mark
	Slots      int   // concurrent requests; 0 means DefaultSlots
	Overflow   bool  // belongs to the spare pool: used only when the service's own servers are full
}

func (b Backend) slots() int {
	if b.Slots <= 0 {
		return DefaultSlots
	}
	return b.Slots
}

// host is the live state of one backend server, shared by all its services.
type host struct {
	backend      atomic.Pointer[Backend]
	leavingBelow atomic.Int64 // highest epoch at which the host was leaving, plus one; 0 if never
	credits      creditWindow
	services     int // number of services that list the host; guarded by Router.mu
}

// isLeaving reports whether the host was marked as leaving at its current epoch or a later one.
func (h *host) isLeaving() bool { return h.leavingBelow.Load() > h.backend.Load().Epoch }

// markLeaving marks the host as leaving at the epoch and reports whether the mark is new.
func (h *host) markLeaving(epoch int64) bool {
	for {
		l := h.leavingBelow.Load()
		if l > epoch {
			return false
		}
		if h.leavingBelow.CompareAndSwap(l, epoch+1) {
			return true
		}
	}
}

// member is the live state of one backend server within one service.
type member struct {
	host    *host
	epoch   int64       // host epoch to which this state applies; guarded by Router.mu
	gone    atomic.Bool // removed from the service
	latency peakLatency
	penalty penalty
	health  health
}

// usable reports whether the member may be picked, regardless of its credits.
func (m *member) usable(now int64, earlyProbe bool) bool {
	return !m.gone.Load() && !m.host.isLeaving() && m.health.admits(now, earlyProbe)
}

// acquire takes a credit, and the probe slot if the member is ejected.
func (m *member) acquire(q *pickRequest) bool {
	if !m.host.credits.acquire() {
		return false
	}
	if m.gone.Load() || m.host.isLeaving() || !m.admit(q) {
		m.host.credits.release()
		return false
	}
	return true
}

// admit reports whether the request may go to the member; at an ejected member it takes the probe slot.
func (m *member) admit(q *pickRequest) bool {
	if !m.health.ejected() {
		return true
	}
	q.isProbe = m.health.startProbe(q.now, q.earlyProbe)
	return q.isProbe
}

// score returns the expected cost of one more request: the latency times the requests
// in flight, raised by the failure penalty. Lower is better; ejected members, which are
// usable only when a probe is due, score 0 so that the probe goes first.
func (m *member) score(now, typical int64) int64 {
	if m.health.ejected() {
		return 0
	}
	cost := m.latency.estimate(now, typical) * (m.host.credits.inFlight.Load() + 1)
	return cost + cost/milli*m.penalty.current(now)
}
