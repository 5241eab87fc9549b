package basilpeer

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// askFault is one way in which a request between two members goes wrong.
type askFault struct {
	name    string
	request Request
	prepare func(t *testing.T, f *askFixture)
	handle  func(ctx context.Context, f *askFixture) (Response, error)
	want    func(error) bool
	handled int64 // how often the handler must have been called
}

type askFixture struct {
	asker, server *fakeMember
	cut           atomic.Bool
	cancel        func() // of the asker's context
}

var askFaults = []askFault{
	{
		name: "no fault", want: func(err error) bool { return err == nil }, handled: 1,
	},
	{
		name: "peer is not known", want: IsErrPeerUnreachable,
		prepare: func(_ *testing.T, f *askFixture) { f.asker.SetPeers(nil) },
	},
	{
		name: "peer was never up", want: IsErrPeerUnreachable,
		prepare: func(_ *testing.T, f *askFixture) {
			f.asker.SetPeers(nil)
			f.asker.SetPeers([]Peer{{ID: f.server.peer.ID, Address: "127.0.0.1:1"}})
		},
	},
	{
		name: "peer stopped before the request", want: IsErrPeerUnreachable,
		prepare: func(t *testing.T, f *askFixture) {
			f.server.stop()
			awaitConnected(t, f.asker, 0)
		},
	},
	{
		name: "asker gave up before the request", want: IsErrPeerUnreachable,
		prepare: func(_ *testing.T, f *askFixture) { f.cancel() },
	},
	{
		name: "link cut before the request, unnoticed", want: IsErrAnswerLost,
		prepare: func(_ *testing.T, f *askFixture) {
			f.cut.Store(true)
			time.AfterFunc(100*time.Millisecond, f.cancel)
		},
	},
	{
		name: "link cut before the request, noticed", want: IsErrPeerUnreachable,
		prepare: func(t *testing.T, f *askFixture) {
			f.cut.Store(true)
			awaitConnected(t, f.asker, 0)
		},
	},
	{
		name: "peer stops while it handles", want: IsErrAnswerLost, handled: 1,
		handle: func(ctx context.Context, f *askFixture) (Response, error) {
			go f.server.stop()
			<-ctx.Done()
			for connected(f.asker) > 0 {
				runtime.Gosched()
			}
			return Response{}, nil
		},
	},
	{
		name: "link cut after handling, before the answer", want: IsErrAnswerLost, handled: 1,
		handle: func(_ context.Context, f *askFixture) (Response, error) {
			f.cut.Store(true)
			time.AfterFunc(100*time.Millisecond, f.cancel)
			return Response{}, nil
		},
	},
	{
		name: "asker gives up while the peer handles", want: IsErrAnswerLost, handled: 1,
		handle: func(ctx context.Context, f *askFixture) (Response, error) {
			f.cancel()
			<-ctx.Done()
			return Response{}, nil
		},
	},
	{
		name: "handler refuses", want: IsErrRequestRefused, handled: 1,
		handle: func(context.Context, *askFixture) (Response, error) {
			return Response{}, errors.WithStack(ErrRequestRefused{Detail: "stopping"})
		},
	},
	{
		name: "handler fails", want: IsErrRequestFailed, handled: 1,
		handle: func(context.Context, *askFixture) (Response, error) { return Response{}, context.DeadlineExceeded },
	},
	{
		name: "answer too large", want: IsErrRequestFailed, handled: 1,
		handle: func(context.Context, *askFixture) (Response, error) {
			return Response{Body: make([]byte, MaxResponseBytes+1)}, nil
		},
	},
	{
		name: "largest answer", want: func(err error) bool { return err == nil }, handled: 1,
		handle: func(context.Context, *askFixture) (Response, error) {
			return Response{Body: make([]byte, MaxResponseBytes-64)}, nil
		},
	},
	{
		name: "request too large", want: IsErrMessageTooLarge,
		request: Request{Kind: RequestKindSubmit, Body: make([]byte, MaxRequestBytes)},
	},
	{name: "request of no kind", want: IsErrRequestRefused, request: Request{Body: []byte("x")}},
	{name: "request of an unknown kind", want: IsErrRequestRefused, request: Request{Kind: 99}},
}

func TestAskFaults(t *testing.T) {
	for _, c := range askFaults {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			f := &askFixture{cancel: cancel}
			server := &fakeHandler{}
			if c.handle != nil {
				server.request = func(ctx context.Context, _ Peer, _ Request) (Response, error) { return c.handle(ctx, f) }
			}
			m := newFakeMesh(t)
			gate := func(o *Options) { o.Gate = func(string) bool { return !f.cut.Load() } }
			f.asker = m.start("asker", "fukuoka", &fakeHandler{}, gate)
			f.server = m.start("server", "fukuoka", server, nil)
			join(t, f.asker, f.server)
			if c.prepare != nil {
				c.prepare(t, f)
			}
			r := c.request
			if r.Kind == RequestKindNone && r.Body == nil {
				r = Request{Kind: RequestKindSubmit, Body: []byte("job")}
			}
			_, err := f.asker.Ask(ctx, "server", r)
			must.True(t, c.want(err), must.Sprintf("got %v", err))
			must.Eq(t, c.handled, server.requests.Load())
		})
	}
}

// TestAskCertainty checks under broken connections and impatient askers that a
// request said to be undelivered was never handled, and an answered one once.
func TestAskCertainty(t *testing.T) {
	const askers, requests = 8, 100
	var mu sync.Mutex
	handled := map[uint64]int{}
	server := &fakeHandler{request: func(_ context.Context, _ Peer, r Request) (Response, error) {
		mu.Lock()
		defer mu.Unlock()
		handled[binary.BigEndian.Uint64(r.Body)]++
		return Response{Body: r.Body}, nil
	}}
	m := newFakeMesh(t)
	a := m.start("asker", "fukuoka", &fakeHandler{}, nil)
	s := m.start("server", "fukuoka", server, nil)
	join(t, a, s)
	outcomes := make([]error, askers*requests)
	var group sync.WaitGroup
	for i := range askers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for id := i; id < len(outcomes); id += askers {
				if random.IntN(20) == 0 {
					breakConnection([]*fakeMember{a, s}[random.IntN(2)])
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(3000))*time.Microsecond)
				_, outcomes[id] = a.Ask(ctx, "server", Request{Kind: RequestKindSubmit, Body: binary.BigEndian.AppendUint64(nil, uint64(id))})
				cancel()
				if IsErrPeerUnreachable(outcomes[id]) {
					await(t, func() bool { return connected(a) == 1 })
				}
			}
		})
	}
	group.Wait()
	s.stop()
	mu.Lock()
	defer mu.Unlock()
	kinds := map[string]int{}
	for id, err := range outcomes {
		count := handled[uint64(id)]
		switch {
		case err == nil:
			kinds["answered"]++
			must.Eq(t, 1, count)
		case IsErrPeerUnreachable(err):
			kinds["unreachable"]++
			must.Eq(t, 0, count)
		default:
			kinds["lost"]++
			must.True(t, IsErrAnswerLost(err), must.Sprintf("got %v", err))
			must.LessEq(t, 1, count)
		}
	}
	t.Log(kinds)
}

func breakConnection(m *fakeMember) {
	for _, l := range m.snapshot() {
		if n := l.connection(); n != nil {
			n.close(closeGone)
		}
	}
}

func (m *Mesh) snapshot() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*link
	for _, l := range m.links {
		all = append(all, l)
	}
	return all
}
