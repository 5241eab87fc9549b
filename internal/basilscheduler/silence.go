package basilscheduler

import (
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	promptCrashTime = 500 * time.Millisecond // maximum time from a start to the last answer before a crash that it caused at once; reports arrive in it
	startBurst      = 50 * time.Millisecond  // starts this close to each other may be carried out in any order
	rackFailureTime = 300 * time.Millisecond // difference between the times at which backend servers fall silent that fail with their rack
	idleReportTime  = 2 * time.Second        // between reports of an idle backend server
	silenceMemory   = 30 * time.Second       // how long a lost backend server may take to come back: some seconds after a crash
)

// silence is the loss of a backend server with the runs that it had.
type silence struct {
	id        string
	address   string
	rack      string
	startedAt int64     // of its incarnation, in Unix milliseconds
	from      time.Time // when it last answered
	until     time.Time // when it certainly was silent
	lostAt    time.Time
	unlisted  bool      // it had no runs and is merely no longer listed, so it may still answer
	suspects  []suspect // nil once it is known whether the backend server has crashed
	crashed   []suspect // the suspects, once it is known that it has crashed
}

// suspect is a run that a backend server had when it fell silent.
type suspect struct {
	task    basilwork.TaskID
	attempt int
	prompt  bool // the backend server fell silent with the start of the run
	certain bool // the start was answered, so the run existed
}

// comparePrompt orders prompt suspects before others.
func comparePrompt(a, b suspect) int {
	switch {
	case a.prompt == b.prompt:
		return 0
	case a.prompt:
		return -1
	}
	return 1
}

// newSilence returns the silence of a backend server that had the given runs.
//
// Starts without an answer may have crashed it before the answer, but of those since it last answered only the first: the others
// were requested when it was silent already. A backend server that drains is expected to leave, and a long-running task that was
// at work didn't crash it.
func (p *Pool) newSilence(b *backend, runs []*run) silence {
	l := silence{id: b.ID, address: b.Address, rack: b.Rack, startedAt: b.StartedAt}
	l.from, l.until = b.silentSince(runs)
	if b.Draining {
		return l
	}
	unanswered := b.firstUnanswered(runs)
	var newest time.Time
	for _, r := range runs {
		if r.answered() && !r.adopted && r.orderedAt.After(newest) {
			newest = r.orderedAt
		}
	}
	isPrompt := func(at time.Time) bool { return !at.IsZero() && b.heardAt.Sub(at) <= promptCrashTime }
	for _, r := range runs {
		var prompt bool
		switch {
		case r.hasServed():
			continue
		case r.adopted: // it had run for the time of the takeover at least
		case r.answered():
			prompt = newest.Sub(r.orderedAt) <= startBurst && isPrompt(r.orderedAt)
		case r.orderedAt.After(b.heardAt) && r.orderedAt.Sub(unanswered) > startBurst:
			continue
		default:
			prompt = isPrompt(r.orderedAt) && !isPrompt(newest)
		}
		l.suspects = append(l.suspects, suspect{task: r.task.id, attempt: r.attempt, prompt: prompt, certain: r.answered()})
	}
	return l
}

// answered reports whether the run is known to have started.
func (r *run) answered() bool { return !r.answeredAt.IsZero() }

// recordSilence records the loss of a backend server. If it is not known to have crashed, its next entry in the list of
// backend servers will tell.
func (p *Pool) recordSilence(l silence, crashed bool, now time.Time) {
	l.lostAt = now
	p.forgetOldSilences(now)
	if crashed {
		p.recordCrash(&l, now)
	}
	p.silences = append(p.silences, l)
}

// recordUnlisted records the silence of a backend server without runs that is no longer listed, unless it was expected to leave: the
// crashes of others in its rack are judged by it.
func (p *Pool) recordUnlisted(b *backend) {
	if b.heardAt.IsZero() || b.Draining || b.evacuating {
		return
	}
	l := p.newSilence(b, nil)
	l.lostAt, l.unlisted = b.heardAt, true
	p.silences = append(p.silences, l)
}

func (p *Pool) forgetOldSilences(now time.Time) {
	p.silences = slices.DeleteFunc(p.silences, func(l silence) bool { return now.Sub(l.lostAt) > silenceMemory })
	maps.DeleteFunc(p.givenUp, func(_ string, at time.Time) bool { return now.Sub(at) > silenceMemory })
}

// explainSilences records crashes of lost backend servers that are listed in a newer incarnation, under their ID or at their
// address.
func (p *Pool) explainSilences(now time.Time) {
	p.forgetOldSilences(now)
	for n := range p.silences {
		l := &p.silences[n]
		if len(l.suspects) > 0 && slices.ContainsFunc(p.list, l.succeededBy) {
			p.recordCrash(l, now)
		}
	}
}

// succeededBy reports whether the backend server is a newer incarnation of the lost one.
func (l *silence) succeededBy(b *backend) bool {
	return b.present && (b.ID == l.id || b.Address == l.address) && b.StartedAt > l.startedAt
}

// markSucceeded marks the backend servers that a newly listed one has replaced at its address.
func (p *Pool) markSucceeded(entry basilwork.Backend) {
	for _, b := range p.list {
		if b.Address == entry.Address && b.StartedAt < entry.StartedAt {
			b.succeeded = true
		}
	}
}

// recordReturn records the crash of a lost backend server that has started again under its ID.
func (p *Pool) recordReturn(id string, now time.Time) {
	for n := range p.silences {
		l := &p.silences[n]
		if l.id != id {
			continue
		}
		l.unlisted = false
		if len(l.suspects) > 0 {
			p.recordCrash(l, now)
		}
	}
}

// forgetSilence drops the suspicions against runs of a lost backend server that answers again: it was only unreachable, or its entry in
// the list was missing.
func (p *Pool) forgetSilence(b *backend) {
	p.silences = slices.DeleteFunc(p.silences, func(l silence) bool { return l.unlisted && l.id == b.ID && l.startedAt == b.StartedAt })
	for n := range p.silences {
		if l := &p.silences[n]; l.id == b.ID && l.startedAt == b.StartedAt {
			l.suspects = nil
		}
	}
}
