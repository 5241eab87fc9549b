package basilscheduler

import "time"

// rackFailed reports whether several backend servers of the rack fell silent at about the same time, and fewer of those that were there
// have answered since. Servers that began later tell nothing of it.
func (p *Pool) rackFailed(l *silence) bool {
	if l.rack == "" {
		return false
	}
	silent := map[string]bool{l.address: true}
	for n := range p.silences {
		if o := &p.silences[n]; o.rack == l.rack && l.together(o.from, o.until) {
			silent[o.address] = true
		}
	}
	for _, b := range p.list {
		if b.Rack == l.rack && !b.reachable && l.together(b.silentSince(b.runs)) {
			silent[b.Address] = true
		}
	}
	alive := 0
	for _, b := range p.list {
		if b.Rack == l.rack && !silent[b.Address] && l.outlivedBy(b) {
			alive++
		}
	}
	return len(silent) > 1 && len(silent) > alive
}

// outlivedBy reports whether the incarnation of the backend server was there when the lost one last answered, and has answered after that
// fell silent.
func (l *silence) outlivedBy(b *backend) bool {
	return !b.heardFrom.After(l.from) && b.heardAt.After(l.until.Add(rackFailureTime))
}

// together reports whether the backend server may have fallen silent with one that did so between the given times.
func (l *silence) together(from, until time.Time) bool {
	return l.from.Before(until.Add(rackFailureTime)) && from.Before(l.until.Add(rackFailureTime))
}

// silentSince returns between which times the backend server with the runs fell silent, if it did: it was silent by the first start that it
// hasn't answered.
func (b *backend) silentSince(runs []*run) (from, until time.Time) {
	if at := b.firstUnanswered(runs); !at.IsZero() {
		return b.heardAt, at
	}
	if len(runs) == 0 {
		return b.heardAt, b.heardAt.Add(idleReportTime)
	}
	return b.heardAt, b.heardAt.Add(promptCrashTime)
}

// firstUnanswered returns when the first start without an answer was requested since the backend server last answered, or the zero time.
func (b *backend) firstUnanswered(runs []*run) time.Time {
	var first time.Time
	for _, r := range runs {
		if !r.answered() && r.orderedAt.After(b.heardAt) && (first.IsZero() || r.orderedAt.Before(first)) {
			first = r.orderedAt
		}
	}
	return first
}
