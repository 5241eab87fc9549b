package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=WaitReason -trimprefix=WaitReason -transform=snake -output=wait_reason_enumer.go

// WaitReason is the reason why a task is not at work.
type WaitReason int

// Reasons, in the order in which they are looked for. Those from WaitReasonNoBackends to WaitReasonSlow say what keeps the task off the
// backend servers.
const (
	WaitReasonNone         WaitReason = iota // the task is at work
	WaitReasonRunStarting                    // the start of a run is not answered yet
	WaitReasonRunUnknown                     // the start of a run got no answer, so the run may exist
	WaitReasonRunStopping                    // a run is being stopped
	WaitReasonRunUnlisted                    // a run counts as at work, but no report has listed it lately
	WaitReasonNotOpened                      // its occurrence is due but not opened, as many of the job are open already
	WaitReasonNotDue                         // its occurrence is not due
	WaitReasonStepNotReady                   // an earlier step is unfinished
	WaitReasonInconsistent                   // the step is not among the waiting ones, or its counts are wrong
	WaitReasonStartLimit                     // the owner allows no starts now
	WaitReasonPredecessors                   // backend servers that may have runs of a predecessor have not answered
	WaitReasonPause                          // pause after a failure
	WaitReasonGangMember                     // another member of the gang still has a run or pauses
	WaitReasonNoTickets                      // no valid tickets for the step
	WaitReasonNoBackends                     // no backend server is present
	WaitReasonNoLabel                        // no present backend server has the label
	WaitReasonTooLarge                       // no backend server has enough room even when empty
	WaitReasonDraining
	WaitReasonEvacuating
	WaitReasonNoRoom
	WaitReasonNotRecorded
	WaitReasonNotAttached
	WaitReasonNotReachable
	WaitReasonBlocked     // paused after refusals or failures
	WaitReasonQuarantined // a suspect was started there
	WaitReasonOrphans     // runs that belong to no known task
	WaitReasonTicket      // no ticket for the backend servers with room
	WaitReasonAvoided     // a run of the task was lost or failed there
	WaitReasonAntiAffinity
	WaitReasonReserved   // for another task
	WaitReasonSlow       // considered slow
	WaitReasonGangRoom   // not enough room for the gang as a whole
	WaitReasonPassedOver // a backend server would take it, but the last decision ended before it or was made in another state
)

const waitReasons = WaitReasonPassedOver + 1 // number of reasons

// expected reports whether a healthy pool has such waits, however long.
func (i WaitReason) expected() bool {
	switch i {
	case WaitReasonNotOpened, WaitReasonNotDue, WaitReasonNoRoom, WaitReasonTooLarge, WaitReasonNoLabel:
		return true
	}
	return false
}

// Wait explains why a task has not been at work for long. Fields without a meaning for the reason are zero.
type Wait struct {
	Task          basilwork.TaskID // of the waiting tasks of its step the one that has waited longest
	Tasks         int              // number of waiting tasks of the step, or 1 for a run
	Waited        time.Duration    // since its last run ended or was lost, or since this owner began
	Away          time.Duration    // of a long-running task: since it was last known to be at work; 0 if it never was
	Reason        WaitReason
	Expected      bool             // a healthy pool has such waits
	LongRunning   bool             // the tasks are long-running, and come after no others
	Blocker       basilwork.TaskID // unfinished task of an earlier step
	BlockerReason WaitReason       // why the blocker is not at work
	Run           Ref              // run of the task, or of the blocker if there is one
	RunAge        time.Duration    // time since the run is in its state; since its start if it is at work
	Backends      map[string]int   // number of present backend servers by the reason that keeps the task off them
	Pending       int              // number of backend servers of a predecessor or gang members that are waited for
	Ends          time.Duration    // until the reason ends at the latest, if that is known
	Position      int              // in the order of placement, starting at 1; 0 if the step is not listed
	Detail        string
}

// Waits summarizes the tasks that have not been at work for long.
type Waits struct {
	List    []Wait // explained ones, unexpected ones first, of these long-running tasks, then those that have waited longest
	Tasks   map[WaitReason]int
	Longest map[WaitReason]time.Duration
	// LongRunning is the longest wait of a long-running task that is not Expected.
	LongRunning time.Duration
	Unexamined  int // further steps and runs, which are not in Tasks
}
