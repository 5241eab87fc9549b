package basilrouter

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// openConn accepts writes even after Close.
type openConn struct{ net.Conn }

func (openConn) Write(b []byte) (int, error) { return len(b), nil }
func (openConn) Close() error                { return nil }

func TestSealedConnectionSendsNothing(t *testing.T) {
	c := &countingConn{Conn: openConn{}}
	w := connWatcher{connections: []*countingConn{c}, writtenBefore: []int64{c.bytesWritten()}}
	must.True(t, w.sealConnections())
	n, err := c.Write([]byte("late"))
	must.Eq(t, 0, n)
	must.ErrorIs(t, err, net.ErrClosed)

	c = &countingConn{Conn: openConn{}}
	w = connWatcher{connections: []*countingConn{c}, writtenBefore: []int64{c.bytesWritten()}}
	_, err = c.Write([]byte("early"))
	must.NoError(t, err)
	must.False(t, w.sealConnections())
}
