package basilscheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playGrace         = 8500 * time.Millisecond // longest lease on the slowest clock, and how long the owner before may extend them
	playAnswerTimeout = 600 * time.Millisecond
	playCommitDelay   = 150 * time.Millisecond
	playCommitRecords = 30
	playSilenceDelay  = time.Second
)

// playStore is what outlasts an owner.
type playStore struct {
	rows         map[string]playRow       // jobs
	servers      map[string]playServerRow // backend servers that may have runs
	version      int64
	epoch        int64
	troubleUntil time.Time // commits take long, and some of their answers get lost
}

// playServerRow is the row of a backend server that may have runs.
type playServerRow struct {
	basilwork.Backend
	silentUntil time.Time // until when one that has not answered since a change of owner may have runs; zero for one that is in use
	listed      bool      // which tasks of listed steps may run there is known: those in tasks
	tasks       map[basilwork.TaskID]bool
}

type playRow struct {
	body    []byte
	state   basilwork.JobState
	version int64
}

// playOwner drives a pool as the owner of basilnode does.
type playOwner struct {
	*Pool
	play           *lostPlay
	epoch          int64
	rowVersion     int64
	alive          bool
	connections    map[string]*playConnection
	versions       map[string]int64
	recordBusy     bool
	startedAt      time.Time
	silences       map[string]time.Time // of the backend servers whose rows are to tell one
	uncertain      map[string]bool      // rows that a write in flight makes silent
	lastDelete     time.Time
	committing     bool
	pendingCover   map[string]int64
	covered        map[string]int64 // by the commit in flight
	pendingChanges int64
	acked          map[string]int64
	incarnations   map[string]int64
	oldestChange   time.Time
	earlier        basilrunner.EarlierConnections
	frozenUntil    time.Time
	lists          map[string]map[basilwork.TaskID]bool // of runs, by backend server, as they are to be stored
	listing        map[string]map[basilwork.TaskID]bool // the same of the write under way
	unlisted       []Start                              // that wait to be requested
}

// thawed calls f once the owner isn't frozen.
func (o *playOwner) thawed(f func()) {
	if left := o.frozenUntil.Sub(o.play.now); left > 0 {
		o.play.after(left, func() { o.thawed(f) })
		return
	}
	f()
}

// deposed reports whether there is another owner.
func (o *playOwner) deposed() bool { return o.play.owner != o }

// takeOver replaces the owner by one that knows what is stored.
func (p *lostPlay) takeOver() {
	p.store.version++
	p.store.epoch++
	o := &playOwner{
		play: p, epoch: p.store.epoch, rowVersion: p.store.version, alive: true, connections: make(map[string]*playConnection), versions: make(map[string]int64),
		startedAt: p.now, silences: make(map[string]time.Time), uncertain: make(map[string]bool),
		acked: make(map[string]int64), incarnations: make(map[string]int64), lists: make(map[string]map[basilwork.TaskID]bool), listing: make(map[string]map[basilwork.TaskID]bool),
		Pool: New(Options{Epoch: p.store.epoch, Grace: playGrace, StopTimeout: playStopTimeout}, p.now),
	}
	p.owner = o
	p.trace("owner of epoch %d", o.epoch)
	for _, id := range sortedKeys(p.store.servers) {
		b := p.store.servers[id]
		if !b.silentUntil.IsZero() {
			o.silences[id] = b.silentUntil
			if !p.now.Before(b.silentUntil) {
				continue
			}
		}
		o.AddPredecessorBackend(basilwork.Backend{ID: b.ID, Service: b.Service, Address: b.Address, Rack: b.Rack, StartedAt: b.StartedAt}, b.silentUntil)
		if b.listed {
			o.SetPredecessorRuns(b.ID, slices.SortedFunc(maps.Keys(b.tasks), compareTaskIDs))
		}
		o.connect(b.Backend)
	}
	o.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{
		{Name: "quote", Service: "stretch", MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond},
	}})
	o.readJobs()
	o.step()
}

func (o *playOwner) readJobs() {
	for _, id := range sortedKeys(o.play.store.rows) {
		row := o.play.store.rows[id]
		_, known := o.versions[id]
		if row.version <= o.versions[id] {
			continue
		}
		o.versions[id] = row.version
		var r basilwork.Record
		if err := json.Unmarshal(row.body, &r); err != nil {
			panic(err)
		}
		switch {
		case r.State == basilwork.JobStateCanceled:
			o.Cancel(id, o.play.now)
		case !known && !r.State.Final():
			o.AddJob(r, row.version < o.rowVersion)
		}
	}
}

