package basilpeer

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilkeys"
)

// deltaRecorder returns a handler and a query for the newest sequence it was told by a peer.
func deltaRecorder() (*fakeHandler, func() int64) {
	var sequence atomic.Int64
	h := &fakeHandler{delta: func(_ Peer, d Delta) {
		sequence.Store(max(sequence.Load(), d.Sequence))
	}}
	return h, sequence.Load
}

func TestBroadcast(t *testing.T) {
	received := make(chan Delta, 100)
	h := &fakeHandler{delta: func(from Peer, d Delta) {
		must.Eq(t, "a", from.ID)
		must.Eq(t, "fukuoka", from.DataCentre)
		if d.Sequence > 0 {
			received <- d
		}
	}}
	m := newFakeMesh(t)
	a := m.start("a", "fukuoka", &fakeHandler{}, nil)
	b := m.start("b", "kumamoto", h, nil)
	sent := Delta{
		Sequence: 7, Revision: 3, Entries: [][]byte{[]byte("entry")}, Answers: [][]byte{[]byte("answer")},
		Leaving: []LeavingHost{{Host: "h1", Epoch: 4}}, Load: []PoolLoad{{Pool: "p2", Slots: 5}},
		Ready: true, Stopping: true,
	}
	a.SetPeers([]Peer{b.peer})
	a.Broadcast(sent) // before the link stands
	want := sent
	want.Incarnation = "a-first"
	must.Eq(t, want, <-received)
	heartbeat := Delta{Sequence: 7, Revision: 3, Ready: true, Stopping: true, Incarnation: "a-first"}
	must.Eq(t, heartbeat, <-received)
	a.Send("b", Delta{Answers: [][]byte{[]byte("another")}})
	heartbeat.Answers = [][]byte{[]byte("another")}
	must.Eq(t, heartbeat, <-received)
}

func TestSlowPeerBlocksNoOther(t *testing.T) {
	release := make(chan struct{})
	var slowest atomic.Int64
	slow := &fakeHandler{delta: func(_ Peer, d Delta) {
		<-release
		slowest.Store(d.Sequence)
	}}
	quick, quickest := deltaRecorder()
	m := newFakeMesh(t)
	a := m.start("a", "fukuoka", &fakeHandler{}, nil)
	s := m.start("slow", "fukuoka", slow, nil)
	q := m.start("quick", "fukuoka", quick, nil)
	a.SetPeers([]Peer{s.peer, q.peer})
	awaitConnected(t, a, 2)
	entry := make([]byte, maxQueuedEntryBytes/2)
	for i := range int64(20) {
		a.Broadcast(Delta{Sequence: i + 1, Entries: [][]byte{entry}})
		await(t, func() bool { return quickest() == i+1 })
	}
	close(release)
	await(t, func() bool { return slowest.Load() == 20 })
}

// TestStrangers checks that nobody is linked to a member that can't prove to be it.
func TestStrangers(t *testing.T) {
	m, other := newFakeMesh(t), newFakeMesh(t)
	for _, c := range []struct {
		name   string
		proved string // who it is, by its certificate
		change func(o *Options)
	}{
		{"wrong authority", "", func(o *Options) { o.TLS = other.tls("b") }},
		{"certificate of another member", "c", func(o *Options) { o.TLS = m.tls("c") }},
		{"certificate of the dialling member", "", func(o *Options) { o.TLS = m.tls("a") }},
		{"certificate without a name", "", func(o *Options) { o.TLS = m.tls("") }},
		{"no certificate from the dialling side", "", func(o *Options) {
			o.TLS = o.TLS.Clone()
			o.TLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return new(tls.Certificate), nil }
			o.TLS.GetCertificate = nil
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &fakeHandler{delta: func(from Peer, _ Delta) { must.NotEq(t, "b", from.ID) }}
			a := m.start("a", "fukuoka", h, nil)
			b := m.start("b", "fukuoka", &fakeHandler{}, c.change)
			honest := m.start("honest", "fukuoka", &fakeHandler{}, nil)
			a.SetPeers([]Peer{b.peer, honest.peer})
			b.SetPeers([]Peer{a.peer})
			for range 3 {
				must.Error(t, dialOnce(a, "b"))
				must.Eq(t, c.proved != "", dialOnce(b, "a") == nil)
			}
			await(t, func() bool { _, linked := a.link(c.proved); return linked == (c.proved != "") })
			_, err := a.Ask(t.Context(), "b", Request{Kind: RequestKindSubmit})
			must.True(t, IsErrPeerUnreachable(err))
			await(t, func() bool {
				_, err = a.Ask(t.Context(), "honest", Request{Kind: RequestKindSubmit})
				return err == nil
			})
		})
	}
}

func dialOnce(m *fakeMember, peer string) error {
	l, _ := m.link(peer)
	return l.dial(context.Background())
}

