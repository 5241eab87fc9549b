package basilcapacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	cycleTime  = 5 * time.Second // in which a host is emptied, maintained and listed again
	spareTime  = 4 * time.Second // before a wave's end, by which it is to be done
	poolShare  = 4               // at most one in so many hosts of a pool is away for maintenance
	orderRetry = 500 * time.Millisecond
)

// wave is the state of one maintenance wave.
type wave struct {
	basilwork.Wave
	members  map[string]bool // as Wave.Machines
	started  time.Time
	done     map[string]bool // hosts whose upkeep has begun
	state    basilwork.WaveState
	written  bool // whether a state was written
	complete bool
}

// WaveRecord is what must last of a wave.
type WaveRecord struct {
	Started int64    `json:"started"` // Unix milliseconds
	Done    []string `json:"done,omitempty"`
	Most    bool     `json:"most,omitempty"` // all hosts are done but Left; the shorter list is kept, for the row's sake
	Left    []string `json:"left,omitempty"`
}

// record returns what must last.
func (w *wave) record() WaveRecord {
	var done, left []string
	for _, id := range w.Machines {
		if w.done[id] {
			done = append(done, id)
		} else {
			left = append(left, id)
		}
	}
	r := WaveRecord{Started: w.started.UnixMilli()}
	if len(left) < len(done) {
		r.Most, r.Left = true, left
	} else {
		r.Done = done
	}
	slices.Sort(r.Left)
	slices.Sort(r.Done)
	return r
}

// doneOf returns which of the wave's hosts a record says to be done.
func (r *WaveRecord) doneOf(machines []string) map[string]bool {
	done := setOf(r.Done)
	if r.Most {
		left := setOf(r.Left)
		for _, id := range machines {
			done[id] = !left[id]
		}
	}
	return done
}

// waits tells whether the host waits for the wave's upkeep.
func (w *wave) waits(m *machine) bool { return !w.complete && w.members[m.ID] && !w.done[m.ID] }

// left returns the wave's hosts that are listed and whose upkeep has not begun.
func (f *Fleet) left(w *wave) []*machine {
	var left []*machine
	for _, id := range w.Machines {
		if m := f.machines[id]; m != nil && !w.done[id] {
			left = append(left, m)
		}
	}
	return left
}

// away returns how many of the wave's hosts are down for their upkeep, or may be.
func (f *Fleet) away(w *wave, now time.Time) int {
	var count int
	for _, id := range w.Machines {
		m := f.machines[id]
		if m != nil && (m.maintained || m.ordering && m.target == "" || !w.done[id] && now.Before(m.held)) {
			count++
		}
	}
	return count
}

// advance asks for hosts to be emptied, and orders the upkeep of those that are.
func (f *Fleet) advance(w *wave, now time.Time, plan *Plan) {
	left := f.left(w)
	if len(left) == 0 && f.listed {
		if !w.complete {
			w.complete = true
			plan.WaveStates = append(plan.WaveStates, WaveUpdate{ID: w.ID, Completed: true, Version: w.state.Version})
		}
		return
	}
	if !w.written {
		w.written = true
		plan.WaveStates = append(plan.WaveStates, WaveUpdate{ID: w.ID, Version: w.state.Version})
	}
	f.sortForWave(left)
	away := f.away(w, now)
	limit := w.MaxCount
	if f.pressed() {
		limit = min(limit, f.pace(w, left, now))
	}
	for _, m := range left {
		if away >= limit {
			break
		}
		if m.asked && m.reason == moveReason && !f.off(m.Pool) {
			continue // on its way to another pool
		}
		if f.empty(m) && m.free(now) {
			m.ordering, m.target = true, ""
			away++
			plan.Orders = append(plan.Orders, Order{Machine: m.ID, Wave: w.ID, Backend: m.Backend})
		}
	}
	f.chooseForWave(w, left, away, now)
}

// sortForWave puts hosts first that are off or empty, then those being emptied, then those of the fullest pools.
func (f *Fleet) sortForWave(left []*machine) {
	type ranked struct {
		*machine
		empty, idle bool
		emptying    float64 // share of its pool
	}
	list := make([]ranked, len(left))
	for n, m := range left {
		t := f.tallyOf(m.Pool)
		list[n] = ranked{m, f.empty(m), f.idle(m), float64(t.emptying) / float64(max(1, t.listed))}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(compareBool(b.empty, a.empty), compareBool(b.asked, a.asked), compareBool(b.idle, a.idle),
			cmp.Compare(a.emptying, b.emptying), cmp.Compare(a.place, b.place))
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

// chooseForWave asks for hosts to be emptied: in each pool one with work at least, for those take longest,
// and as many as the time that is left needs.
func (f *Fleet) chooseForWave(w *wave, left []*machine, away int, now time.Time) {
	parallel := f.pace(w, left, now) - away
	for _, m := range left {
		if m.asked && m.reason == w.ID {
			parallel--
		}
	}
	occupied, idle := f.split(left, now)
	for _, m := range append(occupied, idle...) {
		t := f.tallyOf(m.Pool)
		busy := t.emptying
		if busy >= max(1, t.listed/poolShare) || parallel <= 0 && (busy > 0 || f.idle(m)) {
			continue
		}
		f.ask(m, w.ID, now)
		parallel--
	}
}

// split returns the hosts that may be asked for, those with work apart from idle ones.
func (f *Fleet) split(left []*machine, now time.Time) (occupied, idle []*machine) {
	for _, m := range left {
		switch {
		case m.asked || !m.free(now) || m.Backend == "" || f.off(m.Pool):
		case f.idle(m):
			idle = append(idle, m)
		default:
			occupied = append(occupied, m)
		}
	}
	return occupied, idle
}

// pace returns how many hosts have to be away at once so that the wave ends in time.
func (f *Fleet) pace(w *wave, left []*machine, now time.Time) int {
	timeLeft := w.started.Add(w.Within - spareTime).Sub(now)
	if timeLeft <= cycleTime {
		return w.MaxCount
	}
	return min(w.MaxCount, int(math.Ceil(float64(len(left))*float64(cycleTime)/float64(timeLeft))))
}

// due tells whether the host waits for its upkeep.
func (f *Fleet) due(m *machine) bool {
	for _, w := range f.waves {
		if w.waits(m) {
			return true
		}
	}
	return false
}

// noteDue tells the pools which of their hosts wait for upkeep.
func (f *Fleet) noteDue() {
	due := make(map[string][]string)
	for _, m := range f.sorted {
		if m.Backend != "" && m.due && !f.off(m.Pool) {
			due[m.Pool] = append(due[m.Pool], m.Backend)
		}
	}
	for pool := range f.answers {
		if a := f.asks[pool]; !slices.Equal(a.Due, due[pool]) {
			a.Due = due[pool]
			f.asks[pool] = a
			f.changed[pool] = true
		}
	}
}
