package basilview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
)

// HostSource reads all hosts from the table.
type HostSource interface {
	Hosts(ctx context.Context) ([]basilmodel.Host, error)
}

// Options sets up a Control.
type Options struct {
	Member  MemberRecord // id, data centre, incarnation and addresses
	Trail   *basilaudit.Trail
	Hosts   HostSource
	List    basilplatform.HostList
	Publish func(v *View)                    // called by the control loop when traffic has to act on a new view
	Learnt  func(entries []basilaudit.Entry) // called by the poller with changes that it read
}

// Control owns the control state of one entry host.
type Control struct {
	options      Options
	registry     *Registry
	registration *Registration
	events       chan event
	view         atomic.Pointer[View]
	ticked       atomic.Int64 // nanoseconds since started
	started      time.Time
	applied      atomic.Int64 // what the next heartbeat reports
	listing      atomic.Pointer[Listing]
	listDue      time.Time // only the list's poller touches it
	published    mark      // of the view published last; only the loop touches it
	kickTrail    chan struct{}
	kickBeat     chan struct{}
}

// NewControl returns a control that serves nothing until Run loads a view.
func NewControl(o Options) *Control {
	r := NewRegistry(o.Trail.Table())
	c := &Control{
		options:      o,
		registry:     r,
		registration: NewRegistration(r, o.Member.ID, o.Member.Incarnation),
		events:       make(chan event, eventQueue),
		started:      time.Now(),
		kickTrail:    make(chan struct{}, 1),
		kickBeat:     make(chan struct{}, 1),
	}
	c.view.Store(newState(o.Member.DataCentre).view(c.started))
	return c
}

// View returns the newest view.
func (c *Control) View() *View { return c.view.Load() }

// Incarnation returns the id of this process.
func (c *Control) Incarnation() ulid.ULID { return c.options.Member.Incarnation }

// Registry returns the member registry.
func (c *Control) Registry() *Registry { return c.registry }

// Check fails with ErrStale unless traffic may act on the view now.
//
// It reads the clock anew, so that a process that was frozen finds out before it sends.
func (c *Control) Check(now time.Time) error {
	v := c.View()
	age := now.Sub(c.started) - time.Duration(c.ticked.Load())
	serving := v.standing == StandingMember || v.standing == StandingSponsored
	if serving && age <= tickLimit {
		return nil
	}
	return errors.WithStack(ErrStale{Standing: v.standing, Age: age})
}

// Run runs the control loop and its pollers until the context ends.
//
// It fails with ErrFenced when another incarnation has taken the member's place;
// this one then never serves again.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.poll(ctx)
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

// step applies one event and those that wait behind it, then publishes.
func (c *Control) step(s *state, e event) { c.stepAt(s, e, time.Now()) }

func (c *Control) stepAt(s *state, e event, now time.Time) {
	tickEvent{}.apply(s, now) // first of all: a process that was frozen finds out before it acts on anything
	e.apply(s, now)
	for range len(c.events) {
		(<-c.events).apply(s, now)
	}
	v := s.view(now)
	c.view.Store(v)
	c.ticked.Store(int64(now.Sub(c.started)))
	if m := s.mark(v, now); m != c.published {
		c.published = m
		c.options.Publish(v)
	}
	c.applied.Store(s.applied())
	if s.asked {
		s.asked = false
		kick(c.kickBeat)
	}
	if s.gap {
		kick(c.kickTrail)
	}
}

// Entries tells the control loop of changes that were committed here or heard from a peer.
func (c *Control) Entries(entries []basilaudit.Entry) { c.post(entriesEvent{entries: entries}) }

// Snapshot tells the control loop of a peer's view, for a cold start without the table.
func (c *Control) Snapshot(s Snapshot) { c.post(snapshotEvent{snapshot: s}) }

// Leaving tells the control loop that a host was seen leaving.
func (c *Control) Leaving(host string, epoch int64) { c.post(leavingEvent{host: host, epoch: epoch}) }

// Sponsored tells the control loop that a member sponsors this entry host, by a request sent at the time.
func (c *Control) Sponsored(by string, at time.Time) { c.post(sponsorEvent{sponsor: by, at: at}) }

// Sponsor tells the control loop what an entry host that it sponsors has applied.
func (c *Control) Sponsor(incarnation string, applied int64) {
	c.post(sponsoredEvent{incarnation: incarnation, applied: applied, at: time.Now()})
}

// Behind asks for a read of the trail at once.
func (c *Control) Behind() { kick(c.kickTrail) }

func (c *Control) post(e event) {
	select {
	case c.events <- e:
	default: // the pollers bring what is dropped here
		kick(c.kickTrail)
	}
}

func kick(k chan struct{}) {
	select {
	case k <- struct{}{}:
	default:
	}
}
