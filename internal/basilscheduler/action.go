package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Ref identifies one run of a task on a backend server.
type Ref struct {
	Backend string
	Task    basilwork.TaskID
	Attempt int
}

// Start is a request to start a run.
type Start struct {
	Ref
	Payload    string
	Checkpoint string
	Ticket     string
	Gang       bool          // the task is a member of a gang, whose tasks only work together
	Listed     bool          // the run has to be in the backend server's list of runs before it is requested, see TakeRunLists
	Rank       string        // rank of the step among the waiting work
	Slack      time.Duration // time left until the objective can no longer be met; the remaining work if it cannot be met
	Waited     time.Duration // time since the task became ready
	Repeats    int           // how many times the start was requested before without an answer
}

// Stop is a request to stop a run.
type Stop struct {
	Ref
	Reason string
}

// Pace is a request to throttle a run to a percentage of its full speed.
type Pace struct {
	Ref
	Percent int
}

// AdviceRequest asks the recommendation service which backend servers may run a step.
type AdviceRequest struct {
	Step     string
	Backends []string
	call     int
}

// Slowness reports that a backend server is considered slow, together with the latest run that indicates it.
type Slowness struct {
	Backend  string
	Odds     float64       // logarithm of the odds that the backend server is slow
	Took     time.Duration // total run time, projected if the run has not ended
	Estimate time.Duration
}

// GivenUp reports that a job is failed because of a task under which backend servers crashed.
type GivenUp struct {
	Task    basilwork.TaskID
	Crashes []basilwork.Crash
}

// Crash reports that a backend server crashed and which of the runs that it had count it.
type Crash struct {
	Backend  string
	Address  string
	Silent   time.Duration // since its last answer
	WithRack bool          // its rack failed
	Again    bool          // one at its address crashed a short time ago, and no task explains that
	Suspects []Suspect
}

// Suspect is a run in a crash.
type Suspect struct {
	Task    basilwork.TaskID
	Attempt int
	Prompt  bool // the backend server fell silent with its start
	Certain bool // its start was answered
	Weight  int  // of the crash for the task, or 0 if it does not count
	Sum     int  // of the weights of all crashes of the task
}

// EarlierEnd reports the successful end of an earlier attempt, whose backend server had been given up. It finishes its task.
type EarlierEnd struct {
	Ref
	Newest int    // highest attempt number known
	Live   string // backend server with a run of the task that may exist, or empty
}

// Actions are the actions that a decision requests.
type Actions struct {
	Starts      []Start
	Stops       []Stop
	Paces       []Pace
	Advice      []AdviceRequest
	Slow        []Slowness // for information only, like those below
	Crashes     []Crash
	GivenUp     []GivenUp
	EarlierEnds []EarlierEnd
}

// Empty reports whether no action is requested; what is for information only doesn't count.
func (a *Actions) Empty() bool {
	return len(a.Starts)+len(a.Stops)+len(a.Paces)+len(a.Advice) == 0
}
