package basilexperiment

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// host is one host and the backend server on it.
type host struct {
	basilwork.Machine
	backend  basilwork.Backend
	pool     *pool // nil while it is off or on its way
	listed   bool
	factor   float64 // times as long as on a sound host
	failing  bool
	used     basilwork.Resources
	runs     map[basilscheduler.Ref]*run
	ended    []basilwork.EndedRun
	numbered int64
}

// run is one run of a task on a host.
type run struct {
	room  basilwork.Resources
	spent int // thousandths of a core
	began time.Duration
	ends  time.Duration
	lasts bool
	saves bool
	share float64 // of the task's work that was saved before
}

// saved returns the checkpoint of the run's progress, empty for none.
func (r *run) saved(now time.Duration) string {
	if !r.saves {
		return ""
	}
	share := r.share + (1-r.share)*float64(now-r.began)/float64(max(r.ends-r.began, 1))
	return strconv.FormatFloat(min(share, 1), 'f', 3, 64)
}

// percent returns how much of the run is done; one that lasts is at work after a short startup.
func (r *run) percent(now time.Duration) int {
	if r.lasts {
		if now-r.began > startup {
			return 100
		}
		return 0
	}
	return int(100 * (now - r.began) / max(r.ends-r.began, 1))
}

// start begins a run if there is room.
func (h *host) start(ref basilscheduler.Ref, r *run) basilwork.Refusal {
	if !h.Resources.Sub(h.used).Covers(r.room) {
		return basilwork.RefusalRoom
	}
	h.used = h.used.Add(r.room)
	h.runs[ref] = r
	return basilwork.RefusalNone
}

// end ends a run.
func (h *host) end(ref basilscheduler.Ref, how basilwork.RunEnd, saved string) {
	r := h.runs[ref]
	delete(h.runs, ref)
	h.used = h.used.Sub(r.room)
	h.numbered++
	h.ended = append(h.ended, basilwork.EndedRun{Number: h.numbered, Task: ref.Task.String(), Attempt: ref.Attempt, End: how, Checkpoint: saved})
}

// report returns what the backend server lists, and forgets ends up to the number.
func (h *host) report(now time.Duration, acknowledged int64) basilwork.Report {
	h.ended = slices.DeleteFunc(h.ended, func(e basilwork.EndedRun) bool { return e.Number <= acknowledged })
	r := basilwork.Report{Ended: slices.Clone(h.ended)}
	for _, ref := range slices.SortedFunc(maps.Keys(h.runs), compareRefs) {
		r.Running = append(r.Running, basilwork.RunStatus{Task: ref.Task.String(), Attempt: ref.Attempt, ProgressPercent: h.runs[ref].percent(now)})
	}
	return r
}

// renew starts a new backend server on the host, in a pool or in none.
func (h *host) renew(id string, p *pool) {
	h.pool, h.runs, h.ended, h.numbered, h.used = p, make(map[basilscheduler.Ref]*run), nil, 0, basilwork.Resources{}
	h.Backend, h.backend = "", basilwork.Backend{}
	if p != nil {
		h.Pool, h.Backend = p.name, id
		h.backend = basilwork.Backend{ID: id, Service: p.name, Resources: h.Resources}
	}
}

// leave ends all that runs on the host.
func (h *host) leave() {
	h.Up, h.listed, h.pool, h.Backend = false, false, nil, ""
	h.runs, h.used = nil, basilwork.Resources{}
}
