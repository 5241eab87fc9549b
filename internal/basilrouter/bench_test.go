package basilrouter

import (
	"fmt"
	"testing"
	"time"
)

func benchRouter(n int) *Router {
	r := NewRouter(RouterOptions{DataCentre: "A"})
	var b []Backend
	for i := range n {
		b = append(b, Backend{Host: fmt.Sprint("r", i), Address: "127.0.0.1:1", DataCentre: "A", Epoch: 1})
	}
	r.Update("s", b)
	return r
}

func BenchmarkPickAndDone(b *testing.B) {
	for _, n := range []int{12, 13_000} {
		b.Run(fmt.Sprintf("%d runners", n), func(b *testing.B) {
			r, now := benchRouter(n), time.Now()
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				l, err := r.Pick("s", now)
				if err != nil {
					b.Fatal(err)
				}
				l.Done(Report{Ending: EndingAnswered, Latency: time.Millisecond}, now)
			}
		})
		b.Run(fmt.Sprintf("%d runners, all cores", n), func(b *testing.B) {
			r := benchRouter(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				now := time.Now()
				for pb.Next() {
					now = now.Add(time.Microsecond)
					if l, err := r.Pick("s", now); err == nil {
						l.Done(Report{Ending: EndingAnswered, Latency: time.Millisecond}, now)
					}
				}
			})
		})
		b.Run(fmt.Sprintf("%d runners, none free", n), func(b *testing.B) {
			r, now := benchRouter(n), time.Now()
			for i := range n {
				r.SetCredits(fmt.Sprint("r", i), 1)
			}
			for range n {
				_, _ = r.Pick("s", now)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = r.Pick("s", now)
			}
		})
	}
}
