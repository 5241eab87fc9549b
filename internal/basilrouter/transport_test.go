package basilrouter

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// openConn takes writes even after Close.
type openConn struct{ net.Conn }

func (openConn) Write(b []byte) (int, error) { return len(b), nil }
func (openConn) Close() error                { return nil }

func TestSealedConnectionSendsNothing(t *testing.T) {
	c := &meteredConn{Conn: openConn{}}
	w := wire{connections: []*meteredConn{c}, before: []int64{c.count()}}
	must.True(t, w.untouched())
	n, err := c.Write([]byte("late"))
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, net.ErrClosed)

	c = &meteredConn{Conn: openConn{}}
	w = wire{connections: []*meteredConn{c}, before: []int64{c.count()}}
	_, err = c.Write([]byte("early"))
	must.NoError(t, err)
	must.False(t, w.untouched())
}
