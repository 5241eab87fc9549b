package basilstandin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"basilstage.example/basilstage/internal/basiltimer"
)

// NetworkFaults switches the faults on the way to one address; the zero value has none.
type NetworkFaults struct {
	Unreachable  bool          // connections are neither made nor refused
	LoseRequests bool          // on a connection: requests never arrive
	LoseAnswers  bool          // requests are served, answers never come
	Latency      time.Duration // of a request and of its answer, each
}

// Network carries HTTP requests to handlers in the same process, without sockets.
//
// It fits where the clock is paused. Its zero value has no servers.
type Network struct {
	mutex    sync.Mutex
	handlers map[string]http.Handler
	faults   map[string]NetworkFaults
}

// Listen puts the handler at the address, IP:port; nil removes it, and connections are then refused.
func (n *Network) Listen(address string, h http.Handler) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.handlers == nil {
		n.handlers = make(map[string]http.Handler)
	}
	n.handlers[address] = h
}

// SetFaults replaces the faults on the way to the address.
func (n *Network) SetFaults(address string, f NetworkFaults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.faults == nil {
		n.faults = make(map[string]NetworkFaults)
	}
	n.faults[address] = f
}

// Client returns an HTTP client on the network.
func (n *Network) Client() *http.Client { return &http.Client{Transport: n} }

func (n *Network) route(address string) (http.Handler, NetworkFaults) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.handlers[address], n.faults[address]
}

// RoundTrip carries one request, as the transport of an HTTP client.
func (n *Network) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	handler, faults := n.route(r.URL.Host)
	if faults.Unreachable {
		<-ctx.Done()
		return nil, dialError(ctx.Err())
	}
	if handler == nil {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	request, err := served(r)
	if err != nil {
		return nil, err
	}
	reportConnection(ctx)
	if err := basiltimer.Wait(ctx, faults.Latency); err != nil {
		return nil, err
	}
	if faults.LoseRequests {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return n.exchange(ctx, handler, request, faults)
}

func (n *Network) exchange(ctx context.Context, h http.Handler, r *http.Request, f NetworkFaults) (*http.Response, error) {
	answer := newMemoryAnswer()
	go answer.serve(h, r)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-answer.done:
	}
	if f.LoseAnswers {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := basiltimer.Wait(ctx, f.Latency); err != nil {
		return nil, err
	}
	return answer.response(r)
}

func dialError(cause error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: cause} }

// reportConnection tells a client's trace that from here on the server may see the request.
func reportConnection(ctx context.Context) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

// served returns the request as its server gets it.
func served(r *http.Request) (*http.Request, error) {
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		r.Body.Close()
		if err != nil {
			return nil, err
		}
	}
	s := r.Clone(r.Context())
	s.Body = io.NopCloser(bytes.NewReader(body))
	s.RequestURI = r.URL.RequestURI()
	s.Host = r.URL.Host
	return s, nil
}
