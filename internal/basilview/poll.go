package basilview

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilplatform"
)

// Timeouts of a single read, heartbeat and deregistration.
const (
	readTimeout      = 2 * time.Second
	heartbeatTimeout = 2 * time.Second
	leaveTimeout     = 2 * time.Second
)

// poll runs each poller in its own goroutine, so that a slow table or host list doesn't delay the others.
func (c *Control) poll(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { runPeriodically(ctx, trailPeriod, c.trailTrigger, c.pollTrail) })
	group.Go(func() { runPeriodically(ctx, memberPeriod, c.heartbeatTrigger, c.sendHeartbeat) })
	group.Go(func() { runPeriodically(ctx, memberPeriod, nil, c.pollMembers) })
	group.Go(func() { runPeriodically(ctx, listPeriodBase, nil, c.pollList) })
	group.Wait()
}

// runPeriodically calls f immediately, then after each period or when triggered. Each
// period is shortened at random by up to a fifth, so that the entry hosts' polls
// spread out.
func runPeriodically(ctx context.Context, period time.Duration, trigger <-chan struct{}, f func(context.Context)) {
	for {
		f(ctx)
		timer := time.NewTimer(period - time.Duration(rand.Int64N(int64(period)/5)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-trigger:
			timer.Stop()
		}
	}
}

func (c *Control) pollTrail(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v := c.View()
	if v.standing == StandingStarting {
		c.loadView(ctx)
		return
	}
	began := time.Now()
	entries, err := c.options.Trail.After(ctx, v.sequence, trailBatchSize)
	if err != nil {
		return
	}
	if len(entries) > 0 {
		c.post(entriesEvent{entries: entries})
		c.options.Learnt(entries)
	}
	if len(entries) < trailBatchSize {
		c.post(headEvent{readStart: began})
	} else {
		trigger(c.trailTrigger)
	}
}

// loadView reads the complete view. The trail's head is read first, so that every
// entry committed during the load is applied on top of the snapshot later.
func (c *Control) loadView(ctx context.Context) {
	began := time.Now()
	trail := c.options.Trail
	sequence, err := trail.Head(ctx)
	if err != nil {
		return
	}
	configuration, _, err := basilconfig.Current(ctx, trail.Table())
	if err != nil {
		return
	}
	hosts, err := c.options.Hosts.Hosts(ctx)
	if err != nil {
		return
	}
	c.post(snapshotEvent{Snapshot{Sequence: sequence, Configuration: configuration, Hosts: hosts}})
	c.post(headEvent{readStart: began})
}

func (c *Control) sendHeartbeat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if c.View().standing == StandingStarting {
		return
	}
	m := c.options.Member
	m.Applied = c.applied.Load()
	m.Revision = c.View().configuration.Revision()
	began := time.Now()
	err := c.registration.Heartbeat(ctx, m)
	c.post(heartbeatEvent{sentAfter: began, err: err})
}

func (c *Control) pollMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	members, err := c.registry.List(ctx)
	if err != nil {
		return
	}
	c.post(membersEvent{members: members})
}

// Listing is the result of one read of the platform's host list.
type Listing struct {
	Number int64 // sequence number of the read, from 1
	Hosts  []basilplatform.ListedHost
}

// Listing returns the newest read of the host list, or nil if there was none yet.
func (c *Control) Listing() *Listing { return c.listing.Load() }

// listPeriod returns the period between reads of a list of this length. It grows
// with the list to stay within the bandwidth limit of a node.
func listPeriod(hosts int) time.Duration {
	return listPeriodBase + time.Duration(hosts)*listPeriodPerHost
}

// pollList reads the host list if a read is due. Only its poller calls it.
func (c *Control) pollList(ctx context.Context) {
	if time.Now().Before(c.nextListRead) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listed, err := c.options.List.List(ctx)
	if err != nil {
		return
	}
	c.nextListRead = time.Now().Add(listPeriod(len(listed)))
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
		c.post(hostListEvent{leaving: leaving})
	}
}

// Leave ends the registration. It must be called after Run has returned.
func (c *Control) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	m := c.options.Member
	m.Applied = c.applied.Load()
	return c.registration.End(ctx, m)
}
