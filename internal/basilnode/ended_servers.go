package basilnode

import (
	"time"

	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	endedDelay       = 300 * time.Millisecond // before the first listing: most backend servers that live have answered a new owner by then
	minEndedInterval = time.Second            // between listings of the hosts for silent backend servers; each call is charged for
	maxEndedInterval = 4 * time.Second        // the interval doubles up to it, since servers that are cut off stay silent for long
)

// endedServers finds out which silent backend servers have ended, by the platform's list of hosts. The zero value is ready to use.
type endedServers struct {
	inFlight bool
	next     time.Time // next listing
	interval time.Duration
}

// due reports whether the hosts have to be listed now.
func (e *endedServers) due(now time.Time) bool { return !e.inFlight && !now.Before(e.next) }

// listed schedules the listing after one that has ended.
func (e *endedServers) listed(now time.Time) {
	e.interval = min(max(minEndedInterval, 2*e.interval), maxEndedInterval)
	e.inFlight, e.next = false, now.Add(e.interval)
}

// hasten schedules the next listing as soon as may be, since one more backend server is silent.
func (e *endedServers) hasten() {
	if e.interval > minEndedInterval {
		e.next = e.next.Add(minEndedInterval - e.interval)
		e.interval = minEndedInterval
	}
}

// findEnded lists the hosts in the background if backend servers are silent. It returns the time until it has to be called again, or 0.
func (o *owner) findEnded(now time.Time) time.Duration {
	if o.ended.inFlight {
		return 0
	}
	if !o.ended.due(now) {
		return o.ended.next.Sub(now)
	}
	silent := o.pool.SilentBackends()
	if len(silent) == 0 {
		o.ended.interval = 0
		return 0
	}
	o.ended.inFlight = true
	go func() {
		hosts, err := o.node.options.Machines.Machines(o.ctx)
		o.send(func(now time.Time) {
			o.ended.listed(now)
			if err != nil {
				o.log.WithError(err).Warn("cannot list hosts of silent backend servers")
				return
			}
			o.applyEnded(silent, hosts, now)
		})
	}()
	return 0
}

// applyEnded takes those of the backend servers for ended that no host which is up runs any more.
func (o *owner) applyEnded(silent []string, hosts []basilwork.Machine, now time.Time) {
	running, listed := make(map[string]bool, len(hosts)), make(map[string]bool, len(hosts))
	for n := range hosts {
		listed[hosts[n].Backend] = true
		if hosts[n].Up && hosts[n].Backend != "" {
			running[hosts[n].Backend] = true
		}
	}
	if len(running) == 0 {
		o.log.WithField("hosts", len(hosts)).Warn("no host in the list runs a backend server; ignoring it")
		return
	}
	var ended []string
	down := 0
	for _, id := range silent {
		if running[id] {
			continue
		}
		before := o.pool.RunStates(id)
		if o.pool.Ended(id, now) {
			ended = append(ended, id)
			if listed[id] {
				down++
			}
			o.recordLosses(id, reasonEnded, before, now)
		}
	}
	if len(ended) > 0 {
		o.log.WithFields(logrus.Fields{
			"backends": len(ended), "hosts": ended[:min(len(ended), maxListedBackends)], "down": down, "predecessors": o.pool.PredecessorBackends(),
		}).Info("silent backend servers have ended")
	}
}
