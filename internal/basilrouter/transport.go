package basilrouter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout        = time.Second
	idleTimeout        = 90 * time.Second
	maxAnswerHeaders   = 16 << 10 // bytes
	idleConnectionsAll = 4096
)

// NewTransport returns an HTTP/1.1 transport for one of the entry hosts that share the backend servers.
//
// It opens no more than its part of a backend server's connections, and it lets
// the dispatcher prove that no byte of a request was sent.
func NewTransport(entryHosts int) *http.Transport {
	return newTransport(entryHosts, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

type dial func(ctx context.Context, network, address string) (net.Conn, error)

func newTransport(entryHosts int, d dial) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: c}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxConnsPerHost:        max(1, connectionsPerHost/max(1, entryHosts)),
		MaxIdleConnsPerHost:    max(1, connectionsPerHost/max(1, entryHosts)),
		MaxIdleConns:           idleConnectionsAll,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaders,
	}
}

// meteredConn counts the bytes that were handed to the network and can be sealed.
type meteredConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write fails with net.ErrClosed once the connection is sealed.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *meteredConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection and returns the final count: no byte follows.
func (c *meteredConn) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
