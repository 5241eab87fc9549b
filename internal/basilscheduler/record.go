package basilscheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Dirty returns the records that changed since they were last taken, and whether one is urgent. Those that are come
// first, and then those that have waited for longest.
func (p *Pool) Dirty() (ids []string, urgent bool) {
	list := slices.SortedFunc(maps.Values(p.dirty), func(a, b *job) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.soiled, b.soiled)
	})
	for _, j := range list {
		ids = append(ids, j.id())
	}
	return ids, len(list) > 0 && list[0].urgent
}

// Changes returns how many times a record has begun to differ from what was taken of it.
func (p *Pool) Changes() int64 { return p.soils }

// TakenUpTo tells whether the records are taken that had changed when there were so many changes.
func (p *Pool) TakenUpTo(changes int64) bool {
	for _, j := range p.dirty {
		if j.soiled <= changes {
			return false
		}
	}
	return true
}

// soil notes that the job's record changed.
func (p *Pool) soil(j *job) {
	if !j.dirty {
		j.dirty = true
		p.soils++
		j.soiled = p.soils
		p.dirty[j.id()] = j
	}
}

func (p *Pool) clean(j *job) {
	j.dirty = false
	delete(p.dirty, j.id())
}

// Take returns the job's record to be stored and marks it clean.
func (p *Pool) Take(id string) (basilwork.Record, bool) {
	j := p.jobs[id]
	if j == nil || !j.dirty {
		return basilwork.Record{}, false
	}
	p.clean(j)
	j.urgent = false
	return j.record, true
}

// Stored forgets a job whose final state is stored and that has no runs.
func (p *Pool) Stored(id string, now time.Time) {
	if j := p.jobs[id]; j != nil && j.record.State.Final() {
		p.endJob(j, "job "+j.record.State.String(), now)
	}
}
