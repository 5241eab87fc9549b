package basilrouter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilrouter"
)

func testBackends(n int, epoch int64) []basilrouter.Backend {
	var b []basilrouter.Backend
	for i := range n {
		b = append(b, basilrouter.Backend{Host: fmt.Sprint("r", i), Address: "127.0.0.1:1", DataCentre: "A", Epoch: epoch, Slots: 8})
	}
	return b
}

func newRouter(b []basilrouter.Backend) *basilrouter.Router {
	r := basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "A"})
	r.SetRandom(rand.New(rand.NewPCG(1, 2)).Uint32)
	r.Update("s", b)
	return r
}

func finish(l *basilrouter.Lease, e basilrouter.Ending) {
	l.Done(basilrouter.Report{Ending: e, Latency: 10 * time.Millisecond}, time.Now())
}

// pickAndFinish picks a host and reports the ending for it at once.
func pickAndFinish(r *basilrouter.Router, ending func(host string) basilrouter.Ending) (host string, ok bool) {
	l, err := r.Pick("s", time.Now())
	if err != nil {
		return "", false
	}
	host = l.Backend().Host
	finish(l, ending(host))
	return host, true
}

// sendLoad sends one request per millisecond; successful ones take 40 ms, others end immediately.
// It returns the number of requests per host.
func sendLoad(r *basilrouter.Router, d time.Duration, ending func(host string) basilrouter.Ending) map[string]int {
	sent := map[string]int{}
	var busy []*basilrouter.Lease
	for n := range int(d / time.Millisecond) {
		time.Sleep(time.Millisecond)
		if len(busy) > 0 && n >= 40 {
			busy[0].Done(basilrouter.Report{Ending: basilrouter.EndingAnswered, Latency: 40 * time.Millisecond}, time.Now())
			busy = busy[1:]
		}
		l, err := r.Pick("s", time.Now())
		if err != nil {
			continue
		}
		h := l.Backend().Host
		sent[h]++
		if e := ending(h); e != basilrouter.EndingAnswered {
			l.Done(basilrouter.Report{Ending: e, Latency: time.Millisecond}, time.Now())
			continue
		}
		busy = append(busy, l)
	}
	for _, l := range busy {
		finish(l, basilrouter.EndingAnswered)
	}
	return sent
}

func alwaysAnswered(string) basilrouter.Ending { return basilrouter.EndingAnswered }

func TestLeavingHostGetsNoPickUntilAHigherEpoch(t *testing.T) {
	sources := map[string]func(r *basilrouter.Router, l *basilrouter.Lease){
		"marked": func(r *basilrouter.Router, l *basilrouter.Lease) {
			r.MarkLeaving("r0", 5)
			finish(l, basilrouter.EndingAnswered)
		},
		"own header": func(_ *basilrouter.Router, l *basilrouter.Lease) {
			l.Done(basilrouter.Report{Ending: basilrouter.EndingAnswered, Leaving: true}, time.Now())
		},
		"own refusal": func(_ *basilrouter.Router, l *basilrouter.Lease) {
			l.Done(basilrouter.Report{Ending: basilrouter.EndingRefused, Leaving: true}, time.Now())
		},
		"marked, then delisted": func(r *basilrouter.Router, l *basilrouter.Lease) {
			finish(l, basilrouter.EndingAnswered)
			r.MarkLeaving("r0", 5)
			r.Update("s", nil)
		},
		"marked while unknown": func(r *basilrouter.Router, l *basilrouter.Lease) {
			finish(l, basilrouter.EndingAnswered)
			r.Remove("s")
			r.MarkLeaving("r0", 5)
		},
	}
	for name, markLeaving := range sources {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r *basilrouter.Router
				r = basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "A"})
				r.Update("s", testBackends(1, 5))
				l, err := r.Pick("s", time.Now())
				must.NoError(t, err)
				markLeaving(r, l)
				for range 3 {
					r.Update("s", testBackends(1, 5))
					_, err = r.Pick("s", time.Now())
					must.True(t, basilrouter.IsErrNoBackend(err))
					time.Sleep(time.Hour)
				}
				r.MarkLeaving("r0", 3)
				r.Update("s", testBackends(1, 6))
				_, err = r.Pick("s", time.Now())
				must.NoError(t, err)
			})
		})
	}
}

