package basilqueue

import (
	"context"
	"fmt"
	"testing"
	"time"

	"basilstage.example/basilstage/pkg/basilapi"
)

type unlimitedCapacity struct{}

func (unlimitedCapacity) Release()                       {}
func (unlimitedCapacity) Take(string, bool) (Slot, bool) { return unlimitedCapacity{}, true }
func (unlimitedCapacity) Size(string) int                { return 1 << 20 }

func BenchmarkAcquireAndDone(b *testing.B) {
	ctx := context.Background()
	q := NewQueues(Options{Capacity: unlimitedCapacity{}})
	acquireAndDone := func() {
		p, err := q.Acquire(ctx, JobRequest{Service: "s", Team: "a", Kind: "quote"})
		if err != nil {
			b.Fatal(err)
		}
		p.Done(time.Millisecond, basilapi.OutcomeRan)
	}
	b.Run("one goroutine", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			acquireAndDone()
		}
	})
	b.Run("all cores", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				acquireAndDone()
			}
		})
	})
}

// BenchmarkWaitingJobs measures queueing and cancelling a job, and checking all jobs, with up to 4000 queued jobs of 430 teams.
func BenchmarkWaitingJobs(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		q := NewQueues(Options{Capacity: &modelCapacity{}})
		q.checking = true
		queue := q.queue("s")
		enqueue := func(i int) *waiter {
			now := time.Now()
			w, _ := queue.enqueue(JobRequest{Service: "s", Team: fmt.Sprint(i % 430), Kind: "quote", Deadline: now.Add(time.Hour)}, now)
			return w
		}
		for i := range n {
			enqueue(i)
		}
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		b.Run(fmt.Sprintf("join and cancel behind %d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_ = queue.abandon(cancelled, enqueue(i))
			}
		})
		b.Run(fmt.Sprintf("check all of %d", n), func(b *testing.B) {
			for b.Loop() {
				queue.scheduler.unreachableWaiters(time.Now())
			}
		})
	}
}
