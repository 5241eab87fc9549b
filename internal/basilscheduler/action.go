package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Ref names one run of a task on a backend server.
type Ref struct {
	Backend string
	Task    basilwork.TaskID
	Attempt int
}

// Start asks for a run to be started.
type Start struct {
	Ref
	Payload    string
	Checkpoint string
	Ticket     string
	Gang       bool          // one of several that work only together
	Rank       string        // class of the waiting work
	Slack      time.Duration // to the objective, or the work left when that can't be met
	Waited     time.Duration // since the task could have been started
}

// Stop asks for a run to be stopped.
type Stop struct {
	Ref
	Reason string
}

// Pace asks for a run to work at a share.
type Pace struct {
	Ref
	Percent int
}

// AdviceRequest asks which backend servers may run a step.
type AdviceRequest struct {
	Step     string
	Backends []string
}

// Slowness tells that a backend server is taken to be slow, and the newest of the runs that say so.
type Slowness struct {
	Backend  string
	Odds     float64       // logarithm
	Took     time.Duration // in all, as far as is known
	Estimate time.Duration
}

// Actions is what a decision asks for.
type Actions struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Advice []AdviceRequest
	Slow   []Slowness // nothing is to be done about these
}

// Empty tells whether nothing is asked for.
func (a *Actions) Empty() bool {
	return len(a.Starts)+len(a.Stops)+len(a.Paces)+len(a.Advice) == 0
}
