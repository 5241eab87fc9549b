package basilqueue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/pkg/basilapi"
)

// ended is what became of one job.
type ended struct {
	job      string
	waited   time.Duration
	deadline time.Duration // from the submit
	err      error
}

// bench submits jobs that run for a given time, each in a goroutine of its own.
type bench struct {
	queues   *Queues
	capacity *modelCapacity
	mutex    sync.Mutex
	ended    []ended
	group    sync.WaitGroup
}

func newBench(places int) *bench {
	b := &bench{capacity: &modelCapacity{size: places}}
	b.queues = NewQueues(Options{Capacity: b.capacity})
	return b
}

func (b *bench) submit(ctx context.Context, job string, t Ticket, deadline, run time.Duration) {
	b.group.Go(func() {
		began := time.Now()
		if deadline > 0 {
			t.Deadline = began.Add(deadline)
		}
		p, err := b.queues.Acquire(ctx, t)
		e := ended{job: job, waited: time.Since(began), deadline: deadline, err: err}
		b.mutex.Lock()
		b.ended = append(b.ended, e)
		b.mutex.Unlock()
		if err == nil {
			time.Sleep(run)
			p.Done(run, basilapi.OutcomeRan)
		}
	})
}

// teach runs jobs of the kind one after the other, until the queue knows them.
func (b *bench) teach(kind string, run time.Duration, times int) {
	for range times {
		b.submit(context.Background(), "teach", Ticket{Service: "s", Kind: kind}, 0, run)
		b.group.Wait()
	}
	b.ended = nil
}

// of returns how the jobs of that name ended.
func (b *bench) of(job string) []ended {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var found []ended
	for _, e := range b.ended {
		if e.job == job {
			found = append(found, e)
		}
	}
	return found
}

func quote() Ticket  { return Ticket{Service: "s", Kind: "quote", Team: "shop"} }
func report() Ticket { return Ticket{Service: "s", Kind: "report", Team: "office"} }
func urgent() Ticket { return Ticket{Service: "s", Kind: "quote", Team: "shop", Urgent: true} }

// lied declares a run time that is far off.
func lied(t Ticket, guess time.Duration) Ticket {
	t.Guess = guess
	return t
}

