package basilcapacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	maintenanceCycle = 5 * time.Second // time to evacuate and maintain a host and to list it again
	deadlineMargin   = 4 * time.Second // margin before a wave's deadline
	poolFraction     = 4               // at most one in this many hosts of a pool is evacuated or maintained at once
	orderRetryDelay  = 500 * time.Millisecond
	listsWithoutHost = 2 // lists in a row that lack a host that is gone; the pages of one list are read one after the other, and may miss a host that is there
)

// wave is the state of one maintenance wave.
type wave struct {
	basilwork.Wave
	members      map[string]bool // Wave.Machines
	readAt       time.Time       // when this definition was read
	absentLists  int             // lists in a row, requested since then, that have none of the hosts whose maintenance has not begun
	started      time.Time
	begun        map[string]bool // hosts whose maintenance has begun
	state        basilwork.WaveState
	stateWritten bool // a state row exists, or its first write is planned
	complete     bool
}

// WaveRecord is the stored progress of a wave.
type WaveRecord struct {
	Started    int64    `json:"started"`           // Unix milliseconds
	Version    int64    `json:"version,omitempty"` // of the wave's definition
	Done       []string `json:"done,omitempty"`
	AllButLeft bool     `json:"most,omitempty"` // all hosts but Left are done; the shorter of the two lists is stored, to limit the size of the row
	Left       []string `json:"left,omitempty"`
}

// record returns the progress to store.
func (w *wave) record() WaveRecord {
	var done, left []string
	for _, id := range w.Machines {
		if w.begun[id] {
			done = append(done, id)
		} else {
			left = append(left, id)
		}
	}
	r := WaveRecord{Started: w.started.UnixMilli(), Version: w.Version}
	if len(left) < len(done) {
		r.AllButLeft, r.Left = true, left
	} else {
		r.Done = done
	}
	slices.Sort(r.Left)
	slices.Sort(r.Done)
	return r
}

// doneHosts returns which of the wave's hosts are done according to the record. If it names only those that are left, and the wave was
// defined anew since, that isn't known of any: the platform accepts orders for hosts that are done without acting on them.
func (r *WaveRecord) doneHosts(w basilwork.Wave) map[string]bool {
	done := toSet(r.Done)
	if r.AllButLeft && r.Version == w.Version {
		left := toSet(r.Left)
		for _, id := range w.Machines {
			done[id] = !left[id]
		}
	}
	return done
}

// SetWaves sets the operators' waves and their stored states. Definitions that are older than the known ones are ignored.
func (f *Fleet) SetWaves(waves []basilwork.Wave, states map[string]basilwork.WaveState, now time.Time) {
	for _, w := range waves {
		current := f.waves[w.ID]
		if current != nil && w.Version < current.Version {
			continue
		}
		if current == nil {
			current = &wave{started: now, readAt: now, begun: make(map[string]bool)}
			if r, ok := f.records[w.ID]; ok {
				current.started, current.begun = time.UnixMilli(r.Started), r.doneHosts(w)
			}
			f.waves[w.ID] = current
		}
		if current.Version != w.Version {
			current.readAt, current.absentLists = now, 0
		}
		current.Wave, current.members = w, toSet(w.Machines)
		if s, ok := states[w.ID]; ok {
			current.state = s
			current.stateWritten = true
			current.complete = s.Completed
		}
	}
	for _, m := range f.machines {
		if m.evacuating && m.inherited {
			m.reason = f.inferReason(m)
		}
	}
}

// awaits reports whether the host still awaits maintenance by the wave.
func (w *wave) awaits(m *machine) bool { return !w.complete && w.members[m.ID] && !w.begun[m.ID] }

// remaining returns the wave's listed hosts whose maintenance has not begun.
func (f *Fleet) remaining(w *wave) []*machine {
	var left []*machine
	for _, id := range w.Machines {
		if m := f.machines[id]; m != nil && !w.begun[id] {
			left = append(left, m)
		}
	}
	return left
}

// observeList records whether the latest list of hosts has any host whose maintenance has not begun. A list that was requested before the
// wave was read may lack a host that was added since, and says nothing of it.
func (f *Fleet) observeList(w *wave, requestedAt time.Time) {
	switch {
	case w.complete:
	case len(f.remaining(w)) > 0:
		w.absentLists = 0
	case !requestedAt.Before(w.readAt):
		w.absentLists++
	}
}

// isDone reports whether the maintenance of all hosts of the wave has begun, but for those that are gone.
func (f *Fleet) isDone(w *wave) bool {
	for _, id := range w.Machines {
		if !w.begun[id] {
			return w.absentLists >= listsWithoutHost && len(f.remaining(w)) == 0
		}
	}
	return true
}

// countInMaintenance returns how many of the wave's hosts are in maintenance, or possibly so.
func (f *Fleet) countInMaintenance(w *wave, now time.Time) int {
	var count int
	for _, id := range w.Machines {
		m := f.machines[id]
		if m != nil && (m.inMaintenance || m.orderPending && m.target == "" || !w.begun[id] && now.Before(m.heldUntil)) {
			count++
		}
	}
	return count
}