func TestOwnDataCentreFirst(t *testing.T) {
	r := basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "A"})
	b := testBackends(4, 1)
	b[1].DataCentre, b[3].DataCentre = "B", "B"
	r.Update("s", b)
	for n := range 32 {
		l, err := r.Pick("s", time.Now())
		must.NoError(t, err)
		must.Eq(t, n < 16, l.Backend().DataCentre == "A")
	}
}

func TestServicesOfOneHostShareItsCreditsAndLeavingMark(t *testing.T) {
	var reported []string
	r := basilrouter.NewRouter(basilrouter.RouterOptions{
		OnLeaving: func(host string, _ int64) { reported = append(reported, host) },
	})
	r.Update("s", testBackends(1, 1))
	r.Update("t", testBackends(1, 1))
	var leases []*basilrouter.Lease
	for n := range 8 {
		l, err := r.Pick([]string{"s", "t"}[n%2], time.Now())
		must.NoError(t, err)
		leases = append(leases, l)
	}
	for _, service := range []string{"s", "t"} {
		_, err := r.Pick(service, time.Now())
		must.True(t, basilrouter.IsErrNoBackend(err))
	}
	r.Remove("t")
	for _, l := range leases {
		l.Done(basilrouter.Report{Ending: basilrouter.EndingAnswered, Leaving: true}, time.Now())
	}
	must.Eq(t, []string{"r0"}, reported)
	must.Eq(t, 0, r.FreeCredits("s", time.Now()))
}

func TestExcludedHostIsNotPicked(t *testing.T) {
	r := basilrouter.NewRouter(basilrouter.RouterOptions{})
	r.Update("s", testBackends(2, 1))
	for range 8 {
		l, err := r.Pick("s", time.Now(), "r0")
		must.NoError(t, err)
		must.Eq(t, "r1", l.Backend().Host)
	}
	_, err := r.Pick("s", time.Now(), "r0")
	must.True(t, basilrouter.IsErrNoBackend(err))
}

func TestRefusalsReduceTheCredits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := basilrouter.NewRouter(basilrouter.RouterOptions{})
		r.Update("s", testBackends(1, 1))
		must.Eq(t, 8, r.FreeCredits("s", time.Now()))
		for _, expected := range []int{4, 2, 1, 1} {
			time.Sleep(time.Second)
			_, ok := pickAndFinish(r, func(string) basilrouter.Ending { return basilrouter.EndingRefused })
			must.True(t, ok)
			must.Eq(t, expected, r.FreeCredits("s", time.Now()))
			_, ok = pickAndFinish(r, alwaysAnswered)
			must.False(t, ok, must.Sprint("picked during the pause after a refusal"))
		}
		for range 100 {
			time.Sleep(time.Second)
			pickAndFinish(r, alwaysAnswered)
		}
		must.Between(t, 2, r.FreeCredits("s", time.Now()), 8)
	})
}

func failingOn(hosts ...string) func(string) basilrouter.Ending {
	return func(host string) basilrouter.Ending {
		if slices.Contains(hosts, host) {
			return basilrouter.EndingFailed
		}
		return basilrouter.EndingAnswered
	}
}

func TestFailingRunnersAttractNoLoad(t *testing.T) {
	all := []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
	tests := []struct {
		name       string
		bad        []string
		maxEjected int
		maxSent    int // to all failing runners together, of 5000 requests
	}{
		{"none bad", nil, 0, 0},
		{"one bad", all[:1], 1, 20},
		{"a third bad", all[:3], 3, 60},
		{"more bad than may be ejected", all[:4], 3, 400},
		{"every job fails everywhere", all, 0, 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRouter(testBackends(9, 1))
				sent := sendLoad(r, 5*time.Second, failingOn(tt.bad...))
				n := 0
				for _, h := range tt.bad {
					n += sent[h]
				}
				must.LessEq(t, tt.maxSent, n, must.Sprint(sent))
				must.GreaterEq(t, (9-tt.maxEjected)*8, r.FreeCredits("s", time.Now()))
				r.Update("s", testBackends(2, 1))
				must.Eq(t, 16, r.FreeCredits("s", time.Now()), must.Sprint("a pool of two members must not eject any"))
			})
		})
	}
}

