package basilnode

import (
	"sync/atomic"
	"time"
)

const (
	minHoldInterval    = 40 * time.Millisecond  // time between hold requests to a backend server, so that one answer brings several ends
	maxHoldInterval    = 240 * time.Millisecond // a fifth of the overhead that a short job of two steps may have
	holdIntervalFactor = 1.6                    // factor by which the interval changes per holdPaceWindow
	holdPaceWindow     = 250 * time.Millisecond // window in which CPU use is measured
	busyShare          = 0.7                    // part of the CPU share above which the interval grows
	idleShare          = 0.5                    // part of the CPU share below which the interval shrinks
)

// holdPacer adapts the interval between hold requests to each backend server to the CPU use of the process: the less of
// its CPU share is left, the more ends of runs one request is to bring. A request costs as much as a start, and a process
// that is short of CPU time leaves backend servers idle. The zero value is ready to use.
type holdPacer struct {
	intervalNanos atomic.Int64  // nanoseconds; 0 means minHoldInterval
	windowStart   time.Time     // start of the window; belongs to the control goroutine, as does usedBefore
	usedBefore    time.Duration // CPU time of the process at the start of the window
}

// interval returns the time between hold requests. It is safe for concurrent use.
func (p *holdPacer) interval() time.Duration {
	return max(minHoldInterval, time.Duration(p.intervalNanos.Load()))
}

// update adapts the interval at the end of each window. used is the CPU time that the process has used so far, and
// share is the part of a core that it may use.
func (p *holdPacer) update(now time.Time, used time.Duration, share float64) {
	passed := now.Sub(p.windowStart)
	if p.windowStart.IsZero() || share <= 0 {
		p.windowStart, p.usedBefore = now, used
		return
	}
	if passed < holdPaceWindow {
		return
	}
	busy := float64(used-p.usedBefore) / (float64(passed) * min(share, 1))
	p.windowStart, p.usedBefore = now, used
	interval := float64(p.interval())
	switch {
	case busy > busyShare:
		interval *= holdIntervalFactor
	case busy < idleShare:
		interval /= holdIntervalFactor
	}
	p.intervalNanos.Store(int64(min(max(interval, float64(minHoldInterval)), float64(maxHoldInterval))))
}
