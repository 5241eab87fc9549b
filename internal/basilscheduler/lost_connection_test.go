package basilscheduler

import (
	"time"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playTryTimeout   = 200 * time.Millisecond // of a hold on which runs depend
	playTryInterval  = 250 * time.Millisecond
	playRenewalLimit = 1500 * time.Millisecond
)

// playConnection does what the connection of basilrunner does.
type playConnection struct {
	owner       *playOwner
	id, address string
	startedAt   int64
	lease       basilrunner.Lease
	acked       int64
	ackAnswered int64
	busy        bool
	watched     bool
	suspended   bool
	inherited   time.Time // until when leases of former owners may last
	attached    bool
	attachedAt  time.Time
	reachable   bool
	lost        bool
	firstMiss   time.Time
	misses      int
	heldAt      time.Time
}

func (o *playOwner) connect(b basilwork.Backend) {
	if o.connections[b.ID] != nil {
		return
	}
	c := &playConnection{owner: o, id: b.ID, address: b.Address, startedAt: b.StartedAt, reachable: true, inherited: o.PredecessorUntil(b.ID)}
	o.connections[b.ID] = c
	c.run()
}

// disconnect closes the connection to a backend server.
func (o *playOwner) disconnect(id string) {
	if c := o.connections[id]; c != nil && c.attached {
		o.earlier.Add(id, basilrunner.NewEarlier(c.startedAt, c.lease), o.play.now)
	}
	delete(o.connections, id)
}

func (c *playConnection) closed() bool {
	return !c.owner.alive || c.owner.deposed() || c.owner.connections[c.id] != c
}

// run holds the backend server when that is due.
func (c *playConnection) run() {
	p := c.owner.play
	if p.now.Before(c.owner.frozenUntil) {
		c.owner.thawed(c.run)
		return
	}
	if c.closed() {
		return
	}
	if !c.busy && !c.watched && c.attached && c.acked <= c.ackAnswered && c.firstMiss.IsZero() && p.now.Sub(c.heldAt) < 2*time.Second {
		p.after(20*time.Millisecond, c.run)
		return
	}
	order := basilwork.HoldOrder{Fence: c.owner.epoch}
	if c.attached && c.firstMiss.IsZero() && c.acked > c.ackAnswered {
		order.Acknowledged = c.acked
	}
	if c.lease.Known() && c.busy && !c.suspended && c.mayRenew() {
		order.Deadline = c.lease.Deadline(p.now, playMaxHold-300*time.Millisecond)
	}
	sent := p.now
	c.heldAt = sent
	timeout := playAnswerTimeout
	if c.busy && c.attached {
		timeout = playTryTimeout
	}
	p.call(c, "hold", timeout, func(l *playServer) playAnswer { return l.hold(order) }, func(a playAnswer, answered bool) {
		if c.closed() {
			return
		}
		pause := 60 * time.Millisecond
		switch {
		case !answered:
			c.miss()
			switch {
			case c.busy && c.attached:
				pause = max(pause, sent.Add(playTryInterval).Sub(p.now))
			case c.misses > 1:
				pause = 300 * time.Millisecond
			}
		case a.refusal == basilwork.RefusalGone:
			c.owner.lost(c, basilwork.LossReplaced)
		case a.refusal != basilwork.RefusalNone:
		default:
			c.ackAnswered = max(c.ackAnswered, order.Acknowledged)
			c.report(a.report, sent)
		}
		p.after(pause, c.run)
	})
}

// mayRenew reports whether orders may extend leases.
func (c *playConnection) mayRenew() bool {
	return c.firstMiss.IsZero() || c.owner.play.now.Sub(c.lease.LastAnswer()) < playRenewalLimit
}

func (c *playConnection) miss() {
	o, now := c.owner, c.owner.play.now
	if c.firstMiss.IsZero() {
		c.firstMiss = now
	}
	c.misses++
	if c.reachable && now.Sub(c.firstMiss) > 0 && (!c.lease.Known() || now.Sub(c.lease.LastAnswer()) > 1500*time.Millisecond) {
		c.reachable = false
		o.SetReachable(c.id, false)
		c.fallSilent()
	}
	if c.attached && now.After(c.expiry()) {
		o.lost(c, basilwork.LossExpired)
	}
}

// expiry returns when all runs have certainly ended.
func (c *playConnection) expiry() time.Time {
	expiry := c.lease.Expiry(playMaxHold)
	if longest := c.lease.LastExpiry(playMaxHold); !c.busy && longest.After(expiry) {
		expiry = longest
	}
	if c.inherited.After(expiry) {
		expiry = c.inherited
	}
	return expiry
}

func (c *playConnection) report(r basilwork.Report, sent time.Time) {
	o, now := c.owner, c.owner.play.now
	restarted := r.StartedAt > c.startedAt
	switch {
	case !c.attached:
		c.lease = o.earlier.Get(c.id).Lease(r.StartedAt)
	case restarted:
		c.lease = c.lease.Next()
	}
	if restarted {
		c.acked, c.ackAnswered = 0, 0
	}
	c.startedAt = max(c.startedAt, r.StartedAt)
	c.lease.RecordAnswer(r.Clock, now)
	first := !c.attached || restarted
	if first {
		c.attachedAt = now
	}
	if !c.reachable {
		o.SetReachable(c.id, true)
		o.heard(c.id)
	}
	c.attached, c.reachable, c.firstMiss, c.misses = true, true, time.Time{}, 0
	if restarted {
		o.play.trace("epoch %d sees that %s started again", o.epoch, c.id)
		o.Restarted(c.id, r, sent, now)
		o.forgetEnds(c.id)
	}
	o.incarnations[c.id] = r.StartedAt
	o.Report(c.id, r, sent, now)
	if first {
		o.Attached(c.id)
		o.heard(c.id)
	}
}
