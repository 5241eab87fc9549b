package basilnode

import (
	"slices"
	"strings"
	"time"

	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	// maxListedRuns is the maximum number of tasks in the list of a row: a tenth of the 64 KB that the platform takes. Servers have room for some tens.
	maxListedRuns = 128
	listSweep     = 50 * time.Millisecond // between looks for starts that have waited too long
)

// runList is the list of the long-running tasks that may run on a backend server. The zero value lists none, so that all may.
type runList struct {
	RunsEpoch int64  `json:"runs_epoch,omitempty"` // of the owner that has stored the list; 0 for no list
	Runs      string `json:"runs,omitempty"`       // IDs of the tasks
}

func newRunList(epoch int64, tasks []basilwork.TaskID) runList {
	if len(tasks) > maxListedRuns {
		return runList{}
	}
	names := make([]string, 0, len(tasks))
	for _, t := range tasks {
		names = append(names, t.String())
	}
	slices.Sort(names)
	return runList{RunsEpoch: epoch, Runs: strings.Join(slices.Compact(names), " ")}
}

// tasks returns the tasks of the list; ok is false if all tasks may run there.
func (l runList) tasks() (tasks []basilwork.TaskID, ok bool) {
	for name := range strings.FieldsSeq(l.Runs) {
		id, err := basilwork.ParseTaskID(name)
		if err != nil {
			return nil, false // of a later release, so that what it means is not known
		}
		tasks = append(tasks, id)
	}
	return tasks, l.RunsEpoch != 0
}

// admits reports whether successors that read the list will know that the task may run there.
func (l runList) admits(task string) bool {
	return l.RunsEpoch == 0 || slices.Contains(strings.Fields(l.Runs), task)
}

func (r backendRecord) withList(l runList) backendRecord {
	r.runList = l
	return r
}

// wantedList returns the list that the row is to have. One that an owner before has stored stays while nothing has changed.
func (r *recorder) wantedList(e storedRecord) runList {
	l, changed := r.lists[e.ID]
	if !changed || l.Runs == e.Runs && l.RunsEpoch != 0 && e.RunsEpoch != 0 {
		return e.runList
	}
	return l
}

// admits reports whether successors will know that the task may run on the backend server, whether or not the write in flight is carried out.
func (r *recorder) admits(id, task string) bool {
	e, ok := r.rows[id]
	l, isWritten := r.writing[id]
	return ok && !e.uncertain && e.admits(task) && (!isWritten || l.admits(task))
}

// chooseKind leaves the writes of one kind, and notes what isn't certain until the answer.
func (r *recorder) chooseKind(w *recordWrite) {
	puts := len(w.puts) > 0 && !(r.putLast && len(w.silences)+len(w.lists) > 0)
	r.putLast = puts
	switch {
	case puts:
		w.silences, w.lists = nil, nil
	case len(w.silences) > 0:
		w.puts, w.lists = nil, nil
		for _, e := range w.silences {
			delete(r.rows, e.ID)
		}
	default:
		for _, e := range w.lists {
			r.writing[e.ID] = e.runList
		}
		w.puts = nil
	}
}

// doubt notes that the lists of the rows may have been stored, or not.
func (r *recorder) doubt(list []storedRecord) {
	for _, e := range list {
		if stored, ok := r.rows[e.ID]; ok {
			stored.uncertain = true
			r.rows[e.ID] = stored
		}
	}
}

func recordsOf(list []storedRecord) []backendRecord {
	records := make([]backendRecord, 0, len(list))
	for _, e := range list {
		records = append(records, e.backendRecord)
	}
	return records
}

// unlistedStart is a start that waits until the list of its backend server is stored with its task.
type unlistedStart struct {
	basilscheduler.Start
	connection *connection
}

// listRuns has the lists stored that have changed.
func (o *owner) listRuns() {
	lists := o.pool.TakeRunLists()
	if len(lists) == 0 {
		return
	}
	for id, tasks := range lists {
		o.records.lists[id] = newRunList(o.row.Epoch, tasks)
	}
	o.recordBackends()
}

// sendListed queues the starts that successors know of by now, and withdraws those that can't be sent. It returns the time until it has to be called
// again, or 0.
func (o *owner) sendListed(now time.Time) time.Duration {
	waiting := o.unlisted
	o.unlisted = nil
	var ready []basilscheduler.Start
	var withdrawn []withdrawnStart
	for _, s := range waiting {
		state := basilscheduler.StartStateWithdrawn
		if !o.stopping && o.connections[s.Backend] == s.connection {
			state = o.pool.ListedStart(s.Ref, o.records.admits(s.Backend, s.Task.String()), now)
		}
		switch state {
		case basilscheduler.StartStateWaiting:
			o.unlisted = append(o.unlisted, s)
		case basilscheduler.StartStateReady:
			ready = append(ready, s.Start)
		case basilscheduler.StartStateWithdrawn:
			withdrawn = append(withdrawn, withdrawnStart{Start: s.Start, reason: withdrawalUnlisted})
		}
	}
	o.reportWithdrawn(withdrawn, now)
	o.sendStarts(ready, now)
	if len(o.unlisted) == 0 {
		return 0
	}
	return listSweep
}
