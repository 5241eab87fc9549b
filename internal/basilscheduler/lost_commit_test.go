package basilscheduler

import (
	"encoding/json"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// commit stores changed records, and acknowledges the ends of runs whose effect is stored.
func (o *playOwner) commit() {
	p := o.play
	if o.committing {
		return
	}
	ids, urgent := o.DirtyJobs()
	if len(ids) == 0 {
		o.acknowledge(o.Processed())
		o.pendingCover, o.oldestChange = nil, time.Time{}
		return
	}
	if o.oldestChange.IsZero() {
		o.oldestChange = p.now
	}
	if !urgent && p.now.Sub(o.oldestChange) < playCommitDelay {
		return
	}
	if o.pendingCover == nil || len(ids) <= playCommitRecords {
		o.pendingCover, o.pendingChanges = o.Processed(), o.Changes()
	}
	o.oldestChange = time.Time{}
	bodies := make(map[string][]byte)
	states := make(map[string]basilwork.JobState)
	for _, id := range ids[:min(len(ids), playCommitRecords)] {
		if r, ok := o.Take(id); ok {
			body, err := json.Marshal(r)
			if err != nil {
				panic(err)
			}
			bodies[id], states[id] = body, r.State
		}
	}
	o.covered = nil
	if o.TakenUpTo(o.pendingChanges) {
		o.covered, o.pendingCover = o.pendingCover, nil
	}
	o.committing = true
	o.sendCommit(bodies, states)
}

func (o *playOwner) sendCommit(bodies map[string][]byte, states map[string]basilwork.JobState) {
	p := o.play
	p.after(p.storeTime(), func() {
		if p.store.epoch != o.epoch {
			return
		}
		p.store.version++
		for _, id := range sortedKeys(bodies) {
			if row := p.store.rows[id]; p.cancelled[id].IsZero() {
				row.body, row.state, row.version = bodies[id], states[id], p.store.version
				p.store.rows[id] = row
				var r basilwork.Record
				if err := json.Unmarshal(bodies[id], &r); err != nil {
					panic(err)
				}
				p.noteStored(&r)
				p.judgeStored(id, states[id])
			}
		}
		version := p.store.version
		p.after(p.storeTime(), func() {
			o.thawed(func() {
				if !o.alive || o.deposed() {
					return
				}
				if p.now.Before(p.store.troubleUntil) && p.random.IntN(2) == 0 { // its answer is lost
					o.sendCommit(bodies, states)
					return
				}
				o.committing = false
				for _, id := range sortedKeys(bodies) {
					o.versions[id] = max(o.versions[id], version)
					if !p.cancelled[id].IsZero() {
						o.Cancel(id, p.now)
					}
					o.Stored(id, p.now)
				}
				o.acknowledge(o.covered)
			})
		})
	})
}

func (o *playOwner) acknowledge(numbers map[string]int64) {
	for id, n := range numbers {
		o.acked[id] = max(o.acked[id], n)
	}
}

// forgetEnds forgets which ends of a backend server are stored, or are stored by the commits under way.
func (o *playOwner) forgetEnds(id string) {
	delete(o.acked, id)
	delete(o.covered, id)
	delete(o.pendingCover, id)
}
