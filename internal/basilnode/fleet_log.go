package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"
)

// fleetLag tells how far the control goroutine was behind since the last line about it.
type fleetLag struct {
	event  time.Duration // longest from sending to taking in
	step   time.Duration // longest decision
	asked  time.Time     // when the list that was taken in last was asked for
	warned time.Time
}

// logStandings writes a line of how the pools stand, once per loadEvery.
func (f *fleet) logStandings(now time.Time) {
	if now.Sub(f.logged) < loadEvery {
		return
	}
	f.logged = now
	f.log.WithFields(logrus.Fields{
		"pools": f.state.Standings(now), "event_age_ms": f.lag.event.Milliseconds(), "step_us": f.lag.step.Microseconds(),
		"list_age_ms": f.listAge(now).Milliseconds(), "queued": len(f.events),
	}).Info("pools stand")
	f.lag.event, f.lag.step = 0, 0
}

// listAge returns how long ago the newest list of hosts that was taken in was asked for.
func (f *fleet) listAge(now time.Time) time.Duration {
	if f.lag.asked.IsZero() {
		return now.Sub(f.since)
	}
	return now.Sub(f.lag.asked)
}

// warnList complains about an old list of hosts, once per loadEvery.
func (f *fleet) warnList(now time.Time) {
	if age := f.listAge(now); age > machinesQuiet+listLate && now.Sub(f.lag.warned) >= loadEvery {
		f.lag.warned = now
		f.log.WithFields(logrus.Fields{"list_age_ms": age.Milliseconds(), "asked_for": f.listing, "queued": len(f.events)}).
			Warn("list of hosts is old")
	}
}