func TestEjectedRunnersReturnAfterSuccessfulProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRouter(testBackends(9, 1))
		bad := failingOn("r0", "r1", "r2")
		sendLoad(r, 5*time.Second, bad)
		must.Eq(t, 6*8, r.FreeCredits("s", time.Now()))
		sent := sendLoad(r, time.Minute, bad)
		must.Between(t, 1, sent["r0"], 12, must.Sprint("probes must back off"))
		sendLoad(r, 90*time.Second, alwaysAnswered)
		must.Eq(t, 9*8, r.FreeCredits("s", time.Now()))
	})
}

// Whatever the order of events, only listed hosts that aren't leaving are picked, with at most 8 requests in flight each.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(1, 7).Draw(t, "entry hosts")
		r := basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "A", EntryHosts: share})
		r.SetRandom(rand.New(rand.NewPCG(1, 2)).Uint32)
		now := time.Unix(1000, 0)
		listed, newest, leaving, inFlight := map[string]int64{}, map[string]int64{}, map[string]int64{}, map[string]int{}
		var leases []*basilrouter.Lease
		host := rapid.SampledFrom([]string{"r0", "r1", "r2", "r3"})
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				n := rapid.IntRange(0, 4).Draw(t, "hosts")
				epoch := rapid.Int64Range(1, 4).Draw(t, "epoch")
				listed = map[string]int64{}
				b := testBackends(n, epoch)
				for i := range b {
					h := b[i].Host
					newest[h] = max(epoch, newest[h])
					b[i].Epoch, listed[h] = newest[h], newest[h]
				}
				r.Update("s", b)
			},
			"leave": func(t *rapid.T) {
				h, epoch := host.Draw(t, "host"), rapid.Int64Range(1, 4).Draw(t, "epoch")
				r.MarkLeaving(h, epoch)
				leaving[h] = max(leaving[h], epoch)
			},
			"share": func(t *rapid.T) { r.SetCredits(host.Draw(t, "host"), rapid.IntRange(0, 20).Draw(t, "slots")) },
			"pick": func(t *rapid.T) {
				now = now.Add(time.Millisecond)
				l, err := r.Pick("s", now)
				if err != nil {
					return
				}
				b := l.Backend()
				if e, ok := listed[b.Host]; !ok || leaving[b.Host] >= e {
					t.Fatalf("picked %v: listed %v, leaving %v", b, listed, leaving)
				}
				leases = append(leases, l)
				inFlight[b.Host]++
				if inFlight[b.Host] > 8 {
					t.Fatalf("%d requests in flight at %s", inFlight[b.Host], b.Host)
				}
			},
			"done": func(t *rapid.T) {
				if len(leases) == 0 {
					return
				}
				l := leases[0]
				leases = leases[1:]
				b := l.Backend()
				inFlight[b.Host]--
				p := basilrouter.Report{
					Ending:  rapid.SampledFrom(basilrouter.EndingValues()).Draw(t, "ending"),
					Latency: time.Millisecond, Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
				}
				if p.Leaving {
					leaving[b.Host] = max(leaving[b.Host], b.Epoch)
				}
				now = now.Add(time.Millisecond)
				l.Done(p, now)
				l.Done(p, now)
			},
		})
	})
}

// checkSlotLimit picks concurrently with more requests than a runner has slots.
func checkSlotLimit(t *testing.T) {
	r := newRouter(testBackends(1, 1))
	r.SetRandom(rand.Uint32)
	var picked atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			if _, err := r.Pick("s", time.Now()); err == nil {
				picked.Add(1)
			}
		})
	}
	group.Wait()
	must.Eq(t, 8, picked.Load())
}

func TestRouterUnderConcurrentUse(t *testing.T) {
	r := basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "A", OnFree: func(string) {}, OnLeaving: func(string, int64) {}})
	r.Update("s", testBackends(12, 1))
	var group sync.WaitGroup
	for n := range 8 {
		group.Go(func() {
			for i := range 2000 {
				e := basilrouter.EndingValues()[(i+n)%len(basilrouter.EndingValues())]
				pickAndFinish(r, func(string) basilrouter.Ending { return e })
			}
		})
	}
	for i := range 200 {
		checkSlotLimit(t)
		r.Update("s", testBackends(6+i%7, int64(1+i/50)))
		r.MarkLeaving("r3", int64(i/50))
		r.SetCredits("r1", i%9)
	}
	group.Wait()
	r.Update("s", testBackends(12, 9))
	r.Remove("s")
	_, err := r.Pick("s", time.Now())
	must.True(t, basilrouter.IsErrNoBackend(err))
}
