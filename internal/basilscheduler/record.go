package basilscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// DirtyJobs returns the IDs of the jobs whose records have changes that were not taken yet, and whether one of them is urgent.
// Urgent ones come first, followed by those that became dirty earliest.
func (p *Pool) DirtyJobs() (ids []string, urgent bool) {
	list := slices.SortedFunc(maps.Values(p.dirty), func(a, b *job) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.dirtySeq, b.dirtySeq)
	})
	for _, j := range list {
		ids = append(ids, j.id())
	}
	return ids, len(list) > 0 && list[0].urgent
}

// HasDirtyJobs reports whether a record has changes that were not taken yet.
func (p *Pool) HasDirtyJobs() bool { return len(p.dirty) > 0 }

// Changes returns how many times a clean record became dirty.
func (p *Pool) Changes() int64 { return p.changes }

// TakenUpTo reports whether all records that became dirty up to that value of Changes were taken.
func (p *Pool) TakenUpTo(changes int64) bool {
	return p.TakenUpToBut(changes, func(string) bool { return false })
}

// TakenUpToBut is TakenUpTo without regard to the records of the jobs that are set aside.
func (p *Pool) TakenUpToBut(changes int64, aside func(id string) bool) bool {
	for id, j := range p.dirty {
		if j.dirtySeq <= changes && !aside(id) {
			return false
		}
	}
	return true
}

// markDirty notes that the record of the job has to be stored. That of a cancelled job is not: the cancellation has stored it, with
// the time of its end.
func (p *Pool) markDirty(j *job) {
	if !j.dirty && j.record.State != basilwork.JobStateCanceled {
		j.dirty = true
		p.changes++
		j.dirtySeq = p.changes
		p.dirty[j.id()] = j
	}
}

func (p *Pool) markClean(j *job) {
	j.dirty = false
	delete(p.dirty, j.id())
}

// Take returns the record of a dirty job for storage and marks it clean.
func (p *Pool) Take(id string) (basilwork.Record, bool) {
	j := p.jobs[id]
	if j == nil || !j.dirty {
		return basilwork.Record{}, false
	}
	p.markClean(j)
	j.urgent = false
	if q := p.queues[j.record.Job.QueueID]; q != nil {
		j.record.Job.Settings = q.Settings()
	}
	return j.record, true
}

// Stored removes a job whose final state is stored, once it has no runs.
func (p *Pool) Stored(id string, now time.Time) {
	if j := p.jobs[id]; j != nil && j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
	}
}
