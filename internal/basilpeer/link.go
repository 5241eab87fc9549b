package basilpeer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basillog"
)

// Times of dialling.
const (
	firstDialDelay = 100 * time.Millisecond // after a dial that failed or did not last, then growing
	maxDialDelay   = 3 * time.Second
	yieldDelay     = 300 * time.Millisecond // the larger id lets the smaller one dial first
	retireDelay    = 5 * time.Second        // a doubled connection ends its requests within it
)

// PeerStatus is what is known of one peer.
type PeerStatus struct {
	Peer        Peer
	Incarnation string
	Connected   bool
	HeardAge    time.Duration // since the last message; negative when there was none
	BytesIn     uint64        // on the wire, IP and UDP headers included
	BytesOut    uint64
}

// link is what ties this entry host to one peer, through one connection at a time.
type link struct {
	mesh  *Mesh
	id    string
	queue *deltaQueue

	mu      sync.Mutex
	peer    Peer
	known   bool // named by SetPeers: dialled
	closed  bool
	current *connection
	ended   chan struct{} // closed with the link
	arrived chan struct{} // signals a connection that the peer dialled
	heard   time.Time

	incarnation string // that the peer last showed

	lastIn  uint64 // bytes of ended connections
	lastOut uint64
}

// newLink returns a link to a peer that is not dialled yet; the caller holds the mesh's lock.
func newLink(m *Mesh, p Peer) *link {
	l := &link{
		mesh: m, id: p.ID, peer: p, queue: newDeltaQueue(),
		ended: make(chan struct{}), arrived: make(chan struct{}, 1),
	}
	l.queue.put(m.state)
	return l
}

// know makes the peer one to dial; it returns false when it was one before.
func (l *link) know(p Peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.known
	l.peer, l.known = p, true
	return !before
}

func (l *link) isKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer.Address
}

func (l *link) abandoned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.known && (l.current == nil || l.current.lost())
}

// close ends the link and returns the incarnation that it was last connected to, or "".
func (l *link) close() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.ended)
	}
	if l.current != nil {
		l.current.close(closeGone)
	}
	return l.incarnation
}

// run keeps the link connected until the context or the link ends.
func (l *link) run(ctx context.Context) {
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     firstDialDelay,
		RandomizationFactor: 0.5,
		Multiplier:          2,
		MaxInterval:         maxDialDelay,
	}
	delays.Reset()
	for l.awaitLoss(ctx) {
		if l.mesh.options.Self.ID > l.id && l.pause(ctx, jittered(yieldDelay)) {
			continue
		}
		begun := time.Now()
		err := l.dial(ctx)
		if err != nil {
			l.mesh.log.WithError(err).WithField(basillog.FieldPeer, l.id).Debug("peer not reached")
		} else if l.awaitLoss(ctx) && time.Since(begun) > maxDialDelay {
			delays.Reset()
			continue
		}
		l.pause(ctx, delays.NextBackOff())
	}
}

// awaitLoss waits while a connection stands; it returns false when the link is to end.
func (l *link) awaitLoss(ctx context.Context) bool {
	for {
		n := l.connection()
		if n == nil {
			break
		}
		select {
		case <-n.conn.Context().Done():
			l.drop(n)
		case <-l.arrived:
		case <-l.ended:
		case <-ctx.Done():
		}
		if l.over(ctx) {
			return false
		}
	}
	return !l.over(ctx)
}

func (l *link) over(ctx context.Context) bool {
	select {
	case <-l.ended:
		return true
	default:
		return ctx.Err() != nil
	}
}

// pause waits, and returns true at once when the peer's own dial arrives.
func (l *link) pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.arrived:
		return true
	case <-t.C:
	case <-l.ended:
	case <-ctx.Done():
	}
	return false
}

func (l *link) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	a, err := udpAddress(l.address())
	if err != nil {
		return err
	}
	c, err := l.mesh.transport.Dial(ctx, a, l.mesh.tls(), quicConfig())
	if err != nil {
		return errors.WithStack(err)
	}
	n, err := openConnection(ctx, l.mesh, c, l.id)
	if err != nil {
		refuse(c, err)
		return err
	}
	if !l.adopt(n) || !l.mesh.trySpawn(func(ctx context.Context) { l.serve(ctx, n) }) {
		n.close(closeGone)
	}
	return nil
}

// serve reads and writes on an adopted connection until it is lost.
func (l *link) serve(ctx context.Context, n *connection) {
	l.mesh.log.WithField(basillog.FieldPeer, l.id).WithField(basillog.FieldIncarnation, n.incarnation).Info("peer connected")
	n.run(ctx, l)
	l.drop(n)
	l.mesh.log.WithField(basillog.FieldPeer, l.id).WithError(context.Cause(n.conn.Context())).Info("peer connection ended")
}

// adopt makes the connection the link's current one, or retires it; it returns false when the link has ended.
func (l *link) adopt(n *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	old := l.current
	if old == nil || old.lost() {
		l.take(n)
		return true
	}
	kept, loser := l.choose(old, n)
	l.take(kept)
	loser.retire()
	return true
}

// choose tells which of two connections to one peer is kept; both sides choose the same.
func (l *link) choose(old, fresh *connection) (kept, loser *connection) {
	if old.incarnation != fresh.incarnation || old.dialler == fresh.dialler {
		return fresh, old
	}
	if fresh.dialler == min(l.id, l.mesh.options.Self.ID) {
		return fresh, old
	}
	return old, fresh
}

// take makes the connection current; the caller holds the lock.
func (l *link) take(n *connection) {
	if l.current == n {
		return
	}
	l.current = n
	l.incarnation = n.incarnation
	l.heard = time.Now()
	select {
	case l.arrived <- struct{}{}:
	default:
	}
}

// drop counts the ended connection's bytes and takes it out of use.
func (l *link) drop(n *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !n.counted {
		n.counted = true
		in, out := n.bytes()
		l.lastIn += in
		l.lastOut += out
	}
	if l.current == n {
		l.current = nil
	}
}

func (l *link) connection() *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// usable returns the connection if the peer was heard on it lately.
func (l *link) usable() (*connection, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.alive()
}

// alive tells whether the peer counts as connected; the caller holds the lock.
func (l *link) alive() bool {
	return l.current != nil && !l.current.lost() && time.Since(l.heard) < l.liveness().unheardAfter
}

// next returns what to send now: what waits, or else a heartbeat.
func (l *link) next() Delta {
	d, filled := l.queue.take()
	if !filled {
		d = l.mesh.ownState()
	}
	d.Incarnation = "" // the hello has told it
	return d
}

// expected is liveness for callers that don't hold the lock.
func (l *link) expected() liveness {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveness()
}

// liveness tells how often the peer is to be heard; the caller holds the lock.
func (l *link) liveness() liveness {
	near := l.peer.DataCentre == l.mesh.options.Self.DataCentre
	return livenessFor(near, int(l.mesh.size.Load()))
}

func (l *link) hear() Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	return l.peer
}

func (l *link) status() PeerStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := PeerStatus{Peer: l.peer, Incarnation: l.incarnation, Connected: l.alive(), HeardAge: -1, BytesIn: l.lastIn, BytesOut: l.lastOut}
	if !l.heard.IsZero() {
		s.HeardAge = time.Since(l.heard)
	}
	if n := l.current; n != nil && !n.counted {
		in, out := n.bytes()
		s.BytesIn += in
		s.BytesOut += out
	}
	return s
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }
