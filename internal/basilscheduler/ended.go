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
	var suspected map[basilwork.TaskID]bool
	for _, b := range p.list {
		if !b.ended || !slices.ContainsFunc(b.runs, (*run).isLong) {
			continue
		}
		if until := b.heardAt.Add(endedRunWait); now.Before(until) {
			p.wakeAt(until)
			continue
		}
		if suspected == nil {
			suspected = p.suspectedTasks()
		}
		runs := b.sortedRuns()
		suspects := p.newSilence(b, runs).suspects
		runs = slices.DeleteFunc(runs, func(r *run) bool {
			return !r.isLong() || r.phase == phaseStarting || r.repeating || r.task.suspicion > 0 || suspected[r.task.id]
		})
		p.recordLateStarts(runs, now)
		for _, r := range runs {
			for _, s := range suspects {
				if s.task == r.task.id && s.attempt == r.attempt {
					b.givenUp = append(b.givenUp, s)
					suspected[s.task] = true
				}
			}
			p.endRun(r, basilwork.RunEndLost, now)
		}
	}
}

// suspectedTasks returns the tasks for which a crash will count if a lost or ended backend server is found to have crashed.
func (p *Pool) suspectedTasks() map[basilwork.TaskID]bool {
	tasks := make(map[basilwork.TaskID]bool)
	for n := range p.silences {
		for _, s := range p.silences[n].suspects {
			tasks[s.task] = true
		}
	}
	for _, b := range p.list {
		for _, s := range b.givenUp {
			tasks[s.task] = true
		}
	}
	return tasks
}

// takeGivenUp returns the runs that were given up on the backend server, for which its crash counts too, and forgets them.
func (b *backend) takeGivenUp() []suspect {
	suspects := b.givenUp
	b.ended, b.givenUp = false, nil
	return suspects
}
