package basilscheduler

import "time"

// orphan is a run that a backend server lists and that belongs to no known task: its job has ended and was removed, or
// its start was carried out after the run had been given up.
type orphan struct {
	stopRequestedAt time.Time
	stopAnsweredAt  time.Time // when the newest stop request was answered; zero if it was not
}

// stopOrphan stops a run that a report lists, requested at the time sent. The stop is repeated until the run is gone.
func (p *Pool) stopOrphan(b *backend, r Ref, previous map[Ref]*orphan, sent, now time.Time) {
	o := previous[r]
	if o == nil {
		o = &orphan{}
	}
	if b.orphans == nil {
		b.orphans = make(map[Ref]*orphan)
	}
	b.orphans[r] = o
	repeatAt := o.stopRequestedAt.Add(stopRetryInterval)
	if !o.stopAnsweredAt.IsZero() && sent.Sub(o.stopAnsweredAt) <= p.options.StopTimeout+endReportDelay {
		return
	}
	if now.Before(repeatAt) {
		return
	}
	o.stopRequestedAt, o.stopAnsweredAt = now, time.Time{}
	p.actions.Stops = append(p.actions.Stops, Stop{Ref: r, Reason: "unknown task"})
}

// HasOrphans reports whether the newest report of the backend server lists runs that belong to no known task.
func (p *Pool) HasOrphans(id string) bool {
	b := p.backends[id]
	return b != nil && len(b.orphans) > 0
}
