package basilcapacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// machine is what the fleet knows of one host.
type machine struct {
	basilwork.Machine
	place      int  // among the hosts by id
	asked      bool // its pool was asked to empty it
	inherited  bool // by a predecessor
	serial     int64
	askedAt    time.Time
	reason     string    // a wave, or moveReason
	target     string    // of a move
	ordering   bool      // an order is on its way
	maintained bool      // away for its upkeep, or may be
	moving     bool      // on its way to another pool
	ordered    time.Time // when the newest order was answered
	heard      time.Time // when the list that tells where it stands was asked for
	before     string    // its backend server before the order
	after      time.Time // no order before
	held       time.Time // another node may have ordered it: no order before
	slow       time.Time // taken to be slow until then
	due        bool      // waits for its upkeep, as last counted
}

// SetMachines takes in the list of hosts as it was asked for at a time.
func (f *Fleet) SetMachines(list []basilwork.Machine, asked time.Time) {
	f.listed = true
	seen := make(map[string]bool, len(list))
	for _, entry := range list {
		seen[entry.ID] = true
		m := f.machines[entry.ID]
		if m == nil {
			m = &machine{held: f.heldUntil(entry.ID)}
			f.machines[entry.ID] = m
		}
		if !asked.Before(m.ordered) { // or else the host may have gone elsewhere since
			f.update(m, entry, asked)
		}
	}
	for id, m := range f.machines {
		if !seen[id] {
			delete(f.machines, id)
			delete(f.backends, m.Backend)
		}
	}
	if len(f.sorted) != len(f.machines) || slices.ContainsFunc(f.sorted, func(m *machine) bool { return f.machines[m.ID] != m }) {
		f.sort()
	}
	f.prune()
}

// Hold keeps a host from orders until the time, and has it count as one that may be away for its upkeep.
func (f *Fleet) Hold(host string, until time.Time) {
	if f.held == nil {
		f.held = make(map[string]time.Time)
	}
	f.held[host] = until
	if m := f.machines[host]; m != nil {
		m.held = until
	}
}

// HoldAll keeps all hosts from orders until the time.
func (f *Fleet) HoldAll(until time.Time) {
	f.heldAll = until
	for _, m := range f.machines {
		m.held = until
	}
}

func (f *Fleet) heldUntil(host string) time.Time {
	if until := f.held[host]; until.After(f.heldAll) {
		return until
	}
	return f.heldAll
}

// sort puts the hosts in order.
func (f *Fleet) sort() {
	f.sorted = slices.SortedFunc(maps.Values(f.machines), func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
	for n, m := range f.sorted {
		m.place = n
	}
}

func (f *Fleet) update(m *machine, entry basilwork.Machine, asked time.Time) {
	m.heard = asked
	replaced := m.Backend != entry.Backend
	if replaced && f.backends[m.Backend] == m {
		delete(f.backends, m.Backend)
	}
	m.Machine = entry
	if m.Backend != "" {
		f.backends[m.Backend] = m
	}
	if (m.maintained || m.moving) && entry.Up && (entry.Backend != m.before || asked.Sub(m.ordered) > f.options.Maintain+f.options.Migrate) {
		m.maintained, m.moving = false, false
	}
	if !m.maintained && entry.State == "upkeep" {
		m.maintained, m.before, m.ordered = true, entry.Backend, asked
	}
	if replaced && m.asked {
		m.asked, m.reason, m.target = false, "", ""
	}
}

// free tells whether the host may be ordered elsewhere: it is up, on its way nowhere, and was listed since its last order.
func (m *machine) free(now time.Time) bool {
	return m.Up && !m.ordering && !m.moving && !m.maintained && !m.heard.Before(m.ordered) && !now.Before(m.after) && !now.Before(m.held)
}
