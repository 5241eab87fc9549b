package basilcapacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// machine is the planning state of one host.
type machine struct {
	basilwork.Machine
	index           int   // index in Fleet.sorted
	evacuating      bool  // the pool was asked to evacuate the host
	inherited       bool  // the evacuation was requested by a previous owner of the fleet
	requestSerial   int64 // of the evacuation request
	requestedAt     time.Time
	reason          string    // wave ID or moveReason
	target          string    // target pool of a move; empty for maintenance
	orderPending    bool      // an order has been issued and has no outcome yet
	inMaintenance   bool      // in maintenance, or possibly so
	moving          bool      // on the way to another pool
	orderedAt       time.Time // when the outcome of the latest order arrived
	listedAt        time.Time // when the list of its latest state was requested
	previousBackend string    // backend server before the latest order
	retryAt         time.Time // no order before this time, after a failed one
	heldUntil       time.Time // no order before this time: another node may have issued one
	slowUntil       time.Time // treated as slow until this time
	due             bool      // waits for maintenance, as of the latest count
}

// SetMachines updates the hosts from a list that was requested at the given time.
func (f *Fleet) SetMachines(list []basilwork.Machine, requestedAt time.Time) {
	f.listed = true
	seen := make(map[string]bool, len(list))
	for _, entry := range list {
		seen[entry.ID] = true
		m := f.machines[entry.ID]
		if m == nil {
			m = &machine{heldUntil: f.holdEnd(entry.ID)}
			f.machines[entry.ID] = m
		}
		if !requestedAt.Before(m.orderedAt) { // an older list may show the host where it was before the order
			f.updateMachine(m, entry, requestedAt)
		}
	}
	for id, m := range f.machines {
		if !seen[id] {
			delete(f.machines, id)
			delete(f.backends, m.Backend)
		}
	}
	if len(f.sorted) != len(f.machines) || slices.ContainsFunc(f.sorted, func(m *machine) bool { return f.machines[m.ID] != m }) {
		f.sortMachines()
	}
	for _, w := range f.waves {
		f.observeList(w, requestedAt)
	}
	f.syncRequests()
}

// Hold blocks orders for a host until the given time, and counts the host as possibly in maintenance until then.
func (f *Fleet) Hold(host string, until time.Time) {
	if f.holds == nil {
		f.holds = make(map[string]time.Time)
	}
	f.holds[host] = until
	if m := f.machines[host]; m != nil {
		m.heldUntil = until
	}
}

// HoldAll blocks orders for all hosts until the given time.
func (f *Fleet) HoldAll(until time.Time) {
	f.allHeldUntil = until
	for _, m := range f.machines {
		m.heldUntil = until
	}
}

func (f *Fleet) holdEnd(host string) time.Time {
	if until := f.holds[host]; until.After(f.allHeldUntil) {
		return until
	}
	return f.allHeldUntil
}

// sortMachines rebuilds the list of hosts ordered by ID.
func (f *Fleet) sortMachines() {
	f.sorted = slices.SortedFunc(maps.Values(f.machines), func(a, b *machine) int { return cmp.Compare(a.ID, b.ID) })
	for n, m := range f.sorted {
		m.index = n
	}
}

func (f *Fleet) updateMachine(m *machine, entry basilwork.Machine, requestedAt time.Time) {
	m.listedAt = requestedAt
	replaced := m.Backend != entry.Backend
	if replaced && f.backends[m.Backend] == m {
		delete(f.backends, m.Backend)
	}
	m.Machine = entry
	if m.Backend != "" {
		f.backends[m.Backend] = m
	}
	if (m.inMaintenance || m.moving) && entry.Up && (entry.Backend != m.previousBackend || requestedAt.Sub(m.orderedAt) > f.options.MaintenanceDuration+f.options.MoveDuration) {
		m.inMaintenance, m.moving = false, false
	}
	if !m.inMaintenance && entry.State == "upkeep" {
		m.inMaintenance, m.previousBackend, m.orderedAt = true, entry.Backend, requestedAt
	}
	if replaced && m.evacuating {
		m.evacuating, m.reason, m.target = false, "", ""
	}
}

// canTakeOrder reports whether the host can take an order: it is up, has no order or move in progress, is neither held nor
// waiting for a retry, and was listed since its last order.
func (m *machine) canTakeOrder(now time.Time) bool {
	return m.Up && !m.orderPending && !m.moving && !m.inMaintenance && !m.listedAt.Before(m.orderedAt) && !now.Before(m.retryAt) && !now.Before(m.heldUntil)
}
