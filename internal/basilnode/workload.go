package basilnode

import "time"

const (
	overloadWindow   = time.Second            // window over which the waits of events are averaged
	overloadWait     = 200 * time.Millisecond // mean wait beyond which a window is overloaded: a fifth of a short task's duration
	overloadWindows  = 4                      // overloaded windows in a row that count as lasting; a takeover costs two or three, so it isn't worth it for less
	minShareFraction = 0.5                    // fraction of its processor share below which a busy process must be slowed down from outside
)

// workload detects lasting overload of a control goroutine: events wait long for it, or it can't send as many starts as its pool has room for,
// while events are handled in time. The zero value is ready to use.
//
// The fraction of time for which the goroutine is busy would tell less: it may be busy and on time, or slowed down by other
// processes on its host.
type workload struct {
	windowStart time.Time     // start of the window
	totalWait   time.Duration // sum over the events of the window
	events      int
	overloaded  int                  // overloaded windows in a row
	late        bool                 // events waited long in the last full window
	processor   func() time.Duration // processor time used by the process so far; nil if not known
	limited     func() bool          // reports whether tasks wait for lack of starts while the pool has room; nil if not known
	usedAtStart time.Duration        // processor time at the start of the window
	share       float64              // cores that the process used in the last full window
}

// waited records how long an event has waited.
func (w *workload) waited(d time.Duration) {
	w.totalWait += d
	w.events++
}

// lastingOverload reports whether a window ends now that is at least the overloadWindows-th overloaded one in a row.
func (w *workload) lastingOverload(now time.Time) bool {
	if w.windowStart.IsZero() {
		w.windowStart = now
		w.usedAtStart = w.processorTime()
	}
	window := now.Sub(w.windowStart)
	if window < overloadWindow {
		return false
	}
	w.late = w.events > 0 && w.totalWait > time.Duration(w.events)*overloadWait
	if w.late || w.limited != nil && w.limited() {
		w.overloaded++
	} else {
		w.overloaded = 0
	}
	used := w.processorTime()
	w.share = float64(used-w.usedAtStart) / float64(window)
	w.windowStart, w.totalWait, w.events, w.usedAtStart = now, 0, 0, used
	return w.overloaded >= overloadWindows
}

func (w *workload) processorTime() time.Duration {
	if w.processor == nil {
		return 0
	}
	return w.processor()
}

// shareFraction returns the fraction of its processor share, own, that the process got in the last window, or 1 if it got at least
// minShareFraction of it. It is meant for windows with overload, in which the process would have used all that it got. One that handles
// its events in time may have been waiting, so it counts as having got its share.
func (w *workload) shareFraction(own float64) float64 {
	if own = min(own, 1); w.late && w.share > 0 && w.share < minShareFraction*own {
		return w.share / own
	}
	return 1
}
