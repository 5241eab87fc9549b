package basilwave

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"basilstage.example/basilstage/internal/basilmodel"
)

// maxControlCalls limits the concurrent calls to the platform's host control.
const maxControlCalls = 16

// gather reads the state for the next plan.
func (x *Executor) gather(ctx context.Context) (State, error) {
	if err := x.replica.Refresh(ctx); err != nil {
		return State{}, err
	}
	waves, err := x.waves.List(ctx)
	if err != nil {
		return State{}, err
	}
	out := x.trackOutOfService(x.replica.Hosts(), time.Now())
	return State{
		Hosts:         x.replica.Hosts(),
		Configuration: x.replica.Configuration(),
		Waves:         waves,
		Facts:         x.queryFacts(ctx, out),
	}, nil
}

// trackOutOfService returns the hosts that are leaving or in maintenance, and updates
// the tracked hosts to just these at their current epochs.
func (x *Executor) trackOutOfService(hosts []basilmodel.Host, now time.Time) []basilmodel.Host {
	var out []basilmodel.Host
	tracked := make(map[string]trackedHost)
	for _, h := range hosts {
		if h.State() != basilmodel.HostStateLeaving && h.State() != basilmodel.HostStateMaintenance {
			continue
		}
		t := x.tracked[h.ID()]
		if t.epoch != h.Epoch() {
			t = trackedHost{epoch: h.Epoch(), since: now}
		}
		tracked[h.ID()] = t
		out = append(out, h)
	}
	x.tracked = tracked
	return out
}

// queryFacts queries the facts of all hosts concurrently. A fact whose query fails is false.
func (x *Executor) queryFacts(ctx context.Context, hosts []basilmodel.Host) map[string]Facts {
	results := make([]Facts, len(hosts))
	var group errgroup.Group
	group.SetLimit(maxControlCalls)
	for n, h := range hosts {
		t := x.tracked[h.ID()]
		group.Go(func() error {
			results[n] = x.hostFacts(ctx, h, t)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	facts := make(map[string]Facts, len(hosts))
	for n, h := range hosts {
		facts[h.ID()] = results[n]
	}
	return facts
}

// hostFacts queries the facts of one host.
//
// It asks whether a leaving host is drained only once no entry host sends it work:
// before that, an empty host may still receive new work.
func (x *Executor) hostFacts(ctx context.Context, h basilmodel.Host, t trackedHost) Facts {
	f := Facts{RebootRequested: t.rebootRequested}
	if h.State() == basilmodel.HostStateMaintenance {
		done, err := x.control.Rebooted(ctx, h.ID(), h.Epoch())
		f.Rebooted = err == nil && done
		return f
	}
	f.NoNewWork = time.Since(t.since) >= x.grace && x.acks.Applied(h)
	if f.NoNewWork {
		empty, err := x.control.Drained(ctx, h.ID())
		f.Drained = err == nil && empty
	}
	return f
}
