package basilscheduler

import (
	"slices"
	"time"
)

const (
	maxAdviceCalls     = 4                      // requests at the same time; the service handles them one by one, and has the next ones by then
	maxOpenAdviceCalls = 16                     // the same with those given up; half of the 32 calls that the service lets wait
	adviceRetryDelay   = time.Second            // beyond the time that its calls take, until one without an answer is repeated
	adviceFailurePause = 200 * time.Millisecond // after a failed request, so that a service that refuses gets 20 requests a second at most
	adviceDeferral     = 50 * time.Millisecond  // until a request that may wait looks for an idle service again, about two short calls
	adviceFairTurns    = 4                      // one request in so many is for the step that has waited the longest for one
)

// adviceCalls are the requests for advice that have no answer yet.
type adviceCalls struct {
	list  []adviceCall
	begun int // number of requests so far
}

// adviceCall is one request for advice.
type adviceCall struct {
	number int
	cost   time.Duration // that the service takes
	until  time.Time     // it counts as being handled until then
	ended  bool          // it has failed
}

// mayCall reports whether one more request may be made.
func (c *adviceCalls) mayCall(now time.Time) bool {
	c.list = slices.DeleteFunc(c.list, func(a adviceCall) bool { return a.ended && !now.Before(a.until) })
	handled := 0
	for n := range c.list {
		if now.Before(c.list[n].until) {
			handled++
		}
	}
	return handled < maxAdviceCalls && len(c.list) < maxOpenAdviceCalls
}

// idle reports whether the service has nothing to do.
func (c *adviceCalls) idle() bool { return len(c.list) == 0 }

// fairTurn reports whether the next request is for the step that has waited the longest for one.
func (c *adviceCalls) fairTurn() bool { return c.begun%adviceFairTurns == adviceFairTurns-1 }

// begin adds a request that takes the service the given time, and returns its number and until when it is waited for.
func (c *adviceCalls) begin(cost time.Duration, now time.Time) (number int, until time.Time) {
	until = now.Add(cost + adviceRetryDelay)
	for n := range c.list {
		until = until.Add(c.list[n].cost)
	}
	c.begun++
	c.list = append(c.list, adviceCall{number: c.begun, cost: cost, until: until})
	return c.begun, until
}

func (c *adviceCalls) answered(number int) {
	c.list = slices.DeleteFunc(c.list, func(a adviceCall) bool { return a.number == number })
}

// failed ends a request without an answer, and returns when the next one may be made in its place.
func (c *adviceCalls) failed(number int, now time.Time) time.Time {
	again := now.Add(adviceFailurePause)
	for n := range c.list {
		if a := &c.list[n]; a.number == number {
			a.ended, a.until, a.cost = true, again, 0
		}
	}
	return again
}
