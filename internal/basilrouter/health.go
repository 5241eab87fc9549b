package basilrouter

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Limits of ejection and of the way back.
const (
	ejectionBase      = time.Second
	ejectionMax       = time.Minute
	ejectionBaseSteps = 6 // doublings from the base to the maximum
	probesToReturn    = 3
	probeGrace        = 5 * time.Second // after which a request that can't be repeated may probe
)

// health counts how attempts on one member ended and holds its ejection.
type health struct {
	answered atomic.Int64 // since the last sweep
	failed   atomic.Int64 // since the last sweep
	streak   atomic.Int64 // failures in a row
	until    atomic.Int64 // Unix nanoseconds; 0 is in service
	probing  atomic.Bool  // a probe is in flight
	passed   atomic.Int64 // probes answered in a row
	ejection atomic.Int64 // ejections in a row

	rate failureRate // guarded by the pool's sweep
}

func (h *health) ejected() bool { return h.until.Load() != 0 }

// admits tells whether a request may go to the member: in service, or due for a probe.
func (h *health) admits(now int64, probe bool) bool {
	due := h.until.Load()
	if due == 0 {
		return true
	}
	if !probe {
		due += int64(probeGrace)
	}
	return now >= due && !h.probing.Load()
}

// enter takes the probe's place at an ejected member.
func (h *health) enter(now int64, probe bool) bool {
	return h.admits(now, probe) && h.probing.CompareAndSwap(false, true)
}

// eject takes the member out of service for a time that doubles with each ejection.
func (h *health) eject(now int64) {
	n := min(h.ejection.Add(1)-1, ejectionBaseSteps)
	d := min(ejectionBase<<n, ejectionMax)
	d += rand.N(d / 2)
	h.passed.Store(0)
	h.until.Store(now + int64(d))
}

// restore puts the member back in service.
func (h *health) restore() {
	h.streak.Store(0)
	h.passed.Store(0)
	h.until.Store(0)
}

// success notes an attempt that speaks for the member and tells whether it ended an ejection.
func (h *health) success(probe bool) bool {
	h.answered.Add(1)
	h.streak.Store(0)
	if !probe || !h.ejected() {
		return false
	}
	if h.passed.Add(1) < probesToReturn {
		return false
	}
	h.ejection.Store(0)
	h.restore()
	return true
}

// failure notes an attempt that speaks against the member.
func (h *health) failure(now int64, probe bool) {
	h.failed.Add(1)
	h.streak.Add(1)
	if probe && h.ejected() {
		h.eject(now)
	}
}

// reset forgets everything, for a host that came back at a higher epoch.
func (h *health) reset() {
	h.answered.Store(0)
	h.failed.Store(0)
	h.ejection.Store(0)
	h.restore()
}
