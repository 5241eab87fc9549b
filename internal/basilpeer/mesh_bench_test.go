package basilpeer

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"
)

// changeInterval is the time between two of 42,000 changes a day.
const changeInterval = 24 * time.Hour / 42_000

// settleChanges is how many changes pass before a mesh has found its packet size and is measured.
const settleChanges = 8

// usage is what the members of one process have used up.
type usage struct {
	at      time.Time
	cpu     time.Duration
	in, out uint64
}

func measure(members []*fakeMember) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u := usage{at: time.Now(), cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
	for _, m := range members {
		for _, s := range m.Status() {
			u.in += s.BytesIn
			u.out += s.BytesOut
		}
	}
	return u
}

// report prints the cost per member and second.
func (u usage) report(b *testing.B, members []*fakeMember) {
	now := measure(members)
	share := now.at.Sub(u.at).Seconds() * float64(len(members))
	b.ReportMetric(float64(now.in-u.in)/share, "B-in/s")
	b.ReportMetric(float64(now.out-u.out)/share, "B-out/s")
	b.ReportMetric(100*(now.cpu-u.cpu).Seconds()/share, "%core")
	b.ReportMetric(0, "ns/op")
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	b.ReportMetric(float64(s.HeapInuse+s.StackInuse)/float64(len(members))/(1<<20), "MB")
}

// BenchmarkMesh measures a standing mesh; each iteration is one change at the rate of the target.
func BenchmarkMesh(b *testing.B) {
	for _, c := range []struct{ members, entryBytes int }{{7, 400}, {60, 400}, {60, 4000}} {
		b.Run(fmt.Sprintf("members=%d/entry=%d", c.members, c.entryBytes), func(b *testing.B) {
			members := newFakeMesh(b).startAll(c.members, newFakeHandler)
			t := time.NewTicker(changeInterval)
			defer t.Stop()
			entry := bytes.Repeat([]byte("e"), c.entryBytes)
			var before usage
			for i := range settleChanges + b.N {
				<-t.C
				if i == settleChanges {
					before = measure(members)
				}
				d := Delta{Sequence: int64(i), Ready: true, Entries: [][]byte{entry}}
				d.Leaving = []LeavingHost{{Host: "host-kumamoto-017", Epoch: int64(i)}}
				members[i%len(members)].Broadcast(d)
			}
			before.report(b, members)
		})
	}
}

// BenchmarkDelta measures one change after a quiet moment, from its sender to the handlers of all peers.
func BenchmarkDelta(b *testing.B) {
	for _, count := range []int{7, 60} {
		b.Run(fmt.Sprintf("members=%d", count), func(b *testing.B) {
			arrived := make(chan struct{}, count)
			members := newFakeMesh(b).startAll(count, func() *fakeHandler {
				return &fakeHandler{delta: func(_ Peer, d Delta) {
					if len(d.Entries) > 0 {
						arrived <- struct{}{}
					}
				}}
			})
			entry := bytes.Repeat([]byte("e"), 400)
			latency := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			before := measure(members)
			b.ResetTimer()
			for i := range b.N {
				<-time.After(2 * flushGap)
				start := time.Now()
				members[0].Broadcast(Delta{Sequence: int64(i), Entries: [][]byte{entry}})
				for range count - 1 {
					<-arrived
				}
				_ = latency.RecordValue(time.Since(start).Microseconds())
			}
			cpu := measure(members).cpu - before.cpu
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N*(count-1)), "cpu-µs/delivery")
			b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-µs")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkAsk measures requests of one kilobyte by many callers of one peer.
func BenchmarkAsk(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			members := newFakeMesh(b).startAll(2, newFakeHandler)
			r := Request{Kind: RequestKindSubmit, Body: make([]byte, 1024)}
			var mu sync.Mutex
			all := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var group sync.WaitGroup
			b.ResetTimer()
			for c := range callers {
				group.Go(func() {
					own := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
					for i := c; i < b.N; i += callers {
						start := time.Now()
						_, err := members[0].Ask(context.Background(), members[1].peer.ID, r)
						must.NoError(b, err)
						_ = own.RecordValue(time.Since(start).Microseconds())
					}
					mu.Lock()
					defer mu.Unlock()
					all.Merge(own)
				})
			}
			group.Wait()
			b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-µs")
		})
	}
}
