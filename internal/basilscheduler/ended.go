package basilscheduler

import (
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	// minEndedRunWait is how long after the last answer of a backend server that has ended its long-running runs are given up that were not at work.
	// A server that they have crashed is back by then as a rule, so that its crash is counted first.
	minEndedRunWait = 3 * time.Second
	// endedRunBackoff is how much longer that takes for each other server that the task may have crashed. With two such servers in turn a task
	// runs again within the 9 s that the platform allows.
	endedRunBackoff = 2 * time.Second
	// maxEndedRunWait bounds that: the platform allows 7 s without a run after the last loss, and the next start takes up to 0.5 s for an answer of its
	// server, and the write of its row.
	maxEndedRunWait = 6 * time.Second
)

// giveUpEndedRuns ends the long-running runs on backend servers that have ended, some time after the last answers of these. A run whose start
// may still be answered is kept.
func (p *Pool) giveUpEndedRuns(now time.Time) {
	p.possibleCrashes = nil
	count := 0
	for _, b := range p.list {
		if !b.ended || !slices.ContainsFunc(b.runs, (*run).isLong) {
			continue
		}
		if until := b.heardAt.Add(minEndedRunWait); now.Before(until) {
			p.wakeAt(until)
			continue
		}
		runs := slices.DeleteFunc(b.sortedRuns(), func(r *run) bool {
			if !r.isLong() || r.phase == phaseStarting || r.repeating {
				return true
			}
			until := b.heardAt.Add(p.endedRunWait(r.task))
			if now.Before(until) {
				p.wakeAt(until)
			}
			return now.Before(until)
		})
		p.recordLateStarts(runs, now)
		for _, r := range runs {
			b.givenUp = append(b.givenUp, r)
			p.endRun(r, basilwork.RunEndLost, now)
		}
		count += len(runs)
	}
	if count > 0 {
		p.possibleCrashes = nil
	}
}

// endedRunWait returns how long a long-running task waits for a server that has ended and that it may have crashed.
func (p *Pool) endedRunWait(t *task) time.Duration {
	if p.possibleCrashes == nil {
		p.possibleCrashes = p.countPossibleCrashes()
	}
	crashes := p.possibleCrashes[t.id] + len(t.step.progress.Crashes[t.id.Index])
	return min(minEndedRunWait+time.Duration(crashes)*endedRunBackoff, maxEndedRunWait)
}

// countPossibleCrashes returns, for each task, how many lost or ended backend servers will count as crashed under it if they are found to have
// crashed.
func (p *Pool) countPossibleCrashes() map[basilwork.TaskID]int {
	crashes := make(map[basilwork.TaskID]int)
	for n := range p.silences {
		for _, s := range p.silences[n].suspects {
			crashes[s.task]++
		}
	}
	for _, b := range p.list {
		if len(b.givenUp) == 0 {
			continue
		}
		for _, s := range p.newSilence(b, b.lostRuns(b.sortedRuns())).suspects {
			if slices.ContainsFunc(b.givenUp, func(r *run) bool { return r.task.id == s.task && r.attempt == s.attempt }) {
				crashes[s.task]++
			}
		}
	}
	return crashes
}

// lostRuns returns the given runs and those that were given up on the backend server: which of them are suspects of its crash is judged by all.
func (b *backend) lostRuns(runs []*run) []*run { return append(slices.Clone(b.givenUp), runs...) }

// forgetGivenUp forgets the runs that were given up on the backend server, as it is known whether their crash counts, or it has answered.
func (b *backend) forgetGivenUp() { b.ended, b.givenUp = false, nil }
