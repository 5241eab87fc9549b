package basilnode_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"basilstage.example/basilstage/platform/basilfake"
)

// Bounds of the deployments, the shortest of each.
const (
	cancelBound  = 3 * time.Second        // cancel_ms: how long after a cancellation was answered tasks of the job may start
	lateBound    = 3 * time.Second        // contact_ms: how long after a start that was carried out late its run may go on
	stopBound    = 900 * time.Millisecond // stop_timeout_ms: how long a run may go on after either
	visibleBound = 3 * time.Second        // visible_ms: how long after its acceptance a job may be unknown
)

// callRecord is one request of a caller. Its status is 0 if it got no answer.
type callRecord struct {
	method, id, host string
	sent, answered   time.Time
	status           int
	state            string // in the answer to a GET
}

func (c *callRecord) acknowledgesCancel() bool {
	return c.method == http.MethodDelete && (c.status == http.StatusOK || c.status == http.StatusGone)
}

func (c *callRecord) accepts() bool { return c.method == http.MethodPost && c.status == http.StatusOK }

func (c *callRecord) refuses() bool {
	return c.method == http.MethodPost && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests)
}

func (c *callRecord) String() string {
	return fmt.Sprintf("%s at %s answered %d %s", c.method, c.host, c.status, c.state)
}

// span is the time that a disruption takes.
type span struct{ from, to time.Time }

// callHistory is all that callers and backend servers saw.
type callHistory struct {
	tasks       map[string]int // of each submitted job
	longRunning map[string]bool
	calls       []callRecord
	runs        []basilfake.Run
	disruptions []span    // during which runs of cancelled jobs may go on
	calm        bool      // nothing happened that keeps an entry host from serving a request
	lastRound   time.Time // from which on all entry hosts were asked for all jobs
	end         time.Time
}

