package basilpeer

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"basilstage.example/basilstage/internal/basilkeys"
	"basilstage.example/basilstage/internal/basillog"
)

// Codes that a connection is closed with.
const (
	closeGone     quic.ApplicationErrorCode = iota + 1 // the mesh stops or drops the peer
	closeRefused                                       // the other side is not who it should be
	closeDoubled                                       // another connection to the same peer is kept
	closeMistaken                                      // a message could not be read
)

// packetOverhead is the bytes of the IPv4 and UDP headers of each packet.
const packetOverhead = 28

// connection is one QUIC connection whose sides have told each other who they are.
//
// Its first stream carries the hellos and then deltas, both ways; each further
// one carries one request and its response.
type connection struct {
	conn        *quic.Conn
	control     *quic.Stream
	reader      *messageReader
	peer        Peer
	incarnation string
	dialler     string // the id of the side that dialled
	retired     chan struct{}
	counted     bool // its bytes are in the link's totals; under the link's lock
}

func newConnection(c *quic.Conn, s *quic.Stream, peer, dialler string) *connection {
	return &connection{
		conn: c, control: s, reader: newMessageReader(s),
		peer: Peer{ID: peer}, dialler: dialler, retired: make(chan struct{}),
	}
}

// openConnection says hello to a peer that this side dialled; it fails with ErrIdentityRefused.
func openConnection(ctx context.Context, m *Mesh, c *quic.Conn, want string) (*connection, error) {
	got, err := basilkeys.MemberID(c.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	if got != want {
		return nil, errors.WithStack(ErrIdentityRefused{Want: want, Got: got})
	}
	s, err := c.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	n := newConnection(c, s, got, m.options.Self.ID)
	if err := n.sayHello(m); err != nil {
		return nil, err
	}
	return n, n.hearHello(ctx)
}

// acceptConnection answers the hello of a peer that dialled; it fails with ErrIdentityRefused.
func acceptConnection(ctx context.Context, m *Mesh, c *quic.Conn) (*connection, error) {
	got, err := basilkeys.MemberID(c.ConnectionState().TLS)
	if err != nil {
		return nil, err
	}
	if got == m.options.Self.ID {
		return nil, errors.WithStack(ErrIdentityRefused{Got: got})
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	s, err := c.AcceptStream(ctx)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	n := newConnection(c, s, got, got)
	if err := n.hearHello(ctx); err != nil {
		return nil, err
	}
	if !m.admits(n) {
		return nil, errors.WithStack(ErrIdentityRefused{Got: got})
	}
	return n, n.sayHello(m)
}

func (n *connection) sayHello(m *Mesh) error {
	self := m.options.Self
	return n.write(hello{DataCentre: self.DataCentre, Address: self.Address, Incarnation: m.options.Incarnation})
}

// hearHello waits for the other side's hello until the context ends.
func (n *connection) hearHello(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { refuse(n.conn, ctx.Err()) })()
	var h hello
	if err := n.reader.next(maxHelloBytes, &h); err != nil {
		return err
	}
	n.peer.DataCentre, n.peer.Address, n.incarnation = h.DataCentre, h.Address, h.Incarnation
	return nil
}

// refuse closes a connection that never became one of a link.
func refuse(c *quic.Conn, err error) {
	_ = c.CloseWithError(closeRefused, errors.Cause(err).Error())
}

func (n *connection) close(code quic.ApplicationErrorCode) { _ = n.conn.CloseWithError(code, "") }

func (n *connection) lost() bool { return n.conn.Context().Err() != nil }

// retire ends deltas on the connection at once, and requests after they had time to end.
func (n *connection) retire() {
	close(n.retired)
	t := time.AfterFunc(retireDelay, func() { n.close(closeDoubled) })
	context.AfterFunc(n.conn.Context(), func() { t.Stop() })
}

func (n *connection) bytes() (in, out uint64) {
	s := n.conn.ConnectionStats()
	return s.BytesReceived + s.PacketsReceived*packetOverhead, s.BytesSent + s.PacketsSent*packetOverhead
}

// run serves the connection until it is lost and its requests have ended.
func (n *connection) run(ctx context.Context, l *link) {
	var group sync.WaitGroup
	group.Go(func() { n.readDeltas(l) })
	group.Go(func() { n.writeDeltas(l) })
	for {
		s, err := n.conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		group.Go(func() { n.serveRequest(ctx, l, s) })
	}
	n.close(closeGone)
	group.Wait()
}

// readDeltas hands deltas on until one can't be read or none comes in time.
func (n *connection) readDeltas(l *link) {
	for {
		var d Delta
		_ = n.control.SetReadDeadline(time.Now().Add(l.expected().unheardAfter))
		if err := n.reader.next(MaxDeltaBytes, &d); err != nil {
			n.mistaken(l, err)
			return
		}
		d.Incarnation = n.incarnation
		l.mesh.options.Handler.Delta(l.hear(), d)
	}
}

// mistaken closes the connection after a message that could not be read.
func (n *connection) mistaken(l *link, err error) {
	if n.lost() {
		return
	}
	l.mesh.log.WithError(err).WithField(basillog.FieldPeer, l.id).Warn("peer sent a message that can't be read")
	n.close(closeMistaken)
}

// writeDeltas sends what waits in the link's queue, and a heartbeat when nothing does.
func (n *connection) writeDeltas(l *link) {
	defer l.queue.signal()
	err := n.write(l.next())
	for err == nil {
		if !n.wait(flushGap, nil) || !n.wait(l.expected().heartbeatInterval, l.queue.wake) {
			return
		}
		err = n.write(l.next())
	}
	if n.lost() {
		return
	}
	l.mesh.log.WithError(err).WithField(basillog.FieldPeer, l.id).Warn("delta not sent")
	n.close(closeGone)
}

// wait returns after the time or when woken; false means that nothing more is to be written here.
func (n *connection) wait(d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.conn.Context().Done():
		return false
	case <-n.retired:
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}

func (n *connection) write(message any) error {
	b, err := cbor.Marshal(message)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(b) > MaxDeltaBytes {
		return errors.WithStack(ErrMessageTooLarge{Bytes: len(b), Limit: MaxDeltaBytes})
	}
	_, err = n.control.Write(b)
	return errors.WithStack(err)
}