// TestMistakenPeer checks that a member that breaks the protocol harms only its own link.
func TestMistakenPeer(t *testing.T) {
	encoded := func(message any) []byte {
		b, err := cbor.Marshal(message)
		must.NoError(t, err)
		return b
	}
	greeting := encoded(hello{Incarnation: "mistaken-first"})
	for _, c := range []struct {
		name    string
		control []byte
	}{
		{"garbage for a hello", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"hello too large", encoded(hello{Address: strings.Repeat("a", 2*maxHelloBytes)})},
		{"garbage for a delta", append(greeting, 0xff)},
		{"half a delta, then silence", append(greeting, 0xa1, 0x01)},
		{"delta too large", append(greeting, encoded(Delta{Entries: [][]byte{make([]byte, MaxDeltaBytes+1)}})...)},
		{"array that claims to be huge", append(greeting, 0xa1, 0x03, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newFakeMesh(t)
			a := m.start("a", "fukuoka", &fakeHandler{}, nil)
			b := m.start("b", "fukuoka", &fakeHandler{}, nil)
			join(t, a, b)
			conn := dialRaw(t, m.tls("mistaken"), a)
			s, err := conn.OpenStream()
			must.NoError(t, err)
			_, _ = s.Write(c.control)
			<-conn.Context().Done()
			_, err = b.Ask(t.Context(), "a", Request{Kind: RequestKindAnswer})
			must.NoError(t, err)
		})
	}
}

// TestOversizedRequest checks the limit at the side that reads.
func TestOversizedRequest(t *testing.T) {
	h := &fakeHandler{}
	m := newFakeMesh(t)
	a := m.start("a", "fukuoka", h, nil)
	conn := dialRaw(t, m.tls("raw"), a)
	control, err := conn.OpenStream()
	must.NoError(t, err)
	b, err := cbor.Marshal(hello{Incarnation: "raw-first"})
	must.NoError(t, err)
	_, err = control.Write(b)
	must.NoError(t, err)
	for _, request := range [][]byte{make([]byte, MaxRequestBytes+1), []byte("garbage"), nil} {
		s, err := conn.OpenStream()
		must.NoError(t, err)
		_ = sendWhole(s, request)
		var r Response
		must.NoError(t, decodeWhole(s, MaxResponseBytes, &r))
		must.Eq(t, ResponseCodeRefused, r.Code)
	}
	must.Eq(t, 0, h.requests.Load())
}

func dialRaw(t *testing.T, config *tls.Config, m *fakeMember) *quic.Conn {
	config.NextProtos = []string{protocolName}
	conn, err := quic.DialAddr(t.Context(), m.peer.Address, config, quicConfig())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseWithError(closeGone, "") })
	return conn
}

func TestCutAndHealedLink(t *testing.T) {
	var cut atomic.Bool
	h, newest := deltaRecorder()
	m := newFakeMesh(t)
	a := m.start("a", "fukuoka", &fakeHandler{}, func(o *Options) {
		o.Gate = func(peer string) bool { return peer != "b" || !cut.Load() }
	})
	b := m.start("b", "kumamoto", h, nil)
	c := m.start("c", "fukuoka", &fakeHandler{}, nil)
	a.SetPeers([]Peer{b.peer, c.peer})
	b.SetPeers([]Peer{a.peer})
	awaitConnected(t, a, 2)
	cut.Store(true)
	awaitConnected(t, a, 1)
	awaitConnected(t, b, 0)
	a.Broadcast(Delta{Sequence: 9})
	cut.Store(false)
	awaitConnected(t, a, 2)
	awaitConnected(t, b, 1)
	await(t, func() bool { return newest() == 9 })
}

// TestRestartedPeer checks that a new incarnation takes the place of one whose end went unnoticed.
func TestRestartedPeer(t *testing.T) {
	m := newFakeMesh(t)
	var frozen atomic.Bool
	a := m.start("a", "fukuoka", &fakeHandler{}, nil)
	first := m.start("b", "fukuoka", &fakeHandler{}, func(o *Options) {
		o.Gate = func(string) bool { return !frozen.Load() }
	})
	join(t, a, first)
	frozen.Store(true)
	second := m.start("b", "fukuoka", &fakeHandler{}, func(o *Options) { o.Incarnation = "b-second" })
	second.SetPeers([]Peer{a.peer})
	await(t, func() bool { s := a.Status(); return s[0].Connected && s[0].Incarnation == "b-second" })
	_, err := a.Ask(t.Context(), "b", Request{Kind: RequestKindAnswer})
	must.NoError(t, err)
	must.Eq(t, 1, second.handler.requests.Load())
}

