package basiltrace

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

const maxIdleConnections = 64

// RequestTrace follows one request; its zero value works.
type RequestTrace struct{ connected atomic.Bool }

// Context returns a context that reports the request's progress to the trace.
func (t *RequestTrace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// MaySent tells whether the server may have got any of the request: it got a connection.
func (t *RequestTrace) MaySent() bool { return t.connected.Load() }

// NewClient returns an HTTP client that follows no redirects and uses no proxy.
func NewClient() *http.Client {
	return &http.Client{
		CheckRedirect: StayPut,
		Transport: &http.Transport{
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdleConnections,
		},
	}
}

// StayPut makes a client return a redirect as it came.
func StayPut(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