func TestQueueUnderFaults(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		act  func(b *bench)
		want func(t *testing.T, b *bench)
	}{
		{"overload of five times the places is refused at once or served in time", func(b *bench) {
			for range 500 { // 10 s at five times what 8 places serve
				for range 8 {
					b.submit(ctx, "quote", quote(), time.Second, 100*time.Millisecond)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}, func(t *testing.T, b *bench) {
			served := 0
			for _, e := range b.of("quote") {
				must.LessEq(t, time.Second, e.waited)
				if e.err == nil {
					served++
					continue
				}
				after, ok := RetryAfter(e.err)
				must.True(t, ok && after > 0)
			}
			must.GreaterEq(t, 750, served, must.Sprint("of 800 that fit"))
		}},
		{"urgent work passes a full queue of long work", func(b *bench) {
			for range 3 * defaultMaxWaiting / 2 {
				b.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			b.submit(ctx, "urgent", urgent(), 10*time.Second, 100*time.Millisecond)
			time.Sleep(5 * time.Second)
		}, func(t *testing.T, b *bench) {
			must.NoError(t, b.of("urgent")[0].err)
			must.Less(t, 1300*time.Millisecond, b.of("urgent")[0].waited)
		}},
		{"short work doesn't wait behind long work, whatever was declared", func(b *bench) {
			for range 50 {
				b.submit(ctx, "report", lied(report(), time.Millisecond), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			b.submit(ctx, "quote", lied(quote(), time.Hour), 5*time.Second, 100*time.Millisecond)
			time.Sleep(time.Minute)
		}, func(t *testing.T, b *bench) {
			must.EqOp(t, 0, b.of("quote")[0].waited)
		}},
		{"long work is served by its deadline through endless short work", func(b *bench) {
			for i := range 6000 { // twice what the places serve, for two and a half minutes
				if i < 3 {
					b.submit(ctx, "report", report(), 3*time.Minute, 30*time.Second)
				}
				for range 4 {
					b.submit(ctx, "quote", quote(), time.Second, 100*time.Millisecond)
				}
				time.Sleep(25 * time.Millisecond)
			}
		}, func(t *testing.T, b *bench) {
			for _, e := range b.of("report") {
				must.NoError(t, e.err)
				must.LessEq(t, 150*time.Second, e.waited)
			}
		}},
		{"the first jobs of a kind don't wait behind long work", func(b *bench) {
			for range 50 {
				b.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			b.submit(ctx, "new", Ticket{Service: "s", Kind: "new", Team: "new"}, 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.EqOp(t, 0, b.of("new")[0].waited)
		}},
		{"many first jobs of a kind leave places to others, whatever they run", func(b *bench) {
			for range 50 {
				b.submit(ctx, "new", Ticket{Service: "s", Kind: "new", Team: "new"}, time.Hour, 30*time.Second)
				b.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			}
			time.Sleep(time.Second)
			b.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.EqOp(t, 0, b.of("quote")[0].waited)
		}},
		{"the earliest deadline goes first", func(b *bench) {
			for i := range 24 {
				b.submit(ctx, fmt.Sprint(i), quote(), time.Minute-time.Duration(i)*time.Second, 100*time.Millisecond)
				synctest.Wait()
			}
		}, func(t *testing.T, b *bench) {
			must.Less(t, b.of("8")[0].waited, b.of("23")[0].waited)
			must.Less(t, 150*time.Millisecond, b.of("16")[0].waited)
		}},
		{"urgent work leaves a part to others", func(b *bench) {
			for range 400 {
				b.submit(ctx, "urgent", urgent(), time.Minute, 100*time.Millisecond)
			}
			b.submit(ctx, "quote", quote(), time.Minute, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.Less(t, 500*time.Millisecond, b.of("quote")[0].waited)
		}},
		{"a team that waits now and then has no claim on the time before", func(b *bench) {
			for range 300 {
				b.submit(ctx, "big", Ticket{Service: "s", Kind: "quote", Team: "big"}, 0, 100*time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			for range 80 {
				b.submit(ctx, "small", quote(), 0, 100*time.Millisecond)
			}
		}, func(t *testing.T, b *bench) {
			soon := 0
			for _, e := range b.of("small") {
				if e.waited <= 510*time.Millisecond {
					soon++
				}
			}
			must.Between(t, 16, soon, 28)
		}},
		{"a short outage is waited out", func(b *bench) {
			b.capacity.resize(0)
			b.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			b.capacity.resize(8)
		}, func(t *testing.T, b *bench) {
			must.NoError(t, b.of("quote")[0].err)
			must.LessEq(t, 320*time.Millisecond, b.of("quote")[0].waited)
		}},
		{"a long outage is told long before the deadline", func(b *bench) {
			b.capacity.resize(0)
			b.submit(ctx, "quote", quote(), time.Hour, 100*time.Millisecond)
			time.Sleep(time.Minute)
			b.capacity.resize(8)
			b.submit(ctx, "after", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.True(t, IsErrNoCapacity(b.of("quote")[0].err))
			must.Less(t, time.Second, b.of("quote")[0].waited)
			must.NoError(t, b.of("after")[0].err)
		}},
		{"a job whose deadline can't be met any more is refused before it passes", func(b *bench) {
			for range 8 {
				b.submit(ctx, "stuck", quote(), time.Hour, time.Minute)
			}
			time.Sleep(time.Millisecond)
			b.submit(ctx, "quote", quote(), 2*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.True(t, IsErrDeadlineUnreachable(b.of("quote")[0].err))
			must.Less(t, 2*time.Second, b.of("quote")[0].waited)
		}},
		{"a job that turns out long counts against the share of long work", func(b *bench) {
			for range 4 {
				b.submit(ctx, "stuck", quote(), time.Hour, time.Minute)
			}
			time.Sleep(5 * time.Second)
			b.submit(ctx, "report", report(), time.Hour, 30*time.Second)
			time.Sleep(time.Second)
			b.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.EqOp(t, 0, b.of("quote")[0].waited)
			must.GreaterEq(t, 50*time.Second, b.of("report")[0].waited)
		}},
		{"a burst of cancellations frees its places at once", func(b *bench) {
			burst, cancel := context.WithCancel(ctx)
			for range 3000 {
				b.submit(burst, "cancelled", quote(), 0, time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			cancel()
			synctest.Wait()
			b.submit(ctx, "quote", quote(), 5*time.Second, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.LessEq(t, time.Second, b.of("quote")[0].waited)
			must.EqOp(t, 3000-8, b.queues.Status()["s"].Abandoned)
		}},
		{"a team that asks a hundred times as much starves no other", func(b *bench) {
			for range 2000 {
				b.submit(ctx, "big", Ticket{Service: "s", Kind: "quote", Team: "big"}, time.Minute, 100*time.Millisecond)
			}
			time.Sleep(time.Second)
			for range 20 {
				b.submit(ctx, "small", quote(), time.Minute, 100*time.Millisecond)
			}
		}, func(t *testing.T, b *bench) {
			for _, e := range b.of("small") {
				must.LessEq(t, 700*time.Millisecond, e.waited)
			}
		}},
		{"a full queue makes room for the team that has less", func(b *bench) {
			for range defaultMaxWaiting + 100 {
				b.submit(ctx, "big", Ticket{Service: "s", Kind: "quote", Team: "big"}, 0, 100*time.Millisecond)
			}
			time.Sleep(time.Millisecond)
			b.submit(ctx, "quote", quote(), 0, 100*time.Millisecond)
		}, func(t *testing.T, b *bench) {
			must.NoError(t, b.of("quote")[0].err)
			full := 0
			for _, e := range b.of("big") {
				if IsErrQueueFull(e.err) {
					full++
				}
			}
			must.EqOp(t, 100-8+1, full)
		}},
		{"a team gets its part of the quota, and no less", func(b *bench) {
			b.queues.SetQuotas([]Quota{{Team: "shop", RatePerSecond: 70, Burst: 70}}, 7)
			for range 1000 {
				b.submit(ctx, "quote", quote(), time.Second, time.Millisecond)
				time.Sleep(10 * time.Millisecond)
			}
			b.submit(ctx, "other", Ticket{Service: "s", Kind: "quote", Team: "free"}, time.Second, time.Millisecond)
		}, func(t *testing.T, b *bench) {
			granted := 0
			for _, e := range b.of("quote") {
				if e.err == nil {
					granted++
					continue
				}
				must.True(t, IsErrQuotaExceeded(e.err))
			}
			must.Between(t, 108, granted, 111)
			must.NoError(t, b.of("other")[0].err)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(8)
				b.teach("quote", 100*time.Millisecond, 40)
				b.teach("report", 30*time.Second, 8)
				tt.act(b)
				b.group.Wait()
				tt.want(t, b)
				s := b.queues.Status()["s"]
				must.EqOp(t, 0, s.Running+s.LongRunning, must.Sprint("nothing is left running"))
				must.EqOp(t, 0, b.capacity.used, must.Sprint("places left taken"))
			})
		})
	}
}

// TestRefusedJobKeepsItsPass holds for a job that lost its place at a backend server and looks for another one.
func TestRefusedJobKeepsItsPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		b.teach("quote", 100*time.Millisecond, 40)
		p, err := b.queues.Acquire(context.Background(), quote())
		must.NoError(t, err)
		p.Slot().Release()
		b.submit(context.Background(), "next", quote(), 0, 0)
		time.Sleep(time.Minute)
		must.SliceEmpty(t, b.of("next"))
		p.Done(time.Minute, basilapi.OutcomeRan)
		b.group.Wait()
		must.NoError(t, b.of("next")[0].err)
	})
}