// step does what the owner does in its loop, 20 ms apart.
func (o *playOwner) step() {
	if !o.alive {
		return
	}
	p := o.play
	if p.now.Before(o.frozenUntil) {
		o.thawed(o.step)
		return
	}
	if o.deposed() {
		p.trace("epoch %d is deposed", o.epoch)
		o.alive = false
		return
	}
	p.after(20*time.Millisecond, o.step)
	if o.Fenced() {
		p.fail("the newest owner was fenced")
		return
	}
	o.readJobs()
	if p.ticks%10 == 0 {
		o.readServers()
	}
	for _, b := range o.Backends() {
		h := p.hostOf(b.ID)
		o.Evacuate(b.ID, h != nil && h.evacuated)
		if h != nil && h.awayOnceIdle && o.IsEmptied(b.ID, o.acked[b.ID]) {
			o.orderAway(h)
		}
	}
	a := o.Decide(p.now)
	for _, c := range a.Crashes {
		p.trace("epoch %d counts crash of %s, with rack %v, again %v: %+v", o.epoch, c.Backend, c.WithRack, c.Again, c.Suspects)
	}
	for _, s := range a.GivenUp {
		p.trace("gives up %s: %+v", s.Task, s.Crashes)
		p.givenUp = append(p.givenUp, s)
	}
	for _, s := range a.Stops {
		o.sendStop(s)
	}
	o.unlisted = append(o.unlisted, a.Starts...)
	o.sendListed()
	o.listRuns()
	o.commit()
	for id, c := range o.connections {
		c.busy, c.watched, c.suspended = o.Busy(id), o.HasOrphans(id), !o.inUse(id)
		if acked := o.acked[id]; c.startedAt == o.incarnations[id] {
			c.acked = max(c.acked, acked)
		}
	}
}

// orderAway has the host of an empty backend server taken away.
func (o *playOwner) orderAway(h *playHost) {
	id := h.life.ID
	o.play.trace("%s is ordered away", id)
	o.play.judgeOrderedAway(h.life)
	h.life.leavesAt = o.play.now
	h.life.die()
	h.rebornIn(3 * time.Second)
	o.Lost(id, basilwork.LossRemoved, o.play.now)
	o.disconnect(id)
}

func (o *playOwner) readServers() {
	var list []basilwork.Backend
	for _, h := range o.play.hosts {
		if h.listed(o.play.now) {
			list = append(list, h.life.Backend)
		}
	}
	listed := make(map[string]bool)
	for _, b := range list {
		listed[b.ID] = true
		if !o.Knows(b.ID) {
			o.disconnect(b.ID)
		}
	}
	o.SetBackends(list)
	o.record()
	for _, b := range list {
		o.connect(b)
	}
	for id := range o.connections {
		if _, stored := o.play.store.servers[id]; !listed[id] && !o.MayHaveRuns(id) && !o.HasOrphans(id) && !stored {
			o.disconnect(id)
		}
	}
}

func (o *playOwner) sendStart(s Start) {
	c := o.connections[s.Backend]
	p := o.play
	refuse := func(refusal basilwork.Refusal) { o.Started(s.Ref, refusal, true, p.now) }
	switch {
	case c == nil || !c.lease.Known() || c.suspended:
		refuse(basilwork.RefusalBusy)
		return
	case c.lost, s.Repeats > 0 && !c.mayRenew():
		refuse(basilwork.RefusalUnsent)
		return
	}
	order := basilwork.StartOrder{Task: s.Task.String(), Attempt: s.Attempt, Fence: o.epoch, Deadline: c.lease.Deadline(p.now, 4*time.Second)}
	p.trace("epoch %d starts %s/%d on %s", o.epoch, s.Task, s.Attempt, s.Backend)
	if p.beforeStart != nil {
		p.beforeStart(s)
	}
	p.call(c, "start", playAnswerTimeout, func(l *playServer) playAnswer { return l.start(order, s.Task) }, func(a playAnswer, answered bool) {
		if answered {
			c.lease.RecordAnswer(a.clock, p.now)
		}
		p.trace("epoch %d: start of %s/%d: %s, answered %v", o.epoch, s.Task, s.Attempt, a.refusal, answered)
		if o.alive {
			o.Started(s.Ref, a.refusal, answered, p.now)
		}
	})
}

func (o *playOwner) sendStop(s Stop) {
	c := o.connections[s.Backend]
	if c == nil {
		return
	}
	p := o.play
	p.trace("epoch %d stops %s/%d on %s: %s", o.epoch, s.Task, s.Attempt, s.Backend, s.Reason)
	order := basilwork.StopOrder{Task: s.Task.String(), Attempt: s.Attempt, Fence: o.epoch}
	p.call(c, "stop", playAnswerTimeout, func(l *playServer) playAnswer { return l.stop(order, s.Task) }, func(a playAnswer, answered bool) {
		if o.alive {
			o.Stopped(s.Ref, answered && a.refusal == basilwork.RefusalNone, p.now)
		}
	})
}

// lost records that nothing runs any more on a life of a backend server.
func (o *playOwner) lost(c *playConnection, reason basilwork.Loss) {
	c.lost = true
	o.play.trace("epoch %d loses %s: %s", o.epoch, c.id, reason)
	o.Lost(c.id, reason, o.play.now)
	o.disconnect(c.id)
	o.forgetEnds(c.id)
	if reason != basilwork.LossExpired {
		delete(o.silences, c.id)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