func TestDroppedPeer(t *testing.T) {
	m := newFakeMesh(t)
	a := m.start("a", "fukuoka", &fakeHandler{}, nil)
	b := m.start("b", "fukuoka", &fakeHandler{}, nil)
	join(t, a, b)
	a.SetPeers(nil)
	awaitConnected(t, b, 0)
	must.SliceEmpty(t, a.Status())
	must.Error(t, dialOnce(b, "a"), must.Sprint("the same incarnation stays out"))
	a.SetPeers([]Peer{b.peer})
	awaitConnected(t, a, 1)
}

// TestUnknownPeer checks that a member that nobody was told of can link to one that it knows.
func TestUnknownPeer(t *testing.T) {
	m := newFakeMesh(t)
	a := m.start("a", "fukuoka", &fakeHandler{}, nil)
	cold := m.start("cold", "kumamoto", &fakeHandler{}, nil)
	cold.SetPeers([]Peer{a.peer})
	awaitConnected(t, a, 1)
	s := a.Status()[0]
	must.Eq(t, cold.peer, s.Peer)
	must.Eq(t, "cold-first", s.Incarnation)
	must.Positive(t, s.BytesIn)
	must.Positive(t, s.BytesOut)
	cold.stop()
	await(t, func() bool { return len(a.Status()) == 0 })
}

// TestDoubledConnection checks that both sides keep the same one of two connections.
func TestDoubledConnection(t *testing.T) {
	byA, byB := &connection{dialler: "a", incarnation: "first"}, &connection{dialler: "b", incarnation: "first"}
	later := &connection{dialler: "b", incarnation: "second"}
	for _, c := range []struct {
		name             string
		old, fresh, want *connection
	}{
		{"smaller id first", byA, byB, byA},
		{"larger id first", byB, byA, byA},
		{"same dialler again", byB, byB, byB},
		{"new incarnation", byA, later, later},
	} {
		t.Run(c.name, func(t *testing.T) {
			for self, peer := range map[string]string{"a": "b", "b": "a"} {
				l := &link{id: peer, mesh: &Mesh{options: Options{Self: Peer{ID: self}}}}
				kept, _ := l.choose(c.old, c.fresh)
				must.True(t, kept == c.want)
			}
		})
	}
}

// TestChangedKeys checks that a change of authority needs no restart.
func TestChangedKeys(t *testing.T) {
	directory, m := t.TempDir(), newFakeMesh(t)
	fromFiles := func(id string) func(*Options) {
		return func(o *Options) {
			c, err := basilkeys.LoadTLS(filepath.Join(directory, basilkeys.AuthorityFile),
				filepath.Join(directory, basilkeys.CertificateFile(id)), filepath.Join(directory, basilkeys.KeyFile(id)))
			must.NoError(t, err)
			o.TLS = c
		}
	}
	write := func() {
		fresh := t.TempDir()
		must.NoError(t, basilkeys.Make(fresh, []basilkeys.Member{{ID: "a", Addresses: []net.IP{loopback}}, {ID: "b", Addresses: []net.IP{loopback}}}))
		replaceFiles(t, fresh, directory)
	}
	write()
	a := m.start("a", "fukuoka", &fakeHandler{}, fromFiles("a"))
	b := m.start("b", "fukuoka", &fakeHandler{}, fromFiles("b"))
	join(t, a, b)
	before := a.snapshot()[0].connection()
	write()
	breakConnection(a)
	await(t, func() bool { n := a.snapshot()[0].connection(); return n != nil && n != before })
	awaitConnected(t, b, 1)
	old := m.start("old", "fukuoka", &fakeHandler{}, nil)
	old.SetPeers([]Peer{a.peer})
	must.Error(t, dialOnce(old, "a"))
}

// TestServeLeavesNothing checks that no goroutine of a mesh outlives Serve.
func TestServeLeavesNothing(t *testing.T) {
	silent, err := quic.ListenAddr("127.0.0.1:0", silentTLS(t), quicConfig())
	must.NoError(t, err)
	m := newFakeMesh(t)
	members := m.startAll(4, newFakeHandler)
	members[0].SetPeers([]Peer{members[1].peer, {ID: "silent", Address: silent.Addr().String()}, {ID: "nobody", Address: "127.0.0.1:1"}, {ID: "wrong", Address: "nowhere"}})
	for _, f := range members {
		f.stop()
	}
	must.NoError(t, silent.Close())
	await(t, func() bool {
		var b bytes.Buffer
		must.NoError(t, pprof.Lookup("goroutine").WriteTo(&b, 2))
		return !strings.Contains(b.String(), "basilpeer.(*") && !strings.Contains(b.String(), "quic-go.(*Transport)")
	})
}

func silentTLS(t *testing.T) *tls.Config {
	c := newFakeMesh(t).tls("silent")
	c.NextProtos = []string{protocolName}
	return c
}
