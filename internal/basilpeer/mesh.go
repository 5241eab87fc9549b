package basilpeer

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/netip"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
)

// protocolName is what both sides of a connection must speak.
const protocolName = "basilstage-peer/1"

// maxRemoved is how many dropped peers are remembered.
const maxRemoved = 1024

// Peer is one entry host as another one knows it.
type Peer struct {
	ID         string
	DataCentre string
	Address    string // IP:port (UDP)
}

// Handler takes what other entry hosts send. Calls come from many goroutines.
type Handler interface {
	// Delta takes what is new at a peer, in the order of its sending; it must not block.
	Delta(from Peer, d Delta)
	// Request handles a request; the context ends when the asker gives up or the
	// connection is lost. ErrRequestRefused says that it had no effect.
	Request(ctx context.Context, from Peer, r Request) (Response, error)
}

// Options tell a Mesh who it is and whom it serves.
type Options struct {
	Self        Peer
	Incarnation string      // fresh at each start of the process
	TLS         *tls.Config // for both roles, as from basilkeys.LoadTLS
	Handler     Handler
	Logger      logrus.FieldLogger     // none: nothing is logged
	Conn        net.PacketConn         // to use in place of listening on the own address
	Gate        func(peer string) bool // while false for a peer, no packet passes; for tests
}

// Mesh holds the links to all other entry hosts.
type Mesh struct {
	options   Options
	log       logrus.FieldLogger
	gate      *gate
	transport *quic.Transport
	group     sync.WaitGroup
	size      atomic.Int64 // count of links

	mu      sync.Mutex
	ctx     context.Context // of Serve; nil before it and after its end
	links   map[string]*link
	removed *lru.Cache[string, string] // incarnations that SetPeers dropped, by id
	state   Delta                      // the sender's own state, which heartbeats repeat
}

// NewMesh returns a mesh that is idle until Serve.
func NewMesh(o Options) *Mesh {
	removed, err := lru.New[string, string](maxRemoved)
	if err != nil {
		panic(err)
	}
	m := &Mesh{options: o, log: o.Logger, links: map[string]*link{}, removed: removed}
	if m.log == nil {
		m.log = basillog.Discard()
	}
	m.state.Incarnation = o.Incarnation
	return m
}

// Serve links to the peers until the context ends, then waits for all handlers to return.
func (m *Mesh) Serve(ctx context.Context) error {
	c, err := m.listen()
	if err != nil {
		return err
	}
	defer c.Close()
	m.transport = &quic.Transport{Conn: m.gated(c), StatelessResetKey: new(quic.StatelessResetKey)}
	if _, err := rand.Read(m.transport.StatelessResetKey[:]); err != nil {
		return errors.WithStack(err)
	}
	defer m.transport.Close()
	listener, err := m.transport.Listen(m.tls(), quicConfig())
	if err != nil {
		return errors.WithStack(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer m.stop(cancel)
	m.start(ctx)
	return m.accept(ctx, listener)
}

// SetPeers links to these peers and drops those that it no longer names.
func (m *Mesh) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := map[string]bool{m.options.Self.ID: true}
	for _, p := range peers {
		if p.ID == m.options.Self.ID {
			continue
		}
		named[p.ID] = true
		m.removed.Remove(p.ID)
		m.gate.name(p.Address, p.ID)
		m.know(p)
	}
	for id, l := range m.links {
		if !named[id] && l.isKnown() {
			m.removed.Add(id, l.close())
			delete(m.links, id)
		}
	}
	m.size.Store(int64(len(m.links)))
}

// Broadcast sends the delta to every peer, best effort; it never blocks.
func (m *Mesh) Broadcast(d Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d.Incarnation = m.options.Incarnation
	m.state = m.state.advance(d)
	for _, l := range m.links {
		l.queue.put(d)
	}
}

// Send sends entries, leaving hosts, loads and answers to one peer, best effort;
// the rest of the delta is what was last broadcast. It never blocks.
func (m *Mesh) Send(peer string, d Delta) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, found := m.links[peer]
	if !found {
		return
	}
	l.queue.put(m.state.with(d))
}

// Status returns what is known of every peer, by id.
func (m *Mesh) Status() []PeerStatus {
	m.mu.Lock()
	all := make([]PeerStatus, 0, len(m.links))
	for _, l := range m.links {
		all = append(all, l.status())
	}
	m.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Peer.ID < all[j].Peer.ID })
	return all
}

// with returns the state together with what the delta carries besides it.
func (d Delta) with(o Delta) Delta {
	d.Entries, d.Leaving, d.Load, d.Answers = o.Entries, o.Leaving, o.Load, o.Answers
	return d
}

