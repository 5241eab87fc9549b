package basildynamo_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform/basildynamo"
	"basilstage.example/basilstage/internal/basilstandin"
)

// gate holds the first write that reaches the server until it is opened.
type gate struct {
	next    http.Handler
	arrived chan struct{}
	opened  chan struct{}
	done    chan struct{}
	open    func()
}

func newGate(next http.Handler) *gate {
	opened := make(chan struct{})
	return &gate{
		next: next, arrived: make(chan struct{}), opened: opened, done: make(chan struct{}),
		open: sync.OnceFunc(func() { close(opened) }),
	}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(text))
	if bytes.Contains(text, []byte("TransactItems")) {
		close(g.arrived)
		<-g.opened
		<-r.Context().Done()
		defer close(g.done)
	}
	g.next.ServeHTTP(w, r)
}

// A write whose caller left while the service was slow is of unknown outcome,
// and it does take effect later.
func TestWriteTakesEffectAfterItsCallerLeft(t *testing.T) {
	p := basilstandin.NewPlatform(basilstandin.PlatformOptions{})
	g := newGate(p.Handler())
	s := httptest.NewServer(g)
	defer s.Close()
	defer g.open()
	table := basildynamo.New(basildynamo.Options{Endpoint: s.URL})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-g.arrived
		cancel()
	}()
	must.EqOp(t, "unknown", kind(table.Transact(ctx, twoA)))
	_, err := table.Get(t.Context(), keyA)
	must.EqOp(t, "none", kind(err))
	g.open()
	<-g.done
	i, err := table.Get(t.Context(), keyA)
	must.NoError(t, err)
	must.EqOp(t, "t", i.Token)
}

// A caller that has left before the call sends nothing.
func TestCallerLeftBefore(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(cut))
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	table := basildynamo.New(basildynamo.Options{Endpoint: s.URL})
	must.EqOp(t, "unavailable", kind(table.Transact(ctx, twoA)))
}
