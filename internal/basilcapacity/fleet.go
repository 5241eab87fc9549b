package basilcapacity

import (
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// goneTime is how long a pool is told of backend servers that are gone: their entries last for some
// heartbeats, or longer while the store is away.
const goneTime = 20 * time.Second

// Order is an order for a host: upkeep for a wave, or a move to a pool.
type Order struct {
	Machine string
	Backend string
	Wave    string
	Pool    string
}

// WaveUpdate is a wave's state to be written, if the row still has the version.
type WaveUpdate struct {
	ID        string
	Completed bool
	Version   int64
}

// Ask tells a pool which backend servers to empty, each since a serial number of the asks.
type Ask struct {
	Serial   int64            `json:"serial"`
	Backends map[string]int64 `json:"backends,omitempty"`
	Due      []string         `json:"due,omitempty"`  // backend servers whose hosts are to be maintained soon
	Gone     map[string]int64 `json:"gone,omitempty"` // backend servers whose hosts were ordered away, and when (Unix milliseconds)
}

// Load is what a pool tells of its work.
type Load struct {
	Used    int      `json:"used"`             // processor in use, thousandths of a core
	Wanted  int      `json:"wanted,omitempty"` // of the tasks that wait
	Serving int      `json:"serving,omitempty"`
	Least   int      `json:"least,omitempty"`   // hosts that long-running tasks need
	Leaving int      `json:"leaving,omitempty"` // backend servers that end before long
	Arrived int64    `json:"arrived,omitempty"` // estimated work of the jobs so far, thousandths of core-seconds
	Idle    []string `json:"idle,omitempty"`    // backend servers without runs
	Brief   []string `json:"brief,omitempty"`   // with short runs only, those that end first at the front
	Slow    []string `json:"slow,omitempty"`    // that take far longer than others
	Movable []string `json:"movable,omitempty"` // with long-running runs that fit elsewhere, the least occupied first
}

// Pool is what a pool answers: which of the asked backend servers are empty.
type Pool struct {
	Serial int64    `json:"serial"` // of the newest ask it knows
	Empty  []string `json:"empty,omitempty"`
	Load   Load     `json:"load"`
}

// Plan is what is to be done.
type Plan struct {
	Asks       map[string]Ask // pools whose ask has changed
	Orders     []Order
	WaveStates []WaveUpdate
}

// Options are what a fleet is made with.
type Options struct {
	Maintain time.Duration // of a host's upkeep
	Migrate  time.Duration // of a move
	Orders   float64       // for hosts, per second, that the platform accepts; 0 for defaultOrders
	IdleOnly bool          // give up idle hosts only; a baseline of experiments
}

// Fleet is the state of hosts, waves and moves. One goroutine uses it.
type Fleet struct {
	options  Options
	machines map[string]*machine
	sorted   []*machine          // by id
	backends map[string]*machine // by backend server
	listed   bool
	waves    map[string]*wave
	records  map[string]WaveRecord
	answers  map[string]answer
	asks     map[string]Ask
	tallies  map[string]*tally // as last counted
	off      func(pool string) bool
	standby  string
	changed  map[string]bool // pools whose ask has changed
	mover    mover
	held     map[string]time.Time // hosts that another node may have ordered, and until when they get no order
	heldAll  time.Time
}

// answer is what a pool answered last.
type answer struct {
	Pool
	at    time.Time
	empty map[string]bool // backend servers, as Pool.Empty
	idle  map[string]bool // as Load.Idle
	slow  map[string]bool // as Load.Slow
}

// tally counts the hosts of a pool.
type tally struct {
	listed   int
	serving  int // that serve the pool, or will soon
	asked    int // that are being emptied
	emptying int // that are being emptied or maintained
	room     int // thousandths of a core
	roomy    int // hosts whose room is known
}

// New returns a fleet that knows nothing.
func New(o Options) *Fleet {
	return &Fleet{
		options: o, machines: make(map[string]*machine), backends: make(map[string]*machine), waves: make(map[string]*wave),
		mover:   mover{demands: make(map[string]*demand)},
		records: make(map[string]WaveRecord), answers: make(map[string]answer), asks: make(map[string]Ask),
		tallies: make(map[string]*tally), changed: make(map[string]bool), off: func(string) bool { return false },
	}
}

// SetConfiguration takes up which pools there are.
func (f *Fleet) SetConfiguration(c *basilwork.Configuration) {
	off := make(map[string]bool)
	for _, s := range c.Services {
		off[s.Name] = s.Standby
	}
	f.off = func(pool string) bool { return off[pool] }
	f.standby = c.Standby()
}

// SetRecords takes up what a predecessor stored.
func (f *Fleet) SetRecords(waves map[string]WaveRecord) { f.records = waves }

// Records returns what must last.
func (f *Fleet) Records() map[string]WaveRecord {
	records := maps.Clone(f.records)
	for id, w := range f.waves {
		records[id] = w.record()
	}
	return records
}

// SetAsk takes up what a predecessor asked of a pool.
func (f *Fleet) SetAsk(pool string, a Ask) { f.asks[pool] = a }

// SetPool takes in a pool's answer.
func (f *Fleet) SetPool(pool string, p Pool, now time.Time) {
	f.answers[pool] = answer{Pool: p, at: now, empty: setOf(p.Empty), idle: setOf(p.Load.Idle), slow: setOf(p.Load.Slow)}
	f.mover.note(pool, p.Load, now)
	for _, id := range p.Load.Slow {
		if m := f.backends[id]; m != nil && m.Pool == pool {
			m.slow = now.Add(slowTime)
		}
	}
}

func setOf(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// SetWaves takes in the operators' waves and what is written of them.
func (f *Fleet) SetWaves(waves []basilwork.Wave, states map[string]basilwork.WaveState, now time.Time) {
	for _, w := range waves {
		known := f.waves[w.ID]
		if known == nil {
			known = &wave{started: now, done: make(map[string]bool)}
			if r, ok := f.records[w.ID]; ok {
				known.started, known.done = time.UnixMilli(r.Started), r.doneOf(w.Machines)
			}
			f.waves[w.ID] = known
		}
		known.Wave, known.members = w, setOf(w.Machines)
		if s, ok := states[w.ID]; ok {
			known.state = s
			known.written = true
			known.complete = s.Completed
		}
	}
	for _, m := range f.machines {
		if m.asked && m.inherited {
			m.reason = f.reasonFor(m)
		}
	}
}

// prune takes back asks for backend servers that are gone.
func (f *Fleet) prune() {
	for pool, a := range f.asks {
		f.revive(pool, a)
		for backend := range a.Backends {
			m := f.backends[backend]
			if m == nil || m.Pool != pool {
				f.unask(pool, backend)
				continue
			}
			if !m.asked { // a predecessor's
				m.asked, m.inherited, m.serial, m.reason = true, true, a.Backends[backend], f.reasonFor(m)
			}
		}
	}
}

// revive takes back that backend servers are gone which live on: the platform says yes to an order that was carried out
// before, when it got no answer then, and does nothing.
func (f *Fleet) revive(pool string, a Ask) {
	gone := make(map[string]int64, len(a.Gone))
	for id, at := range a.Gone {
		m := f.backends[id]
		if m == nil || !m.Up || m.Pool != pool || m.heard.Sub(time.UnixMilli(at)) <= f.options.Maintain+f.options.Migrate {
			gone[id] = at
		}
	}
	if len(gone) == len(a.Gone) {
		return
	}
	a.Serial++
	a.Gone = gone
	f.asks[pool] = a
	f.changed[pool] = true
}

// reasonFor returns why a predecessor had a host emptied: a wave that it is part of, or else a move.
func (f *Fleet) reasonFor(m *machine) string {
	for id, w := range f.waves {
		if w.waits(m) {
			return id
		}
	}
	return moveReason
}

// ask has a host's pool empty it.
func (f *Fleet) ask(m *machine, reason string, now time.Time) {
	a := f.asks[m.Pool]
	a.Serial++
	if a.Backends == nil {
		a.Backends = make(map[string]int64)
	}
	a.Backends[m.Backend] = a.Serial
	f.asks[m.Pool] = a
	f.changed[m.Pool] = true
	m.asked, m.inherited, m.serial, m.reason, m.askedAt = true, false, a.Serial, reason, now
	t := f.tallyOf(m.Pool)
	t.asked++
	t.emptying++
}

func (f *Fleet) unask(pool, backend string) {
	a := f.asks[pool]
	a.Serial++
	delete(a.Backends, backend)
	f.asks[pool] = a
	f.changed[pool] = true
}

// empty tells whether nothing runs on the host, nor will.
func (f *Fleet) empty(m *machine) bool {
	if f.off(m.Pool) || m.Backend == "" {
		return true
	}
	a := f.answers[m.Pool]
	return m.asked && a.Serial >= m.serial && a.empty[m.Backend]
}

// Busy tells whether hosts are to be looked at often.
func (f *Fleet) Busy() bool {
	for _, w := range f.waves {
		if !w.complete {
			return true
		}
	}
	for _, m := range f.machines {
		if m.maintained || m.moving || m.asked || m.heard.Before(m.ordered) {
			return true
		}
	}
	return false
}

// Ordered takes in the outcome of an order.
func (f *Fleet) Ordered(o Order, err error, now time.Time) {
	m := f.machines[o.Machine]
	if m == nil {
		return
	}
	m.ordering, m.ordered = false, now
	if err != nil {
		m.after, m.target = now.Add(orderRetry), ""
		return
	}
	m.before = o.Backend
	if o.Wave != "" {
		m.maintained = true
		if w := f.waves[o.Wave]; w != nil {
			w.done[o.Machine] = true
		}
	} else {
		m.moving = true
		m.target = o.Pool
	}
	m.asked, m.reason = false, ""
	if o.Backend != "" && !f.off(m.Pool) {
		f.noteGone(m.Pool, o.Backend, now)
	}
}

// noteGone tells a pool that nothing runs on a backend server any more.
func (f *Fleet) noteGone(pool, backend string, now time.Time) {
	f.unask(pool, backend)
	a := f.asks[pool]
	gone := map[string]int64{backend: now.UnixMilli()}
	for id, at := range a.Gone {
		if now.Sub(time.UnixMilli(at)) < goneTime {
			gone[id] = at
		}
	}
	a.Gone = gone
	f.asks[pool] = a
}

// Decide returns what is to be done now.
func (f *Fleet) Decide(now time.Time) Plan {
	plan := Plan{Asks: make(map[string]Ask)}
	if !f.listed {
		return plan
	}
	f.count()
	ids := slices.Sorted(maps.Keys(f.waves))
	for _, id := range ids {
		if w := f.waves[id]; !w.complete {
			f.advance(w, now, &plan)
		}
	}
	f.move(now, &plan)
	f.noteDue()
	for pool := range f.changed {
		a := f.asks[pool]
		a.Backends, a.Gone = maps.Clone(a.Backends), maps.Clone(a.Gone)
		plan.Asks[pool] = a
	}
	f.changed = make(map[string]bool)
	return plan
}

// count counts the hosts of each pool.
func (f *Fleet) count() {
	f.tallies = make(map[string]*tally, len(f.answers))
	for _, m := range f.sorted {
		m.due = f.due(m)
		t := f.tallyOf(m.Pool)
		t.listed++
		if m.Room.CPU > 0 {
			t.room += m.Room.CPU
			t.roomy++
		}
		if m.asked {
			t.asked++
		}
		if m.asked || m.maintained {
			t.emptying++
		}
		if pool, ok := m.serves(); ok {
			f.tallyOf(pool).serving++
		}
	}
}

func (f *Fleet) tallyOf(pool string) *tally {
	t := f.tallies[pool]
	if t == nil {
		t = &tally{}
		f.tallies[pool] = t
	}
	return t
}