func (m *Mesh) listen() (net.PacketConn, error) {
	if m.options.Conn != nil {
		return m.options.Conn, nil
	}
	a, err := udpAddress(m.options.Self.Address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", a)
	return c, errors.WithStack(err)
}

func (m *Mesh) gated(c net.PacketConn) net.PacketConn {
	if m.options.Gate == nil {
		return c
	}
	g := newGate(c, m.options.Gate)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate = g
	for id, l := range m.links {
		g.name(l.address(), id)
	}
	return g
}

func (m *Mesh) tls() *tls.Config {
	c := m.options.TLS.Clone()
	c.NextProtos = []string{protocolName}
	return c
}

// start dials the peers that were named before Serve.
func (m *Mesh) start(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ctx = ctx
	for _, l := range m.links {
		m.spawn(l.run)
	}
}

// stop closes all links and waits for their goroutines.
func (m *Mesh) stop(cancel func()) {
	cancel()
	m.mu.Lock()
	m.ctx = nil
	for _, l := range m.links {
		l.close()
	}
	m.mu.Unlock()
	m.group.Wait()
}

// spawn runs the function until the mesh stops; the caller holds the lock.
func (m *Mesh) spawn(f func(context.Context)) bool {
	ctx := m.ctx
	if ctx == nil {
		return false
	}
	m.group.Go(func() { f(ctx) })
	return true
}

// trySpawn is spawn for callers that don't hold the lock.
func (m *Mesh) trySpawn(f func(context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.spawn(f)
}

// know adds or updates a peer to dial; the caller holds the lock.
func (m *Mesh) know(p Peer) {
	l, found := m.links[p.ID]
	if !found {
		l = newLink(m, p)
		m.links[p.ID] = l
	}
	if l.know(p) {
		m.spawn(l.run)
	}
}

func (m *Mesh) accept(ctx context.Context, listener *quic.Listener) error {
	for {
		c, err := listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
		m.trySpawn(func(ctx context.Context) { m.welcome(ctx, c) })
	}
}

// welcome answers the hello of a peer that dialled and serves its connection.
func (m *Mesh) welcome(ctx context.Context, c *quic.Conn) {
	n, err := acceptConnection(ctx, m, c)
	if err != nil {
		refuse(c, err)
		m.log.WithError(err).WithField(basillog.FieldAddress, c.RemoteAddr().String()).Warn("peer refused")
		return
	}
	l, taken := m.linkFor(n)
	if !taken {
		refuse(c, ErrIdentityRefused{Got: n.peer.ID})
		return
	}
	l.serve(ctx, n)
	m.forget(l)
}

// admits tells whether the peer may link, which one that SetPeers dropped may not until it restarts.
func (m *Mesh) admits(n *connection) bool {
	incarnation, found := m.removed.Get(n.peer.ID)
	return !found || incarnation != n.incarnation
}

// linkFor gives the connection to the link of its peer, unless SetPeers dropped that peer meanwhile.
func (m *Mesh) linkFor(n *connection) (*link, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admits(n) {
		return nil, false
	}
	m.gate.name(n.conn.RemoteAddr().String(), n.peer.ID)
	l, found := m.links[n.peer.ID]
	if !found {
		l = newLink(m, n.peer)
		m.links[n.peer.ID] = l
		m.size.Store(int64(len(m.links)))
	}
	return l, l.adopt(n)
}

// forget drops the link of a peer that SetPeers never named once it has no connection.
func (m *Mesh) forget(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.id] == l && l.abandoned() {
		delete(m.links, l.id)
		m.size.Store(int64(len(m.links)))
	}
}

func (m *Mesh) ownState() Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

func (m *Mesh) link(peer string) (*link, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, found := m.links[peer]
	return l, found
}

func udpAddress(address string) (*net.UDPAddr, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.WithStack(ErrAddressInvalid{Address: address})
	}
	return net.UDPAddrFromAddrPort(a), nil
}

// Limits of a QUIC connection between entry hosts.
const (
	handshakeTimeout    = 3 * time.Second
	idleTimeout         = 10 * time.Second // heartbeats come more often
	maxRequestsPerPeer  = 256              // open at once
	maxStreamWindow     = 1 << 20          // bytes that a peer may send ahead on one stream
	maxConnectionWindow = 4 << 20          // and on one connection
	firstWindow         = 128 << 10        // before QUIC widens either
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxRequestsPerPeer,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     firstWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: firstWindow,
		MaxConnectionReceiveWindow:     maxConnectionWindow,
	}
}
