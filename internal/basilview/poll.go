package basilview

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Time limits of one call of the pollers.
const (
	readLimit  = 2 * time.Second
	writeLimit = 2 * time.Second
	leaveLimit = 2 * time.Second
)

// poll runs the pollers; each has a goroutine, so that a slow table or list delays only itself.
func (c *Control) poll(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { every(ctx, trailPeriod, c.kickTrail, c.pollTrail) })
	group.Go(func() { every(ctx, memberPeriod, c.kickBeat, c.beat) })
	group.Go(func() { every(ctx, memberPeriod, nil, c.pollMembers) })
	group.Go(func() { every(ctx, listPeriodBase, nil, c.pollList) })
	group.Wait()
}

// every calls f at once and then each period, spread by up to a fifth, or when kicked.
func every(ctx context.Context, period time.Duration, kicked <-chan struct{}, f func(context.Context)) {
	for {
		f(ctx)
		timer := time.NewTimer(period - time.Duration(rand.Int64N(int64(period)/5)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-kicked:
			timer.Stop()
		}
	}
}

func (c *Control) pollTrail(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	v := c.View()
	if v.standing == StandingStarting {
		c.load(ctx)
		return
	}
	began := time.Now()
	entries, err := c.options.Trail.After(ctx, v.sequence, trailBatch)
	if err != nil {
		return
	}
	if len(entries) > 0 {
		c.post(entriesEvent{entries: entries})
		c.options.Learnt(entries)
	}
	if len(entries) < trailBatch {
		c.post(headEvent{at: began})
	} else {
		kick(c.kickTrail)
	}
}

// load reads the whole view; entries after the trail's place before the read are applied on top of it.
func (c *Control) load(ctx context.Context) {
	began := time.Now()
	t := c.options.Trail
	sequence, err := t.Head(ctx)
	if err != nil {
		return
	}
	configuration, _, err := basilconfig.Current(ctx, t.Table())
	if err != nil {
		return
	}
	hosts, err := c.options.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	c.post(snapshotEvent{Snapshot{Sequence: sequence, Configuration: configuration, Hosts: hosts}})
	c.post(headEvent{at: began})
}

func (c *Control) beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	if c.View().standing == StandingStarting {
		return
	}
	m := c.options.Member
	m.Applied = c.applied.Load()
	m.Revision = c.View().configuration.Revision()
	began := time.Now()
	err := c.registration.Beat(ctx, m)
	c.post(beatEvent{began: began, err: err})
}

func (c *Control) pollMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	members, err := c.registry.List(ctx)
	if err != nil {
		return
	}
	c.post(membersEvent{members: members})
}

// Listing is one read of the platform's host list.
type Listing struct {
	Number int64 // counts the reads
	Hosts  []basilplatform.ListedHost
}

// Listing returns the newest read of the host list, or nil before the first.
func (c *Control) Listing() *Listing { return c.listing.Load() }

// listPeriod grows with the list, so that reading it stays within a node's bytes.
func listPeriod(hosts int) time.Duration {
	return listPeriodBase + time.Duration(hosts)*listPeriodPerHost
}

// pollList reads the host list when it is due; only its poller calls it.
func (c *Control) pollList(ctx context.Context) {
	if time.Now().Before(c.listDue) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	listed, err := c.options.List.List(ctx)
	if err != nil {
		return
	}
	c.listDue = time.Now().Add(listPeriod(len(listed)))
	number := int64(1)
	if last := c.listing.Load(); last != nil {
		number = last.Number + 1
	}
	c.listing.Store(&Listing{Number: number, Hosts: listed})
	leaving := make(map[string]bool)
	for _, h := range listed {
		if h.Leaving {
			leaving[h.ID] = true
		}
	}
	if len(leaving) > 0 {
		c.post(listEvent{leaving: leaving})
	}
}

// Leave gives up the registration; call it after Run has returned.
func (c *Control) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	m := c.options.Member
	m.Applied = c.applied.Load()
	return c.registration.End(ctx, m)
}
