package basilnode

import "time"

// heldEvents are the events that arrive while an owner reads its pool's jobs. Reports would have runs of unread jobs stopped.
type heldEvents struct {
	list    []event
	reports map[string]int // by backend server: position of its newest report, since the last event of another kind
}

// add adds an event. A report replaces an earlier one of the same backend server unless something else has happened between the two, so that
// their number is bounded however long the read takes.
func (h *heldEvents) add(e event) {
	n, reported := h.reports[e.report]
	switch {
	case e.report == "":
		h.reports = nil
	case reported:
		h.list[n] = e
		return
	default:
		if h.reports == nil {
			h.reports = make(map[string]int)
		}
		h.reports[e.report] = len(h.list)
	}
	h.list = append(h.list, e)
}

// handle handles the events in their order.
func (h *heldEvents) handle() {
	for _, e := range h.list {
		e.handle(time.Now())
	}
}
