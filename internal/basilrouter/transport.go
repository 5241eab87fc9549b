package basilrouter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout            = time.Second
	idleTimeout            = 90 * time.Second
	maxResponseHeaderBytes = 16 << 10 // bytes
	maxIdleConnections     = 4096
)

// NewTransport returns an HTTP/1.1 transport for one of several entry hosts that share the backend servers.
//
// It limits the connections to each backend server to the entry host's share, and its
// connections count written bytes, so that the dispatcher can prove that no byte of a
// request was sent.
func NewTransport(entryHosts int) *http.Transport {
	return newTransport(entryHosts, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newTransport(entryHosts int, dial dialFunc) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        max(1, connectionsPerHost/max(1, entryHosts)),
		MaxIdleConnsPerHost:    max(1, connectionsPerHost/max(1, entryHosts)),
		MaxIdleConns:           maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// countingConn counts the bytes written and can be sealed against further writes.
type countingConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write returns net.ErrClosed once the connection is sealed.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final count of bytes; later writes fail,
// also on a connection that accepts writes after Close.
func (c *countingConn) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
