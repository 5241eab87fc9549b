package basilcapacity

import (
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// goneRetention is how long a request lists backend servers as gone. Their own entries in the store outlive them by a few
// heartbeats, or longer while the store is unavailable.
const goneRetention = 20 * time.Second

// Order is an order to the platform to maintain a host for a wave, or to move it to a pool.
type Order struct {
	Machine string
	Backend string
	Wave    string
	Pool    string
}

// WaveUpdate is a wave state to be written if the row still has the given version.
type WaveUpdate struct {
	ID        string
	Completed bool
	Version   int64
}

// Load is the load that a pool reports.
type Load struct {
	Used          int        `json:"used"`              // CPU in use, thousandths of a core
	WaitingDemand int        `json:"wanted,omitempty"`  // CPU requested by waiting tasks
	Serving       int        `json:"serving,omitempty"` // CPU of long-running tasks
	LastingHosts  int        `json:"lasting,omitempty"` // hosts of those listed that long-running tasks and gangs need
	MinHosts      int        `json:"least,omitempty"`   // hosts required by long-running tasks
	Listed        int        `json:"listed,omitempty"`  // backend servers that the pool knows and isn't asked to evacuate, if Kept is set
	Kept          int        `json:"kept,omitempty"`    // sound ones of these that waiting work needs or can't use, if it needs whole hosts
	Lacking       []HostNeed `json:"lacking,omitempty"` // hosts that waiting work needs beyond those listed
	Leaving       int        `json:"leaving,omitempty"` // backend servers that will stop soon
	Limited       bool       `json:"limited,omitempty"` // the pool's owner starts too few tasks to fill its hosts
	ArrivedWork   int64      `json:"arrived,omitempty"` // total estimated work of all jobs so far, thousandths of core-seconds
	Memory        Amounts    `json:"memory,omitzero"`   // MB
	GPU           Amounts    `json:"gpu,omitzero"`
	Idle          []string   `json:"idle,omitempty"`    // backend servers without runs
	ShortOnly     []string   `json:"brief,omitempty"`   // backend servers with only short runs, the earliest to finish first
	Slow          []string   `json:"slow,omitempty"`    // backend servers that are much slower than others
	Movable       []string   `json:"movable,omitempty"` // backend servers whose long-running runs fit elsewhere, the least loaded first
}

// PoolReport is a pool's report: its load, and which of the requested backend servers are empty.
type PoolReport struct {
	Serial int64    `json:"serial"` // of the latest request that the pool has seen
	Empty  []string `json:"empty,omitempty"`
	Load   Load     `json:"load"`
}

// Plan lists the actions to take.
type Plan struct {
	Requests   map[string]EvacuationRequest // changed requests by pool
	Orders     []Order
	WaveStates []WaveUpdate
}

// Options configure a fleet.
type Options struct {
	MaintenanceDuration time.Duration // expected duration of a host's maintenance
	MoveDuration        time.Duration // expected duration of a move
	OrderRate           float64       // host orders per second that the platform accepts; 0 selects the default
	IdleOnly            bool          // release idle hosts only; a baseline for experiments
	Sharing             Sharing       // how pools share hosts that are too few
	KeepUsed            bool          // pools keep hosts that they use beyond their share; a baseline for experiments
}

// Fleet is the planning state of hosts, waves and moves. It is not safe for concurrent use.
type Fleet struct {
	options         Options
	machines        map[string]*machine
	sorted          []*machine          // by ID
	backends        map[string]*machine // by backend server
	listed          bool
	waves           map[string]*wave
	records         map[string]WaveRecord
	reports         map[string]receivedReport
	requests        map[string]EvacuationRequest
	counts          map[string]*hostCounts // by pool, as of the latest count
	isStandby       func(pool string) bool
	standbyPool     string
	changedRequests map[string]bool // pools whose request has changed
	moves           moveState
	holds           map[string]time.Time // by host: no order before this time, because another node may have issued one
	allHeldUntil    time.Time
}

// receivedReport is the latest report of a pool, with its lists as sets.
type receivedReport struct {
	PoolReport
	at    time.Time
	empty map[string]bool // PoolReport.Empty
	idle  map[string]bool // Load.Idle
	slow  map[string]bool // Load.Slow
}

// hostCounts counts the hosts of a pool.
type hostCounts struct {
	listed       int
	serving      int                 // serving the pool, or on the way to it
	evacuating   int                 // being evacuated
	unavailable  int                 // being evacuated or in maintenance
	capacity     basilwork.Resources // total capacity
	least        basilwork.Resources // least capacity of a host, for each resource
	withCapacity int                 // hosts whose capacity is known
}

// New returns a fleet without hosts, waves or reports.
func New(o Options) *Fleet {
	return &Fleet{
		options: o, machines: make(map[string]*machine), backends: make(map[string]*machine), waves: make(map[string]*wave),
		moves:   moveState{demands: make(map[string]*demand)},
		records: make(map[string]WaveRecord), reports: make(map[string]receivedReport), requests: make(map[string]EvacuationRequest),
		counts: make(map[string]*hostCounts), changedRequests: make(map[string]bool), isStandby: func(string) bool { return false },
	}
}

// SetConfiguration sets which pools are standby pools.
func (f *Fleet) SetConfiguration(c *basilwork.Configuration) {
	standby := make(map[string]bool)
	for _, s := range c.Services {
		standby[s.Name] = s.Standby
	}
	f.isStandby = func(pool string) bool { return standby[pool] }
	f.standbyPool = c.Standby()
}

// SetRecords loads the wave records that a previous owner stored.
func (f *Fleet) SetRecords(waves map[string]WaveRecord) { f.records = waves }

// Records returns the wave records to store.
func (f *Fleet) Records() map[string]WaveRecord {
	records := maps.Clone(f.records)
	for id, w := range f.waves {
		records[id] = w.record()
	}
	return records
}

// SetRequest loads a previous owner's request to a pool.
func (f *Fleet) SetRequest(pool string, a EvacuationRequest) { f.requests[pool] = a }

// SetReport records a pool's report.
func (f *Fleet) SetReport(pool string, p PoolReport, now time.Time) {
	f.reports[pool] = receivedReport{PoolReport: p, at: now, empty: toSet(p.Empty), idle: toSet(p.Load.Idle), slow: toSet(p.Load.Slow)}
	f.moves.observe(pool, p.Load, now)
	for _, id := range p.Load.Slow {
		if m := f.backends[id]; m != nil && m.Pool == pool {
			m.slowUntil = now.Add(slowPenaltyTime)
		}
	}
}

func toSet(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// syncRequests cancels requests for backend servers that no longer exist or are in another pool, and adopts those that a
// previous owner made.
func (f *Fleet) syncRequests() {
	for pool, a := range f.requests {
		f.removeFalseGone(pool, a)
		for backend := range a.Backends {
			m := f.backends[backend]
			if m == nil || m.Pool != pool {
				f.cancelEvacuation(pool, backend)
				continue
			}
			if !m.evacuating { // requested by a previous owner
				m.evacuating, m.inherited, m.requestSerial, m.reason = true, true, a.Backends[backend], f.inferReason(m)
			}
		}
	}
}

// removeFalseGone removes backend servers from the request's Gone list that turn out to be still running.
//
// The platform accepts an order without acting on it if it carried out the same order earlier and that outcome was lost.
func (f *Fleet) removeFalseGone(pool string, a EvacuationRequest) {
	gone := make(map[string]int64, len(a.Gone))
	for id, at := range a.Gone {
		m := f.backends[id]
		if m == nil || !m.Up || m.Pool != pool || m.listedAt.Sub(time.UnixMilli(at)) <= f.options.MaintenanceDuration+f.options.MoveDuration {
			gone[id] = at
		}
	}
	if len(gone) == len(a.Gone) {
		return
	}
	a.Serial++
	a.Gone = gone
	f.requests[pool] = a
	f.changedRequests[pool] = true
}

// inferReason infers why a previous owner had a host evacuated: for a wave that the host still waits for, else for a move.
func (f *Fleet) inferReason(m *machine) string {
	for id, w := range f.waves {
		if w.awaits(m) {
			return id
		}
	}
	return moveReason
}

// requestEvacuation asks the host's pool to evacuate it.
func (f *Fleet) requestEvacuation(m *machine, reason string, now time.Time) {
	a := f.requests[m.Pool]
	a.Serial++
	if a.Backends == nil {
		a.Backends = make(map[string]int64)
	}
	a.Backends[m.Backend] = a.Serial
	f.requests[m.Pool] = a
	f.changedRequests[m.Pool] = true
	m.evacuating, m.inherited, m.requestSerial, m.reason, m.requestedAt = true, false, a.Serial, reason, now
	t := f.countsOf(m.Pool)
	t.evacuating++
	t.unavailable++
}

func (f *Fleet) cancelEvacuation(pool, backend string) {
	a := f.requests[pool]
	a.Serial++
	delete(a.Backends, backend)
	f.requests[pool] = a
	f.changedRequests[pool] = true
}

// isEmpty reports whether the host has no runs and gets no new ones.
func (f *Fleet) isEmpty(m *machine) bool {
	if f.isStandby(m.Pool) || m.Backend == "" {
		return true
	}
	a := f.reports[m.Pool]
	return m.evacuating && a.Serial >= m.requestSerial && a.empty[m.Backend]
}

// Busy reports whether maintenance or moves are in progress, so that the list of hosts should be refreshed often.
func (f *Fleet) Busy() bool {
	for _, w := range f.waves {
		if !w.complete {
			return true
		}
	}
	for _, m := range f.machines {
		if m.inMaintenance || m.moving || m.evacuating || m.listedAt.Before(m.orderedAt) {
			return true
		}
	}
	return false
}

// SetOrderOutcome records the outcome of an order.
func (f *Fleet) SetOrderOutcome(o Order, err error, now time.Time) {
	if w := f.waves[o.Wave]; w != nil && err == nil {
		w.begun[o.Machine] = true
	}
	m := f.machines[o.Machine]
	if m == nil {
		return
	}
	m.orderPending, m.orderedAt = false, now
	if err != nil {
		m.retryAt, m.target = now.Add(orderRetryDelay), ""
		return
	}
	m.previousBackend = o.Backend
	if o.Wave != "" {
		m.inMaintenance = true
	} else {
		m.moving = true
		m.target = o.Pool
	}
	m.evacuating, m.reason = false, ""
	if o.Backend != "" && !f.isStandby(m.Pool) {
		f.markGone(m.Pool, o.Backend, now)
	}
}

// markGone replaces the request for a backend server by an entry in the Gone list.
func (f *Fleet) markGone(pool, backend string, now time.Time) {
	f.cancelEvacuation(pool, backend)
	a := f.requests[pool]
	gone := map[string]int64{backend: now.UnixMilli()}
	for id, at := range a.Gone {
		if now.Sub(time.UnixMilli(at)) < goneRetention {
			gone[id] = at
		}
	}
	a.Gone = gone
	f.requests[pool] = a
}

// Decide returns the actions to take now. It returns an empty plan until the first list of hosts is set.
func (f *Fleet) Decide(now time.Time) Plan {
	plan := Plan{Requests: make(map[string]EvacuationRequest)}
	if !f.listed {
		return plan
	}
	f.countHosts()
	ids := slices.Sorted(maps.Keys(f.waves))
	for _, id := range ids {
		if w := f.waves[id]; !w.complete {
			f.advanceWave(w, now, &plan)
		}
	}
	f.planMoves(now, &plan)
	f.updateDue()
	for pool := range f.changedRequests {
		a := f.requests[pool]
		a.Backends, a.Gone = maps.Clone(a.Backends), maps.Clone(a.Gone)
		plan.Requests[pool] = a
	}
	f.changedRequests = make(map[string]bool)
	return plan
}

// countHosts recomputes the host counts of all pools.
func (f *Fleet) countHosts() {
	f.counts = make(map[string]*hostCounts, len(f.reports))
	for _, m := range f.sorted {
		m.due = f.isDue(m)
		t := f.countsOf(m.Pool)
		t.listed++
		if m.Resources.CPU > 0 {
			t.addCapacity(m.Resources)
		}
		if m.evacuating {
			t.evacuating++
		}
		if m.evacuating || m.inMaintenance {
			t.unavailable++
		}
		if pool, ok := m.servedPool(); ok {
			f.countsOf(pool).serving++
		}
	}
}

// addCapacity counts a host of known capacity.
func (t *hostCounts) addCapacity(r basilwork.Resources) {
	if t.withCapacity == 0 {
		t.least = r
	}
	t.least = basilwork.Resources{CPU: min(t.least.CPU, r.CPU), Memory: min(t.least.Memory, r.Memory), GPU: min(t.least.GPU, r.GPU)}
	t.capacity = t.capacity.Add(r)
	t.withCapacity++
}

func (f *Fleet) countsOf(pool string) *hostCounts {
	t := f.counts[pool]
	if t == nil {
		t = &hostCounts{}
		f.counts[pool] = t
	}
	return t
}
