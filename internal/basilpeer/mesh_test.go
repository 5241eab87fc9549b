package basilpeer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"basilstage.example/basilstage/internal/basilkeys"
)

type recorder struct{ deltas chan Delta }

func (r recorder) Delta(_ Peer, d Delta) {
	select {
	case r.deltas <- d:
	default:
	}
}

func (r recorder) Request(_ context.Context, from Peer, q Request) (Response, error) {
	return Response{Body: append([]byte(from.ID+":"), q.Body...)}, nil
}

func TestSmoke(t *testing.T) {
	a, err := basilkeys.NewAuthority()
	must.NoError(t, err)
	var ms []*Mesh
	var ps []Peer
	var rs []recorder
	for _, id := range []string{"a", "b", "c"} {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		must.NoError(t, err)
		p := Peer{ID: id, DataCentre: "x", Address: c.LocalAddr().String()}
		ps = append(ps, p)
		tl, err := a.TLS(id, net.IPv4(127, 0, 0, 1))
		must.NoError(t, err)
		r := recorder{deltas: make(chan Delta, 100)}
		rs = append(rs, r)
		ms = append(ms, NewMesh(Options{Self: p, Incarnation: id + "1", TLS: tl, Handler: r, Conn: c}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 3)
	for _, m := range ms {
		m.SetPeers(ps)
		go func() { done <- m.Serve(ctx) }()
	}
	must.Wait(t, wait.InitialSuccess(wait.Timeout(5*time.Second), wait.BoolFunc(func() bool {
		for _, m := range ms {
			for _, s := range m.Status() {
				if !s.Connected {
					return false
				}
			}
		}
		return true
	})))
	r, err := ms[0].Ask(ctx, "c", Request{Kind: RequestKindState, Body: []byte("hi")})
	must.NoError(t, err)
	must.Eq(t, "a:hi", string(r.Body))
	ms[1].Broadcast(Delta{Sequence: 5, Ready: true})
	for d := range rs[0].deltas {
		if d.Sequence == 5 {
			must.Eq(t, "b1", d.Incarnation)
			break
		}
	}
	t.Log(ms[0].Status())
	cancel()
	for range ms {
		must.NoError(t, <-done)
	}
}