// violations returns the contradictions between the answers to callers, and between them and the runs.
func (h *callHistory) violations() []string {
	slices.SortStableFunc(h.calls, func(a, b callRecord) int { return a.answered.Compare(b.answered) })
	var list []string
	for id := range h.tasks {
		var calls []callRecord
		for _, c := range h.calls {
			if c.id == id {
				calls = append(calls, c)
			}
		}
		var runs []basilfake.Run
		for _, r := range h.runs {
			if strings.HasPrefix(r.Task, id+".") {
				runs = append(runs, r)
			}
		}
		list = append(list, h.lateRuns(calls, runs)...)
		list = append(list, h.runsOfRefused(id, calls, runs)...)
		list = append(list, h.unserved(id, calls)...)
		list = append(list, h.doneTwice(runs)...)
		list = append(list, h.wrongStates(id, calls, runs)...)
		list = append(list, h.unfinished(id, calls)...)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// pending reports whether a job that was accepted or cancelled has not been shown with its outcome.
func (h *callHistory) pending() bool {
	for id := range h.tasks {
		calls := slices.DeleteFunc(slices.Clone(h.calls), func(c callRecord) bool { return c.id != id })
		if len(h.unfinished(id, calls)) > 0 {
			return true
		}
	}
	return false
}

// lateRuns returns the runs of a job that start too late or go on for too long after its cancellation was answered.
func (h *callHistory) lateRuns(calls []callRecord, runs []basilfake.Run) []string {
	n := slices.IndexFunc(calls, func(c callRecord) bool { return c.acknowledgesCancel() })
	if n < 0 {
		return nil
	}
	cancelled := calls[n].answered
	var list []string
	for _, r := range runs {
		if after := r.Started.Sub(cancelled); after > cancelBound && !r.Late {
			list = append(list, fmt.Sprintf("%s starts %v after its job's %s", r.Task, after, calls[n].String()))
		}
		bound := h.calmAfter(cancelled, cancelBound+stopBound)
		if r.Late && r.Started.After(cancelled.Add(cancelBound-lateBound)) {
			bound = h.calmAfter(r.Started, lateBound+stopBound)
		}
		ended := r.Ended
		if ended.IsZero() {
			ended = h.end
		}
		if ended.After(bound) {
			list = append(list, fmt.Sprintf("%s (late %v) runs on until %v after its job's %s", r.Task, r.Late, ended.Sub(cancelled), calls[n].String()))
		}
	}
	return list
}

// calmAfter returns the end of the first time of that length since then without a disruption.
func (h *callHistory) calmAfter(since time.Time, length time.Duration) time.Time {
	spans := slices.Clone(h.disruptions)
	slices.SortFunc(spans, func(a, b span) int { return a.from.Compare(b.from) })
	for _, s := range spans {
		if s.from.Before(since.Add(length)) && s.to.After(since) {
			since = s.to
		}
	}
	return since.Add(length)
}

// unserved returns the requests for a job that were not answered with success although nothing kept the entry hosts from it.
func (h *callHistory) unserved(id string, calls []callRecord) []string {
	var list []string
	for _, c := range calls {
		if h.calm && c.status != http.StatusOK && (c.status != http.StatusGone || c.method == http.MethodPost) {
			list = append(list, fmt.Sprintf("%s: %s with nothing in the way", id, c.String()))
		}
	}
	return list
}

// doneTwice returns the tasks that run again after a run of them was done, unless a disruption may have kept that from being known.
func (h *callHistory) doneTwice(runs []basilfake.Run) []string {
	var list []string
	ended := make(map[string]bool)
	for _, r := range runs {
		if len(h.disruptions) == 0 && r.How == "done" {
			if ended[r.Task] {
				list = append(list, r.Task+" is done twice")
			}
			ended[r.Task] = true
		}
	}
	return list
}

// runsOfRefused returns the runs of a job if all its submissions were refused.
func (h *callHistory) runsOfRefused(id string, calls []callRecord, runs []basilfake.Run) []string {
	for _, c := range calls {
		if c.method == http.MethodPost && !c.refuses() {
			return nil
		}
	}
	if len(runs) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s was refused and %s runs", id, runs[0].Task)}
}

// wrongStates returns the states of a job that callers must not be shown.
func (h *callHistory) wrongStates(id string, calls []callRecord, runs []basilfake.Run) []string {
	var list []string
	for n := range calls {
		c := &calls[n]
		if c.method != http.MethodGet || c.status != http.StatusOK && c.status != http.StatusGone {
			continue
		}
		if reason := h.wrongState(c, calls[:n], runs); reason != "" {
			list = append(list, fmt.Sprintf("%s: %s %s", id, c, reason))
		}
	}
	return list
}

// wrongState returns why an answer to a GET contradicts the answers before it, or an empty string.
func (h *callHistory) wrongState(get *callRecord, before []callRecord, runs []basilfake.Run) string {
	var accepted time.Time
	for n := range before {
		c := &before[n]
		if c.accepts() && accepted.IsZero() {
			accepted = c.answered
		}
		if !c.answered.Before(get.sent) {
			continue // it may have been carried out after the GET
		}
		if c.method == http.MethodGet && isFinal(c.state) && get.state != c.state {
			return "after " + c.String()
		}
		if c.method == http.MethodDelete && c.status == http.StatusOK && (!isFinal(get.state) || get.state == "completed" && done(runs, c.answered) < h.tasks[get.id]) {
			return "after " + c.String()
		}
		if c.method == http.MethodDelete && c.status == http.StatusGone && get.status == http.StatusOK && get.state != "canceled" {
			return "after " + c.String()
		}
	}
	switch {
	case get.status == http.StatusGone && !h.cancelSent(get) && !accepted.IsZero() && get.sent.Sub(accepted) > visibleBound:
		return "and was accepted"
	case get.state == "canceled" && !h.cancelSent(get):
		return "and nobody cancelled it"
	case get.state == "completed" && done(runs, get.answered) < h.tasks[get.id]:
		return fmt.Sprintf("and %d of %d tasks have ended", done(runs, get.answered), h.tasks[get.id])
	}
	return ""
}

func isFinal(state string) bool {
	return state == "canceled" || state == "completed" || state == "failed"
}

// cancelSent reports whether a DELETE of the job had been sent when the GET was answered.
func (h *callHistory) cancelSent(get *callRecord) bool {
	return slices.ContainsFunc(h.calls, func(c callRecord) bool {
		return c.method == http.MethodDelete && c.id == get.id && !c.sent.After(get.answered)
	})
}

// done returns how many tasks had ended as done by then.
func done(runs []basilfake.Run, by time.Time) int {
	tasks := make(map[string]bool)
	for _, r := range runs {
		if r.How == "done" && !r.Ended.After(by) {
			tasks[r.Task] = true
		}
	}
	return len(tasks)
}

// unfinished returns what the last GET at an entry host shows of a job that was accepted, or cancelled, if it isn't its outcome.
func (h *callHistory) unfinished(id string, calls []callRecord) []string {
	accepted := slices.ContainsFunc(calls, func(c callRecord) bool { return c.accepts() })
	cancelled := slices.ContainsFunc(calls, func(c callRecord) bool { return c.acknowledgesCancel() })
	cancelSent := slices.ContainsFunc(calls, func(c callRecord) bool { return c.method == http.MethodDelete })
	last := make(map[string]*callRecord)
	for n := range calls {
		if calls[n].method == http.MethodGet && !calls[n].sent.Before(h.lastRound) {
			last[calls[n].host] = &calls[n]
		}
	}
	var list []string
	for _, c := range last {
		answer := c.state
		if c.status != http.StatusOK {
			answer = strconv.Itoa(c.status)
		}
		switch {
		case accepted && !cancelSent && answer != "completed" && answer != "failed" && (answer != "active" || !h.longRunning[id]):
			list = append(list, fmt.Sprintf("%s was accepted, and %s at the end", id, c))
		case cancelled && !isFinal(answer) && answer != strconv.Itoa(http.StatusGone):
			list = append(list, fmt.Sprintf("%s was cancelled, and %s at the end", id, c))
		}
	}
	return list
}
