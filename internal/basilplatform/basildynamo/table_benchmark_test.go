package basildynamo_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basildynamo"
	"basilstage.example/basilstage/internal/basilstandin"
)

// countingListener counts the bytes of all its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkTable measures the adapter with the stand-in, both in this process.
func BenchmarkTable(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 300)
	write := func(name string, p basilplatform.Precondition) basilplatform.Write {
		return basilplatform.Write{Key: basilplatform.Key{Partition: "p", Sort: name}, Precondition: p, Body: body}
	}
	transact := func(writes int) func(b *testing.B, t *basildynamo.Table) {
		return func(b *testing.B, t *basildynamo.Table) {
			x := basilplatform.Transaction{Token: ulid.Make().String()}
			for n := range writes {
				x.Writes = append(x.Writes, write(fmt.Sprint("t", n), basilplatform.PreconditionNone))
			}
			must.NoError(b, t.Transact(b.Context(), x))
		}
	}
	query := func(limit int) func(b *testing.B, t *basildynamo.Table) {
		return func(b *testing.B, t *basildynamo.Table) {
			items, err := t.Query(b.Context(), "p", "", limit)
			must.NoError(b, err)
			must.Len(b, limit, items)
		}
	}
	tests := []struct {
		name string
		call func(b *testing.B, t *basildynamo.Table)
	}{
		{"get", func(b *testing.B, t *basildynamo.Table) {
			_, err := t.Get(b.Context(), basilplatform.Key{Partition: "p", Sort: "0001"})
			must.NoError(b, err)
		}},
		{"query of 100", query(100)},
		{"query of 1000", query(1000)},
		{"transact 1", transact(1)},
		{"transact 4", transact(4)},
		{"transact 100", transact(100)},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			p := basilstandin.NewPlatform(basilstandin.PlatformOptions{})
			for n := range 1000 {
				x := basilplatform.Transaction{Token: ulid.Make().String()}
				x.Writes = append(x.Writes, write(fmt.Sprintf("%04d", n), basilplatform.PreconditionAbsent))
				must.NoError(b, p.Table().Transact(b.Context(), x))
			}
			var wire atomic.Int64
			s := httptest.NewUnstartedServer(p.Handler())
			s.Listener = countingListener{Listener: s.Listener, bytes: &wire}
			s.Start()
			defer s.Close()
			table := basildynamo.New(basildynamo.Options{Endpoint: s.URL})
			tt.call(b, table)
			wire.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				tt.call(b, table)
			}
			b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "ops/s")
		})
	}
}
