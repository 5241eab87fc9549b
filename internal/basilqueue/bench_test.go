package basilqueue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

type endless struct{}

func (endless) Release()                       {}
func (endless) Take(string, bool) (Slot, bool) { return endless{}, true }
func (endless) Size(string) int                { return 1 << 20 }

func BenchmarkAcquireAndDone(b *testing.B) {
	ctx := context.Background()
	q := NewQueues(Options{Capacity: endless{}})
	cycle := func() {
		p, err := q.Acquire(ctx, Ticket{Service: "s", Team: "a", Kind: "quote"})
		if err != nil {
			b.Fatal(err)
		}
		p.Done(time.Millisecond, basilapi.OutcomeRan)
	}
	b.Run("one goroutine", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			cycle()
		}
	})
	b.Run("all cores", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				cycle()
			}
		})
	})
}

// One job joins the line and is cancelled, or all are looked at, behind so many others of 430 teams.
func BenchmarkLine(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		q := NewQueues(Options{Capacity: &modelCapacity{}})
		q.watching = true
		u := q.queue("s")
		enter := func(i int) *waiter {
			now := time.Now()
			w, _ := u.enter(Ticket{Service: "s", Team: fmt.Sprint(i % 430), Kind: "quote", Deadline: now.Add(time.Hour)}, now)
			return w
		}
		for i := range n {
			enter(i)
		}
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		b.Run(fmt.Sprintf("join and cancel behind %d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_ = u.abandon(cancelled, enter(i))
			}
		})
		b.Run(fmt.Sprintf("check all of %d", n), func(b *testing.B) {
			for b.Loop() {
				u.line.doomed(time.Now())
			}
		})
	}
}
