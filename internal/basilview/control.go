package basilview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// HostSource reads the records of all hosts from the table.
type HostSource interface {
	Hosts(ctx context.Context) ([]basilmodel.Host, error)
}

// Options configures a Control.
type Options struct {
	Member  MemberRecord // ID, data centre, incarnation and addresses of this entry host
	Trail   *basilaudit.Trail
	Hosts   HostSource
	List    basilplatform.HostList
	Publish func(v *View)                    // called by the control loop when a new view affects how requests are handled
	Learnt  func(entries []basilaudit.Entry) // called by the trail poller with the new entries that it read
}

// Control runs the control loop of one entry host and holds its newest view.
type Control struct {
	options          Options
	registry         *Registry
	registration     *Registration
	events           chan event
	view             atomic.Pointer[View]
	lastTick         atomic.Int64 // time of the loop's last tick, in nanoseconds since started
	started          time.Time
	applied          atomic.Int64 // audit sequence that the next heartbeat reports
	listing          atomic.Pointer[Listing]
	nextListRead     time.Time  // accessed only by the host list poller
	lastPublished    publishKey // key of the last published view; accessed only by the control loop
	trailTrigger     chan struct{}
	heartbeatTrigger chan struct{}
}

// NewControl returns a Control whose Check fails until Run has loaded a view and
// the membership is confirmed or sponsored.
func NewControl(options Options) *Control {
	registry := NewRegistry(options.Trail.Table())
	c := &Control{
		options:          options,
		registry:         registry,
		registration:     NewRegistration(registry, options.Member.ID, options.Member.Incarnation),
		events:           make(chan event, eventQueueSize),
		started:          time.Now(),
		trailTrigger:     make(chan struct{}, 1),
		heartbeatTrigger: make(chan struct{}, 1),
	}
	c.view.Store(newState(options.Member.DataCentre).view(c.started))
	return c
}

// View returns the newest view.
func (c *Control) View() *View { return c.view.Load() }

// Incarnation returns the ID of this process.
func (c *Control) Incarnation() ulid.ULID { return c.options.Member.Incarnation }

// Registry returns the member registry.
func (c *Control) Registry() *Registry { return c.registry }

// Check returns ErrStale unless requests may be handled with the current view at the given time.
//
// It compares that time with the control loop's last tick, so that a process
// that was frozen notices before it sends anything.
func (c *Control) Check(now time.Time) error {
	v := c.View()
	age := now.Sub(c.started) - time.Duration(c.lastTick.Load())
	serving := v.standing == StandingMember || v.standing == StandingSponsored
	if serving && age <= tickAgeLimit {
		return nil
	}
	return errors.WithStack(ErrStale{Standing: v.standing, Age: age})
}

// Run runs the control loop and its pollers until the context is done, and returns when the pollers have ended.
//
// It returns ErrFenced if another incarnation has replaced this one, which then
// never serves again.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var pollers sync.WaitGroup
	pollers.Go(func() { c.poll(ctx) })
	defer pollers.Wait() // a heartbeat may be under way, which Leave must not meet
	defer cancel()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	s := newState(c.options.Member.DataCentre)
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-c.events:
			c.step(s, e)
		case <-ticker.C:
			c.step(s, tickEvent{})
		}
		if s.fenced {
			return errors.WithStack(ErrFenced{Member: c.options.Member.ID})
		}
	}
}

// step applies the event and all queued ones, then stores the resulting view.
func (c *Control) step(s *state, e event) { c.stepAt(s, e, time.Now()) }

func (c *Control) stepAt(s *state, e event, now time.Time) {
	tickEvent{}.apply(s, now) // first, so that a process that was frozen notices before it applies any event
	e.apply(s, now)
	for range len(c.events) {
		(<-c.events).apply(s, now)
	}
	v := s.view(now)
	c.view.Store(v)
	c.lastTick.Store(int64(now.Sub(c.started)))
	if m := s.publishKey(v, now); m != c.lastPublished {
		c.lastPublished = m
		c.options.Publish(v)
	}
	c.applied.Store(s.applied())
	if s.heartbeatDue {
		s.heartbeatDue = false
		trigger(c.heartbeatTrigger)
	}
	if s.gap {
		trigger(c.trailTrigger)
	}
}

// Entries passes audit entries that were committed here or received from a peer to the control loop.
func (c *Control) Entries(entries []basilaudit.Entry) { c.post(entriesEvent{entries: entries}) }

// Snapshot passes a peer's view to the control loop, for a cold start while the table is unavailable.
func (c *Control) Snapshot(s Snapshot) { c.post(snapshotEvent{snapshot: s}) }

// Leaving tells the control loop that a host was seen leaving at the given epoch.
func (c *Control) Leaving(host string, epoch int64) { c.post(leavingEvent{host: host, epoch: epoch}) }

// Sponsored tells the control loop that a member sponsors this entry host, which
// sent its request for sponsorship at the given time.
func (c *Control) Sponsored(by string, at time.Time) { c.post(sponsorEvent{sponsor: by, at: at}) }

// Sponsor tells the control loop which audit sequence an entry host that this one sponsors has applied.
func (c *Control) Sponsor(incarnation string, applied int64) {
	c.post(sponsoredEvent{incarnation: incarnation, applied: applied, at: time.Now()})
}

// Behind triggers an immediate read of the audit trail.
func (c *Control) Behind() { trigger(c.trailTrigger) }

func (c *Control) post(e event) {
	select {
	case c.events <- e:
	default: // the queue is full; the pollers read again what is dropped here
		trigger(c.trailTrigger)
	}
}

func trigger(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
