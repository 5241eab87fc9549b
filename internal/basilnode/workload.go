package basilnode

import "time"

const (
	workWindow = 1500 * time.Millisecond // over which a control goroutine's work is measured
	workLimit  = 0.8                     // of the window: beyond it events wait for long
)

// workload measures how much of the time a control goroutine works; its zero value works.
type workload struct {
	since time.Time // start of the window
	began time.Time
	spent time.Duration
}

func (w *workload) begin(now time.Time) {
	if w.since.IsZero() {
		w.since = now
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
	w.since, w.spent = now, 0
	return full
}
