package basilnode

import (
	"sync/atomic"
	"time"
)

const (
	gatherLeast  = 40 * time.Millisecond  // between holds of a backend server, so that ends come together
	gatherMost   = 240 * time.Millisecond // as above: a fifth of what a short job of two steps may take beyond its work
	gatherGrowth = 1.6                    // of the time between holds, each paceWindow
	paceWindow   = 250 * time.Millisecond // over which the use of the processor is looked at
	paceBusy     = 0.7                    // of the processor share, from which on holds come less often
	paceIdle     = 0.5                    // as above, below which they come more often
)

// holdPace sets how often an owner holds each of its backend servers: the less of its processor share is left, the more
// ends one call is to bring. A call costs as much as a start, and a process short of time leaves backend servers idle. The
// zero value works.
type holdPace struct {
	gather atomic.Int64 // nanoseconds, 0 for gatherLeast
	at     time.Time    // of the control goroutine, as all below
	used   time.Duration
}

// between returns the time between holds; any goroutine may ask.
func (p *holdPace) between() time.Duration { return max(gatherLeast, time.Duration(p.gather.Load())) }

// look takes in how much processor time the process has used so far, of a share of a core.
func (p *holdPace) look(now time.Time, used time.Duration, share float64) {
	passed := now.Sub(p.at)
	if p.at.IsZero() || share <= 0 {
		p.at, p.used = now, used
		return
	}
	if passed < paceWindow {
		return
	}
	busy := float64(used-p.used) / (float64(passed) * min(share, 1))
	p.at, p.used = now, used
	gather := float64(p.between())
	switch {
	case busy > paceBusy:
		gather *= gatherGrowth
	case busy < paceIdle:
		gather /= gatherGrowth
	}
	p.gather.Store(int64(min(max(gather, float64(gatherLeast)), float64(gatherMost))))
}
