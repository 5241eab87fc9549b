package basilwave

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"basilstage.example/basilstage/internal/basilmodel"
)

// maxControlCalls bounds how many calls to the platform's host control run at once.
const maxControlCalls = 16

// gather reads the state that the next plan is made from.
func (x *Executor) gather(ctx context.Context) (State, error) {
	if err := x.replica.Refresh(ctx); err != nil {
		return State{}, err
	}
	waves, err := x.waves.List(ctx)
	if err != nil {
		return State{}, err
	}
	out := x.watchOut(x.replica.Hosts(), time.Now())
	return State{
		Hosts:         x.replica.Hosts(),
		Configuration: x.replica.Configuration(),
		Waves:         waves,
		Facts:         x.ask(ctx, out),
	}, nil
}

// watchOut keeps a watch on the hosts that are out and forgets the others.
func (x *Executor) watchOut(hosts []basilmodel.Host, now time.Time) []basilmodel.Host {
	var out []basilmodel.Host
	watched := make(map[string]watch)
	for _, h := range hosts {
		if h.State() != basilmodel.HostStateLeaving && h.State() != basilmodel.HostStateMaintenance {
			continue
		}
		w := x.watched[h.ID()]
		if w.epoch != h.Epoch() {
			w = watch{epoch: h.Epoch(), since: now}
		}
		watched[h.ID()] = w
		out = append(out, h)
	}
	x.watched = watched
	return out
}

// ask gathers the facts on the hosts; what can't be learnt now counts as not so.
func (x *Executor) ask(ctx context.Context, hosts []basilmodel.Host) map[string]Facts {
	answers := make([]Facts, len(hosts))
	var group errgroup.Group
	group.SetLimit(maxControlCalls)
	for n, h := range hosts {
		w := x.watched[h.ID()]
		group.Go(func() error {
			answers[n] = x.facts(ctx, h, w)
			return nil
		})
	}
	_ = group.Wait() // the calls return no error
	facts := make(map[string]Facts, len(hosts))
	for n, h := range hosts {
		facts[h.ID()] = answers[n]
	}
	return facts
}

// facts asks whether the host is drained only once no entry host sends it work
// any more; before, an empty host proves nothing.
func (x *Executor) facts(ctx context.Context, h basilmodel.Host, w watch) Facts {
	f := Facts{Asked: w.asked}
	if h.State() == basilmodel.HostStateMaintenance {
		done, err := x.control.Rebooted(ctx, h.ID(), h.Epoch())
		f.Rebooted = err == nil && done
		return f
	}
	f.Quiet = time.Since(w.since) >= x.grace && x.acks.Applied(h)
	if f.Quiet {
		empty, err := x.control.Drained(ctx, h.ID())
		f.Drained = err == nil && empty
	}
	return f
}
