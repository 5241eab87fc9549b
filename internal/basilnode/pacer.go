package basilnode

import "time"

const (
	minStepPause    = 5 * time.Millisecond  // pause between steps, so that one step handles several events
	maxStepPause    = 50 * time.Millisecond // limits how long the end of a run waits for the tasks that depend on it
	stepPauseFactor = 3                     // pause as a multiple of the last step's time: leaves three quarters of the time for requests
)

// pacer limits the rate of a control goroutine's steps, so that one step handles many events under load. The first event
// after a quiet period is handled at once. The zero value is ready to use.
type pacer struct{ next time.Time }

// stepped records the start and the end of a step.
func (p *pacer) stepped(began, ended time.Time) {
	p.next = ended.Add(min(max(minStepPause, stepPauseFactor*ended.Sub(began)), maxStepPause))
}

// wait returns the time until the next step is allowed.
func (p *pacer) wait(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }
