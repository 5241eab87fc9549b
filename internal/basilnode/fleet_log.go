package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
)

// fleetLag holds how far the control goroutine was behind since the previous log line about it.
type fleetLag struct {
	event    time.Duration // longest time that an event waited
	step     time.Duration // longest decision
	listAsOf time.Time     // when the current list of hosts was requested
	warnedAt time.Time     // when a stale list of hosts was last reported
}

// logPools logs the state of the pools, once per loadLogInterval.
func (f *fleet) logPools(now time.Time) {
	if now.Sub(f.loggedAt) < loadLogInterval {
		return
	}
	f.loggedAt = now
	f.log.WithFields(logrus.Fields{
		"pools": f.state.PoolStatuses(now), "event_age_ms": f.lag.event.Milliseconds(), "step_us": f.lag.step.Microseconds(),
		"list_age_ms": f.listAge(now).Milliseconds(), "queued": len(f.events),
	}).Info("state of pools")
	f.lag.event, f.lag.step = 0, 0
}

// listAge returns how long ago the current list of hosts was requested, or the shard was taken over if there is none.
func (f *fleet) listAge(now time.Time) time.Duration {
	if f.lag.listAsOf.IsZero() {
		return now.Sub(f.startedAt)
	}
	return now.Sub(f.lag.listAsOf)
}

// warnStaleList logs a warning about a stale list of hosts, once per loadLogInterval.
func (f *fleet) warnStaleList(now time.Time) {
	if age := f.listAge(now); age > idleListInterval+staleListDelay && now.Sub(f.lag.warnedAt) >= loadLogInterval {
		f.lag.warnedAt = now
		f.log.WithFields(logrus.Fields{"list_age_ms": age.Milliseconds(), "asked_for": f.listInFlight, "queued": len(f.events)}).
			Warn("list of hosts is stale")
	}
}

const minBlockedTime = time.Second // a first list of the hosts and a late renewal take less

// fleetBlock is the time for which the fleet's owner has given no orders at all.
type fleetBlock struct {
	reason string // empty if it gives orders
	since  time.Time
	logged bool
}

// next updates the state. It returns whether the state has lasted for minBlockedTime now, and the state that has ended if it had.
func (b *fleetBlock) next(reason string, now time.Time) (lasting bool, ended fleetBlock) {
	if reason != b.reason {
		if b.logged {
			ended = *b
		}
		*b = fleetBlock{reason: reason, since: now}
		return false, ended
	}
	if reason == "" || b.logged || now.Sub(b.since) < minBlockedTime {
		return false, ended
	}
	b.logged = true
	return true, ended
}

// logBlock logs when the fleet's owner has given no orders for minBlockedTime, why, and when that ends.
func (f *fleet) logBlock(now time.Time) {
	reason := ""
	switch {
	case !f.node.keeper.MayStart():
		reason = "lease not certain"
	case f.lag.listAsOf.IsZero():
		reason = "no list of hosts"
	}
	lasting, ended := f.block.next(reason, now)
	if lasting {
		f.log.WithFields(logrus.Fields{
			basillog.FieldReason: reason, "blocked_ms": now.Sub(f.block.since).Milliseconds(),
			"renewal_age_ms": f.node.keeper.SinceRenewal().Milliseconds(), "asked_for": f.listInFlight,
		}).Warn("no orders for hosts")
	}
	if ended.logged {
		f.log.WithFields(logrus.Fields{basillog.FieldReason: ended.reason, "blocked_ms": now.Sub(ended.since).Milliseconds()}).
			Info("no longer without orders for hosts")
	}
}
