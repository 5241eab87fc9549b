package basilscheduler

import (
	"maps"
	"slices"
	"time"
)

// inUse reports whether a successor would wait in full for the backend server, so that it may be used.
func (o *playOwner) inUse(id string) bool {
	s, ok := o.play.store.servers[id]
	return ok && s.silentUntil.IsZero() && o.silences[id].IsZero() && !o.uncertain[id]
}

// record stores the backend servers that may be used and those that are silent, and forgets those that are gone.
func (o *playOwner) record() {
	p := o.play
	if p.now.Sub(o.startedAt) >= playSilenceDelay {
		for id, until := range o.SilentPredecessorBackends() {
			if o.silences[id].IsZero() {
				o.silences[id] = until
			}
		}
	}
	var missing []playServerRow
	known := make(map[string]bool)
	for _, b := range o.Backends() {
		known[b.ID] = true
		o.SetRecorded(b.ID, o.inUse(b.ID))
		s, ok := p.store.servers[b.ID]
		switch tasks, listed := o.lists[b.ID]; {
		case !ok || s.StartedAt != b.StartedAt || !s.silentUntil.Equal(o.silences[b.ID]):
			row := playServerRow{Backend: b, silentUntil: o.silences[b.ID]}
			if ok && !row.silentUntil.IsZero() {
				row.listed, row.tasks = s.listed, s.tasks
			}
			missing = append(missing, row)
		case listed && !(s.listed && maps.Equal(s.tasks, tasks)):
			s.listed, s.tasks = true, maps.Clone(tasks)
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 && p.now.Sub(o.lastDelete) >= 2*time.Second {
		maps.DeleteFunc(o.silences, func(id string, _ time.Time) bool { return !known[id] })
	}
	if o.recordBusy || len(missing) == 0 && p.now.Sub(o.lastDelete) < 2*time.Second {
		return
	}
	o.recordBusy = true
	for _, b := range missing {
		o.uncertain[b.ID] = !b.silentUntil.IsZero()
		if b.listed {
			o.listing[b.ID] = b.tasks
		}
	}
	random := p.random
	if len(missing) > 0 && !slices.ContainsFunc(missing, func(b playServerRow) bool { return !b.listed || !b.silentUntil.IsZero() }) {
		random = p.listTimes
	}
	p.after(p.storeTimeBy(random), func() {
		o.recordBusy = false
		clear(o.uncertain)
		clear(o.listing)
		if p.store.epoch != o.epoch {
			return
		}
		for _, b := range missing {
			p.store.servers[b.ID] = b
		}
		if len(missing) == 0 && o.alive {
			o.lastDelete = p.now
			for id := range p.store.servers {
				if !known[id] && !o.Knows(id) {
					delete(p.store.servers, id)
				}
			}
		}
		if o.alive {
			o.record()
		}
	})
}

// fallSilent has it stored until when a server that no longer answers may have runs.
func (c *playConnection) fallSilent() {
	o := c.owner
	if !c.attached || !o.silences[c.id].IsZero() {
		return
	}
	c.suspended = true
	o.silences[c.id] = c.lease.Expiry(playMaxHold)
	for _, until := range []time.Time{c.inherited, c.attachedAt.Add(playMaxHold + 400*time.Millisecond)} {
		if until.After(o.silences[c.id]) {
			o.silences[c.id] = until
		}
	}
	o.record()
}

// heard removes the silence of a backend server that has answered.
func (o *playOwner) heard(id string) {
	if !o.silences[id].IsZero() {
		delete(o.silences, id)
		o.record()
	}
}
