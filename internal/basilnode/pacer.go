package basilnode

import "time"

const (
	leastPause  = 5 * time.Millisecond  // between steps, in which events gather
	mostPause   = 50 * time.Millisecond // that an end may wait for what follows from it
	pauseFactor = 3                     // times what the last step took: steps take a quarter of the time, the rest is for calls
)

// pacer tells when a control goroutine may step again, so that one step serves many events when they are many; a
// first event after a pause is served at once. Its zero value works.
type pacer struct{ next time.Time }

// stepped notes a step's beginning and end.
func (p *pacer) stepped(began, ended time.Time) {
	p.next = ended.Add(min(max(leastPause, pauseFactor*ended.Sub(began)), mostPause))
}

// wait returns in what time a step may follow.
func (p *pacer) wait(now time.Time) time.Duration { return max(0, p.next.Sub(now)) }
