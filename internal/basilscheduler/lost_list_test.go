package basilscheduler

import (
	"cmp"

	"basilstage.example/basilstage/internal/basilwork"
)

func compareTaskIDs(x, y basilwork.TaskID) int {
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}

// listRuns has it stored which tasks of listed steps may run on the backend servers.
func (o *playOwner) listRuns() {
	lists := o.TakeRunLists()
	if len(lists) == 0 {
		return
	}
	for id, tasks := range lists {
		o.lists[id] = make(map[basilwork.TaskID]bool)
		for _, t := range tasks {
			o.lists[id][t] = true
		}
	}
	o.record()
}

// sendListed sends the starts that successors will know of.
func (o *playOwner) sendListed() {
	waiting := o.unlisted
	o.unlisted = nil
	for _, s := range waiting {
		row := o.play.store.servers[s.Backend]
		writing, isWritten := o.listing[s.Backend]
		known := !s.Listed || (!row.listed || row.tasks[s.Task]) && (!isWritten || writing[s.Task])
		state := StartStateReady
		if s.Listed && s.Repeats == 0 {
			state = o.ListedStart(s.Ref, known, o.play.now)
		}
		switch {
		case state == StartStateReady && known:
			o.sendStart(s)
		case state == StartStateWaiting:
			o.unlisted = append(o.unlisted, s)
		default:
			o.Started(s.Ref, basilwork.RefusalUnsent, true, o.play.now)
		}
	}
}
