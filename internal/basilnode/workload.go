package basilnode

import "time"

const (
	lagWindow  = time.Second            // over which the waits of events are averaged
	lagLimit   = 200 * time.Millisecond // mean wait beyond which a window counts: a fifth of a short task's time
	lagWindows = 4                      // in a row: a takeover costs two or three, so a shorter lack is better sat out
	slowLimit  = 0.5                    // of the processor share: a busy process that gets less is slowed from outside
)

// workload tells whether a control goroutine is behind for good, by how long events wait for it; its zero value works.
//
// How much of the time it works says less: it may be busy and on time, or kept from working by the rest of its host.
type workload struct {
	since     time.Time // start of the window
	waits     time.Duration
	events    int
	behind    int                  // windows in a row
	processor func() time.Duration // that the process has used so far; nil where that is not known
	used      time.Duration        // at the start of the window
	share     float64              // of a core that the process got in the last full window
}

// waited notes how long an event has waited.
func (w *workload) waited(d time.Duration) {
	w.waits += d
	w.events++
}

// lasts tells, at the end of a window, whether events have waited for too long in enough windows.
func (w *workload) lasts(now time.Time) bool {
	if w.since.IsZero() {
		w.since = now
		w.used = w.processorTime()
	}
	window := now.Sub(w.since)
	if window < lagWindow {
		return false
	}
	if w.events > 0 && w.waits > time.Duration(w.events)*lagLimit {
		w.behind++
	} else {
		w.behind = 0
	}
	used := w.processorTime()
	w.share = float64(used-w.used) / float64(window)
	w.since, w.waits, w.events, w.used = now, 0, 0, used
	return w.behind >= lagWindows
}

func (w *workload) processorTime() time.Duration {
	if w.processor == nil {
		return 0
	}
	return w.processor()
}

// rate returns how much of its processor share a process got in a window in which it was behind: all, unless that was
// far less.
func (w *workload) rate(own float64) float64 {
	if own = min(own, 1); w.share > 0 && w.share < slowLimit*own {
		return w.share / own
	}
	return 1
}
