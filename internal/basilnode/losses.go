package basilnode

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
)

const (
	maxLoggedLosses = 16          // runs named in one log line, which is then about 1.5 KB long, or in lines of their own at once
	reasonRestarted = "restarted" // the backend server runs as a new incarnation under its ID
	reasonEnded     = "ended"     // no host runs the backend server any more
)

// lostRun is a run in the log line about the runs that were lost with a backend server.
type lostRun struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Age      int64  `json:"age_ms"`   // since the start was requested
	Answered bool   `json:"answered"` // the start was answered; otherwise it is unknown whether the run began
}

// recordLosses logs and counts those of the runs that the pool no longer has on a backend server.
func (o *owner) recordLosses(id, reason string, before []basilscheduler.RunState, now time.Time) {
	if len(before) == 0 {
		return
	}
	kept := make(map[basilscheduler.Ref]bool)
	for _, r := range o.pool.RunStates(id) {
		kept[r.Ref] = true
	}
	lost := slices.DeleteFunc(before, func(r basilscheduler.RunState) bool { return kept[r.Ref] })
	if len(lost) == 0 {
		return
	}
	o.node.metrics.runsLost(reason, len(lost))
	fields := logrus.Fields{basillog.FieldHost: id, basillog.FieldReason: reason, "runs": len(lost), "tasks": describeLosses(lost, now)}
	if c := o.connections[id]; c != nil && reason != reasonRestarted { // a restarted backend server has just answered
		fields["silent_ms"] = now.Sub(c.LastAnswer()).Milliseconds()
	}
	o.log.WithFields(fields).Warn("runs lost with backend server")
}

// logEarlierEnds logs and counts tasks that earlier attempts have finished.
func (o *owner) logEarlierEnds(ends []basilscheduler.EarlierEnd) {
	if len(ends) == 0 {
		return
	}
	o.node.metrics.endsOfEarlierAttempts(len(ends))
	shown := ends[:min(len(ends), maxLoggedLosses)]
	for _, e := range shown {
		o.logRun(e.Ref).WithFields(logrus.Fields{
			"newest_attempt": e.Newest, "newest_host": e.Live, "others": len(ends) - len(shown),
		}).Warn("task finished by an earlier attempt")
	}
}

// describeLosses describes up to maxLoggedLosses runs. Those that may have caused a crash come first: the newest of those
// whose start was answered.
func describeLosses(lost []basilscheduler.RunState, now time.Time) []lostRun {
	slices.SortStableFunc(lost, func(a, b basilscheduler.RunState) int {
		if a.Answered != b.Answered {
			if a.Answered {
				return -1
			}
			return 1
		}
		return b.StartedAt.Compare(a.StartedAt)
	})
	list := make([]lostRun, 0, min(len(lost), maxLoggedLosses))
	for _, r := range lost[:cap(list)] {
		list = append(list, lostRun{Task: r.Task.String(), Attempt: r.Attempt, Age: now.Sub(r.StartedAt).Milliseconds(), Answered: r.Answered})
	}
	return list
}

// crashedRun is a run in the log line about a crash.
type crashedRun struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Prompt  bool   `json:"prompt,omitempty"`  // the backend server fell silent with its start
	Certain bool   `json:"certain,omitempty"` // its start was answered
	Weight  int    `json:"weight"`            // 0 if the crash does not count for the task
	Sum     int    `json:"sum"`               // of the weights of all crashes of the task
}

// logCrashes logs which runs the crashes of backend servers count for, those with the highest sum of weights first.
func (o *owner) logCrashes(crashes []basilscheduler.Crash) {
	for _, c := range crashes {
		slices.SortStableFunc(c.Suspects, func(a, b basilscheduler.Suspect) int { return b.Sum - a.Sum })
		list := make([]crashedRun, 0, min(len(c.Suspects), maxLoggedLosses))
		for _, s := range c.Suspects[:cap(list)] {
			list = append(list, crashedRun{Task: s.Task.String(), Attempt: s.Attempt, Prompt: s.Prompt, Certain: s.Certain, Weight: s.Weight, Sum: s.Sum})
		}
		o.log.WithFields(logrus.Fields{
			basillog.FieldHost: c.Backend, "address": c.Address, "silent_ms": c.Silent.Milliseconds(),
			"with_rack": c.WithRack, "again": c.Again, "runs": len(c.Suspects), "tasks": list,
		}).Info("crash counted for runs on backend server")
	}
}
