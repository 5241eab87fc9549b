package basilpeer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"basilstage.example/basilstage/internal/basilkeys"
)

var loopback = net.IPv4(127, 0, 0, 1)

// fakeHandler keeps what it is sent; zero functions accept everything.
type fakeHandler struct {
	requests atomic.Int64
	delta    func(from Peer, d Delta)
	request  func(ctx context.Context, from Peer, r Request) (Response, error)
}

func newFakeHandler() *fakeHandler { return &fakeHandler{} }

func (h *fakeHandler) Delta(from Peer, d Delta) {
	if h.delta != nil {
		h.delta(from, d)
	}
}

func (h *fakeHandler) Request(ctx context.Context, from Peer, r Request) (Response, error) {
	h.requests.Add(1)
	if h.request == nil {
		return Response{Body: append([]byte(from.ID+":"), r.Body...)}, nil
	}
	return h.request(ctx, from, r)
}

// fakeMember is one member of a mesh on loopback.
type fakeMember struct {
	*Mesh
	peer    Peer
	handler *fakeHandler
	stop    func()
}

// fakeMesh starts members that share one authority.
type fakeMesh struct {
	tb        testing.TB
	authority *basilkeys.Authority
}

func newFakeMesh(tb testing.TB) *fakeMesh {
	a, err := basilkeys.NewAuthority()
	must.NoError(tb, err)
	return &fakeMesh{tb: tb, authority: a}
}

func (f *fakeMesh) tls(id string) *tls.Config {
	c, err := f.authority.TLS(id, loopback)
	must.NoError(f.tb, err)
	return c
}

// start runs one member; change, if any, edits its options first.
func (f *fakeMesh) start(id, dataCentre string, h *fakeHandler, change func(*Options)) *fakeMember {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: loopback})
	must.NoError(f.tb, err)
	p := Peer{ID: id, DataCentre: dataCentre, Address: c.LocalAddr().String()}
	o := Options{Self: p, Incarnation: id + "-first", TLS: f.tls(id), Handler: h, Conn: c}
	if change != nil {
		change(&o)
	}
	m := &fakeMember{Mesh: NewMesh(o), peer: p, handler: h}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- m.Serve(ctx) }()
	m.stop = func() {
		cancel()
		must.NoError(f.tb, <-served)
		served <- nil
	}
	f.tb.Cleanup(m.stop)
	await(f.tb, m.serving)
	return m
}

func (m *fakeMember) serving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ctx != nil
}

// startAll runs a whole mesh of members, three to a data centre, and waits until all are linked.
func (f *fakeMesh) startAll(count int, newHandler func() *fakeHandler) []*fakeMember {
	members := make([]*fakeMember, count)
	peers := make([]Peer, count)
	for i := range members {
		members[i] = f.start(fmt.Sprintf("entry-%02d", i), fmt.Sprintf("dc-%02d", i/3), newHandler(), nil)
		peers[i] = members[i].peer
	}
	for _, m := range members {
		m.SetPeers(peers)
	}
	for _, m := range members {
		awaitConnected(f.tb, m, count-1)
	}
	return members
}

// join makes two members know each other and waits until both say so.
func join(tb testing.TB, a, b *fakeMember) {
	a.SetPeers([]Peer{b.peer})
	b.SetPeers([]Peer{a.peer})
	awaitConnected(tb, a, 1)
	awaitConnected(tb, b, 1)
}

func awaitConnected(tb testing.TB, m *fakeMember, want int) {
	tb.Helper()
	await(tb, func() bool { return connected(m) == want })
}

func connected(m *fakeMember) int {
	count := 0
	for _, s := range m.Status() {
		if s.Connected {
			count++
		}
	}
	return count
}

// await polls until the condition holds.
func await(tb testing.TB, condition func() bool) {
	tb.Helper()
	must.Wait(tb, wait.InitialSuccess(wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond), wait.BoolFunc(condition)))
}

// replaceFiles copies all files over those of the same names.
func replaceFiles(t *testing.T, from, to string) {
	files, err := filepath.Glob(filepath.Join(from, "*"))
	must.NoError(t, err)
	for _, f := range files {
		b, err := os.ReadFile(f)
		must.NoError(t, err)
		must.NoError(t, os.WriteFile(filepath.Join(to, filepath.Base(f)), b, 0o600))
	}
}
