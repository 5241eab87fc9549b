package basilnode

import "time"

const (
	workWindow = 1500 * time.Millisecond // over which a control goroutine's work is measured
	workLimit  = 0.8                     // of the window: beyond it events wait for long
	slowLimit  = 0.5                     // of the processor share: a busy process that gets less is slowed from outside
)

// workload measures how much of the time a control goroutine works; its zero value works.
type workload struct {
	since     time.Time // start of the window
	began     time.Time
	spent     time.Duration
	processor func() time.Duration // that the process has used so far; nil where that is not known
	used      time.Duration        // at the start of the window
	share     float64              // of a core that the process got in the last full window
}

func (w *workload) begin(now time.Time) {
	if w.since.IsZero() {
		w.since = now
		w.used = w.processorTime()
	}
	w.began = now
}

// end notes the end of a piece of work, and tells whether the window that it closes was too full.
func (w *workload) end(now time.Time) bool {
	w.spent += now.Sub(w.began)
	window := now.Sub(w.since)
	if window < workWindow {
		return false
	}
	full := float64(w.spent) > workLimit*float64(window)
	used := w.processorTime()
	w.share = float64(used-w.used) / float64(window)
	w.since, w.spent, w.used = now, 0, used
	return full
}

func (w *workload) processorTime() time.Duration {
	if w.processor == nil {
		return 0
	}
	return w.processor()
}

// rate returns how much of its processor share a process got in a window that was too full: all, unless that was far less.
func (w *workload) rate(own float64) float64 {
	if own = min(own, 1); w.share > 0 && w.share < slowLimit*own {
		return w.share / own
	}
	return 1
}
