package basilrouter

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Parameters of ejection and recovery.
const (
	ejectionBase            = time.Second
	ejectionMax             = time.Minute
	ejectionMaxDoublings    = 6 // doublings after which ejectionMax applies
	probesToRestore         = 3
	nonIdempotentProbeDelay = 5 * time.Second // additional wait before a job that isn't idempotent may be used as a probe
)

// health tracks successes and failures of one member, and its ejection from the pool.
type health struct {
	answered      atomic.Int64 // successes since the last sweep
	failed        atomic.Int64 // failures since the last sweep
	failureStreak atomic.Int64 // consecutive failures
	ejectedUntil  atomic.Int64 // Unix nanoseconds at which probes start; 0 if not ejected
	probing       atomic.Bool  // a probe is in flight
	probesPassed  atomic.Int64 // consecutive successful probes
	ejections     atomic.Int64 // ejections since the last recovery by probes

	rate failureRate // guarded by servicePool.sweepMu
}

func (h *health) ejected() bool { return h.ejectedUntil.Load() != 0 }

// admits reports whether a request may go to the member: it is not ejected, or a probe is due.
func (h *health) admits(now int64, earlyProbe bool) bool {
	due := h.ejectedUntil.Load()
	if due == 0 {
		return true
	}
	if !earlyProbe {
		due += int64(nonIdempotentProbeDelay)
	}
	return now >= due && !h.probing.Load()
}

// startProbe takes the probe slot of an ejected member if a probe is due; only one probe is in flight.
func (h *health) startProbe(now int64, earlyProbe bool) bool {
	return h.admits(now, earlyProbe) && h.probing.CompareAndSwap(false, true)
}

// eject removes the member from service. The duration doubles with each ejection, and
// a random extra of up to half of it spreads the probes.
func (h *health) eject(now int64) {
	n := min(h.ejections.Add(1)-1, ejectionMaxDoublings)
	d := min(ejectionBase<<n, ejectionMax)
	d += rand.N(d / 2)
	h.probesPassed.Store(0)
	h.ejectedUntil.Store(now + int64(d))
}

// restore returns the member to service.
func (h *health) restore() {
	h.failureStreak.Store(0)
	h.probesPassed.Store(0)
	h.ejectedUntil.Store(0)
}

// recordSuccess counts an attempt that the member answered and reports whether it ended an ejection.
func (h *health) recordSuccess(probe bool) bool {
	h.answered.Add(1)
	h.failureStreak.Store(0)
	if !probe || !h.ejected() {
		return false
	}
	if h.probesPassed.Add(1) < probesToRestore {
		return false
	}
	h.ejections.Store(0)
	h.restore()
	return true
}

// recordFailure counts a failed attempt; a failed probe ejects the member again.
func (h *health) recordFailure(now int64, probe bool) {
	h.failed.Add(1)
	h.failureStreak.Add(1)
	if probe && h.ejected() {
		h.eject(now)
	}
}

// reset clears the counts and the ejection, for a host that returned at a higher epoch.
func (h *health) reset() {
	h.answered.Store(0)
	h.failed.Store(0)
	h.ejections.Store(0)
	h.restore()
}