// advanceWave orders maintenance of the wave's empty hosts and requests evacuation of others.
func (f *Fleet) advanceWave(w *wave, now time.Time, plan *Plan) {
	left := f.remaining(w)
	if f.isDone(w) {
		if !w.complete {
			w.complete = true
			plan.WaveStates = append(plan.WaveStates, WaveUpdate{ID: w.ID, Completed: true, Version: w.state.Version})
		}
		return
	}
	if !w.stateWritten {
		w.stateWritten = true
		plan.WaveStates = append(plan.WaveStates, WaveUpdate{ID: w.ID, Version: w.state.Version})
	}
	f.sortForWave(left)
	away := f.countInMaintenance(w, now)
	limit := w.MaxCount
	if f.hasShortage() {
		limit = min(limit, f.requiredParallelism(w, left, now))
	}
	for _, m := range left {
		if away >= limit {
			break
		}
		if m.evacuating && m.reason == moveReason && !f.isStandby(m.Pool) {
			continue // being evacuated for a move to another pool
		}
		if f.isEmpty(m) && m.canTakeOrder(now) {
			m.orderPending, m.target = true, ""
			away++
			plan.Orders = append(plan.Orders, Order{Machine: m.ID, Wave: w.ID, Backend: m.Backend})
		}
	}
	f.evacuateForWave(w, left, away, now)
}

// sortForWave sorts the hosts for maintenance: empty or standby ones first, then those being evacuated, then idle ones,
// then those of the pools with the smallest share of hosts evacuated or in maintenance.
func (f *Fleet) sortForWave(left []*machine) {
	type ranked struct {
		*machine
		empty, idle      bool
		unavailableShare float64 // share of the pool's hosts that are evacuated or in maintenance
	}
	list := make([]ranked, len(left))
	for n, m := range left {
		t := f.countsOf(m.Pool)
		list[n] = ranked{m, f.isEmpty(m), f.isIdle(m), float64(t.unavailable) / float64(max(1, t.listed))}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(compareBool(b.empty, a.empty), compareBool(b.evacuating, a.evacuating), compareBool(b.idle, a.idle),
			cmp.Compare(a.unavailableShare, b.unavailableShare), cmp.Compare(a.index, b.index))
	})
	for n := range list {
		left[n] = list[n].machine
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// evacuateForWave requests evacuations: at least one host with work in each pool, because these take longest, and as many
// hosts as the remaining time requires.
func (f *Fleet) evacuateForWave(w *wave, left []*machine, away int, now time.Time) {
	parallel := f.requiredParallelism(w, left, now) - away
	for _, m := range left {
		if m.evacuating && m.reason == w.ID {
			parallel--
		}
	}
	occupied, idle := f.splitEvacuable(left, now)
	for _, m := range append(occupied, idle...) {
		t := f.countsOf(m.Pool)
		busy := t.unavailable
		if busy >= max(1, t.listed/poolFraction) || parallel <= 0 && (busy > 0 || f.isIdle(m)) {
			continue
		}
		f.requestEvacuation(m, w.ID, now)
		parallel--
	}
}

// splitEvacuable returns the hosts that can be evacuated, those with work separate from idle ones.
func (f *Fleet) splitEvacuable(left []*machine, now time.Time) (occupied, idle []*machine) {
	for _, m := range left {
		switch {
		case m.evacuating || !m.canTakeOrder(now) || m.Backend == "" || f.isStandby(m.Pool):
		case f.isIdle(m):
			idle = append(idle, m)
		default:
			occupied = append(occupied, m)
		}
	}
	return occupied, idle
}

// requiredParallelism returns how many hosts must be in maintenance at once for the wave to meet its deadline.
func (f *Fleet) requiredParallelism(w *wave, left []*machine, now time.Time) int {
	timeLeft := w.started.Add(w.Duration - deadlineMargin).Sub(now)
	if timeLeft <= maintenanceCycle {
		return w.MaxCount
	}
	return min(w.MaxCount, int(math.Ceil(float64(len(left))*float64(maintenanceCycle)/float64(timeLeft))))
}

// isDue reports whether some wave still has to maintain the host.
func (f *Fleet) isDue(m *machine) bool {
	for _, w := range f.waves {
		if w.awaits(m) {
			return true
		}
	}
	return false
}

// updateDue updates the requests of pools whose hosts due for maintenance have changed.
func (f *Fleet) updateDue() {
	due := make(map[string][]string)
	for _, m := range f.sorted {
		if m.Backend != "" && m.due && !f.isStandby(m.Pool) {
			due[m.Pool] = append(due[m.Pool], m.Backend)
		}
	}
	for pool := range f.reports {
		if a := f.requests[pool]; !slices.Equal(a.Due, due[pool]) {
			a.Due = due[pool]
			f.requests[pool] = a
			f.changedRequests[pool] = true
		}
	}
}
