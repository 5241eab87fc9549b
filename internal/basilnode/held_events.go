package basilnode

import "slices"

// listSubject is the subject of events with the list of backend servers, which no ID equals.
const listSubject = "all backend servers"

// heldEvents are the events that arrive while an owner reads its pool's jobs. Reports would have runs of unread jobs stopped.
type heldEvents struct {
	list     []event
	complete map[string]int // by subject: position of the newest event if it is complete
}

// add adds an event. A complete one replaces an earlier one on its subject unless something else has happened to that in between, so that their
// number is bounded however long the read takes.
func (h *heldEvents) add(e event) {
	n, known := h.complete[e.subject]
	switch {
	case !e.complete:
		delete(h.complete, e.subject)
	case known:
		h.list[n] = e
		return
	default:
		if h.complete == nil {
			h.complete = make(map[string]int)
		}
		h.complete[e.subject] = len(h.list)
	}
	h.list = append(h.list, e)
}

// handle handles the events in their order, each as of the time at which it was queued: a backend server that has fallen silent since was not
// heard now, and servers that crashed one after the other did not crash together.
func (h *heldEvents) handle() {
	slices.SortStableFunc(h.list, func(a, b event) int { return a.queuedAt.Compare(b.queuedAt) })
	for _, e := range h.list {
		e.handle(e.queuedAt)
	}
}
