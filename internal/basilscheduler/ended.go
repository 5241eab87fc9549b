package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// endedRunWait is how long after the last answer of a backend server that has ended its long-running runs are given up that were not at work. A
// server that they have crashed is back by then as a rule, so that its crash is counted first. A task that meets two such servers in turn runs
// again within the 9 s that the platform allows.
const endedRunWait = 3 * time.Second

// giveUpEndedRuns ends the long-running runs on backend servers that have ended, but for those of tasks that may have crashed another server
// lately: they don't start again before its crash is counted. Nor does one whose start may still be answered.
func (p *Pool) giveUpEndedRuns(now time.Time) {
	for _, b := range p.list {
		if !b.ended || !slices.ContainsFunc(b.runs, (*run).isLong) {
			continue
		}
		if until := b.heardAt.Add(endedRunWait); now.Before(until) {
			p.wakeAt(until)
			continue
		}
		runs := b.sortedRuns()
		suspects := p.newSilence(b, runs).suspects
		runs = slices.DeleteFunc(runs, func(r *run) bool { return !r.isLong() || r.phase == phaseStarting || p.mayHaveCrashedServer(r.task) })
		p.recordLateStarts(runs)
		for _, r := range runs {
			for _, s := range suspects {
				if s.task == r.task.id && s.attempt == r.attempt {
					b.givenUp = append(b.givenUp, s)
				}
			}
			p.endRun(r, basilwork.RunEndLost, now)
		}
	}
}

// mayHaveCrashedServer reports whether a crash counts for the task, or will if a backend server is found to have crashed.
func (p *Pool) mayHaveCrashedServer(t *task) bool {
	isTask := func(s suspect) bool { return s.task == t.id }
	return t.suspicion > 0 || slices.ContainsFunc(p.silences, func(l silence) bool { return slices.ContainsFunc(l.suspects, isTask) }) ||
		slices.ContainsFunc(p.list, func(b *backend) bool { return slices.ContainsFunc(b.givenUp, isTask) })
}

// takeGivenUp returns the runs that were given up on the backend server, for which its crash counts too, and forgets them.
func (b *backend) takeGivenUp() []suspect {
	suspects := b.givenUp
	b.ended, b.givenUp = false, nil
	return suspects
}
