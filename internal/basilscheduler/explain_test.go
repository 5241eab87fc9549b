package basilscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// withRun adds a long-running job and starts its only task.
func (f *fixture) withRun(t *testing.T, s basilwork.Step) Ref {
	t.Helper()
	f.addJob("j", s)
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	return starts[0].Ref
}

// wait makes a decision, lets the time pass and makes the last decision before the waits are explained.
func (f *fixture) wait(d time.Duration) {
	f.Decide(f.now)
	f.advance(d)
	f.Decide(f.now)
}

// TestWaitReasons brings about each reason why a task is not at work.
func TestWaitReasons(t *testing.T) {
	const long = 3 * time.Second
	labelled, gang, spread := longStep(1, 1000), stepOf(2, 1000), longStep(2, 1000)
	labelled.Label = "gpu"
	gang.Gang = true
	// hold changes the state of the only backend server and adds a task for it.
	hold := func(change func(b *backend)) func(*testing.T, *fixture) {
		return func(_ *testing.T, f *fixture) {
			change(f.backends["b1"])
			f.addJob("j", longStep(1, 1000))
			f.wait(long)
		}
	}
	tests := map[WaitReason]func(t *testing.T, f *fixture){
		WaitReasonRunStarting: func(_ *testing.T, f *fixture) {
			f.addJob("j", longStep(1, 1000))
			f.Decide(f.now)
			f.wait(long)
		},
		WaitReasonRunUnknown: func(_ *testing.T, f *fixture) {
			f.addJob("j", longStep(1, 1000))
			f.Started(f.Decide(f.now).Starts[0].Ref, basilwork.RefusalNone, false, f.now)
			f.wait(long)
		},
		WaitReasonRunStopping: func(t *testing.T, f *fixture) {
			f.stop(f.findRun(f.withRun(t, longStep(1, 1000))), "test", f.now)
			f.wait(long)
		},
		WaitReasonRunUnlisted: func(t *testing.T, f *fixture) {
			f.withRun(t, longStep(1, 1000))
			f.wait(minUnlistedTime)
		},
		WaitReasonNotOpened: func(_ *testing.T, f *fixture) {
			f.AddJob(f.repeated("j", maxOpenSpan+10, 1000*time.Second, time.Millisecond), false)
			f.SetStartLimit(0)
			f.wait(long)
		},
		WaitReasonNotDue: func(_ *testing.T, f *fixture) {
			f.AddJob(f.repeated("j", 1, 1060*time.Second, 0), false)
			f.wait(long)
		},
		WaitReasonStepNotReady: func(t *testing.T, f *fixture) {
			second := longStep(1, 1000)
			second.After = []int{0}
			f.addJob("j", stepOf(1, 1000), second)
			must.Len(t, 1, f.decideAndStart())
			f.wait(minUnlistedTime)
		},
		WaitReasonInconsistent: func(_ *testing.T, f *fixture) {
			f.addJob("j", longStep(1, 8000))
			f.wait(long)
			f.jobs["j"].occurrences[0].steps[0].idle++
		},
		WaitReasonStartLimit: func(_ *testing.T, f *fixture) {
			f.SetStartLimit(0)
			f.addJob("j", longStep(1, 1000))
			f.wait(long)
		},
		WaitReasonPredecessors: func(_ *testing.T, f *fixture) {
			f.AddPredecessorBackend(backendOf("b0", 4000), time.Time{})
			f.AddJob(basilwork.Record{Job: basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{longStep(1, 1000)}}, Accepted: f.now.UnixMilli()}, true)
			f.wait(long)
		},
		WaitReasonPause: func(_ *testing.T, f *fixture) {
			f.addJob("j", longStep(1, 1000))
			r := f.Decide(f.now).Starts[0].Ref
			f.advance(long)
			f.Started(r, basilwork.RefusalWrong, true, f.now)
			f.Decide(f.now)
		},
		WaitReasonGangMember: func(t *testing.T, f *fixture) {
			f.addJob("j", gang)
			must.Len(t, 2, f.decideAndStart())
			f.advance(time.Second)
			f.report("b1", 50, end("j.0.0.0", 1, 1, basilwork.RunEndLost))
			f.wait(long)
		},
		WaitReasonNoTickets: func(_ *testing.T, f *fixture) {
			f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{{Name: "quote", Service: "stretch", Advice: &basilwork.Advice{}}}})
			f.addJob("j", longStep(1, 1000))
			f.wait(long)
		},
		WaitReasonTicket: func(_ *testing.T, f *fixture) {
			f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{{Name: "quote", Service: "stretch", Advice: &basilwork.Advice{}}}})
			f.addJob("j", longStep(1, 1000))
			f.Advised(f.Decide(f.now).Advice[0].Step, []basilwork.Ticket{{Backend: "other", Value: "ticket"}}, time.Minute, f.now)
			f.wait(long)
		},
		WaitReasonNoBackends: func(_ *testing.T, f *fixture) {
			f.setBackends()
			f.addJob("j", longStep(1, 1000))
			f.wait(long)
		},
		WaitReasonNoLabel: func(_ *testing.T, f *fixture) {
			f.addJob("j", labelled)
			f.wait(long)
		},
		WaitReasonTooLarge: func(_ *testing.T, f *fixture) {
			f.addJob("j", longStep(1, 5000))
			f.wait(long)
		},
		WaitReasonNoRoom: func(t *testing.T, f *fixture) {
			f.withRun(t, longStep(1, 4000))
			f.addJob("k", longStep(1, 1000))
			f.wait(long)
		},
		WaitReasonDraining:     hold(func(b *backend) { b.Draining = true }),
		WaitReasonEvacuating:   hold(func(b *backend) { b.evacuating = true }),
		WaitReasonNotRecorded:  hold(func(b *backend) { b.recorded = false }),
		WaitReasonNotAttached:  hold(func(b *backend) { b.attached = false }),
		WaitReasonNotReachable: hold(func(b *backend) { b.reachable = false }),
		WaitReasonBlocked:      hold(func(b *backend) { b.blockedUntil = time.Unix(2000, 0) }),
		WaitReasonOrphans:      hold(func(b *backend) { b.orphans = map[Ref]*orphan{{Backend: "b1"}: {}} }),
		WaitReasonQuarantined: func(t *testing.T, f *fixture) {
			r := f.withRun(t, longStep(1, 1000))
			f.backends["b1"].quarantinedFor = f.findRun(r)
			f.backends["b1"].heardAt = f.now
			f.addJob("k", longStep(1, 1000))
			f.wait(long)
		},
		WaitReasonAvoided: func(t *testing.T, f *fixture) {
			f.setBackends(backendOf("b1", 4000), backendOf("small", 100))
			f.withRun(t, longStep(1, 1000))
			f.advance(time.Second)
			f.report("b1", 100, end("j.0.0.0", 1, 1, basilwork.RunEndLapsed))
			f.wait(long)
		},
		WaitReasonAntiAffinity: func(t *testing.T, f *fixture) {
			f.withRun(t, spread)
			f.advance(long)
			f.report("b1", 100)
			f.Decide(f.now)
		},
		WaitReasonReserved: func(t *testing.T, f *fixture) {
			f.withRun(t, stepOf(1, 2500))
			f.addJob("k", longStep(1, 4000))
			f.addJob("l", stepOf(1, 1000))
			f.wait(long)
		},
		WaitReasonSlow: func(t *testing.T, f *fixture) {
			f.setBackends(backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
			f.addJob("j", longStep(2, 4000))
			for _, s := range f.decideAndStart() {
				must.NotEq(t, "b3", s.Backend)
			}
			f.backends["b3"].slowOdds, f.backends["b3"].slowUntil = maxOdds, f.now.Add(time.Hour)
			f.addJob("k", stepOf(1, 1000))
			f.wait(long)
		},
		WaitReasonGangRoom: func(_ *testing.T, f *fixture) {
			wide := gang
			wide.Count = 5
			f.addJob("j", wide)
			f.wait(long)
		},
		WaitReasonPassedOver: func(t *testing.T, f *fixture) {
			f.addJob("j", longStep(1, 1000))
			f.addJob("k", longStep(1, 1000))
			f.SetStartLimit(0)
			f.wait(long)
			f.SetStartLimit(1)
			must.Len(t, 1, f.decideAndStart())
		},
	}
	for reason := WaitReasonNone + 1; reason < waitReasons; reason++ {
		t.Run(reason.String(), func(t *testing.T) {
			f := newFixture(t, backendOf("b1", 4000))
			must.MapContainsKey(t, tests, reason)
			tests[reason](t, f)
			w := f.ExplainWaits(f.now)
			must.Positive(t, w.Tasks[reason], must.Sprintf("%+v", w))
			must.GreaterEq(t, minExplainedWait, w.Longest[reason])
			must.Eq(t, w, f.ExplainWaits(f.now))
		})
	}
}

// TestNoWaitIsExplainedWithoutOne checks that neither tasks at work nor those after them count as waiting.
func TestNoWaitIsExplainedWithoutOne(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	second := longStep(1, 1000)
	second.After = []int{0}
	f.addJob("j", stepOf(1, 1000), second)
	f.addJob("k", longStep(1, 1000))
	must.Len(t, 2, f.decideAndStart())
	for n := range 10 {
		f.advance(time.Second)
		f.report("b1", 10*n)
		f.Decide(f.now)
		w := f.ExplainWaits(f.now)
		must.SliceEmpty(t, w.List, must.Sprintf("%+v", w.List))
	}
}

// TestBlockedStepNamesTheTaskThatIsRunAgain covers a task that is ordered anew, as its server fell silent: the step after it must name it.
func TestBlockedStepNamesTheTaskThatIsRunAgain(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	second := longStep(1, 1000)
	second.After = []int{0}
	f.addJob("j", stepOf(1, 1000), second)
	first := f.decideAndStart()[0]
	f.advance(time.Second)
	f.Lost(first.Backend, basilwork.LossExpired, f.now)
	again := f.decideAndStart()[0]
	f.advance(2 * time.Second)
	f.report(again.Backend, 10)
	f.Decide(f.now)
	w := f.ExplainWaits(f.now)
	must.Len(t, 1, w.List)
	x := w.List[0]
	must.Eq(t, "j.0.1.0", x.Task.String())
	must.Eq(t, WaitReasonStepNotReady, x.Reason)
	must.Eq(t, "j.0.0.0", x.Blocker.String())
	must.Eq(t, WaitReasonNone, x.BlockerReason)
	must.Eq(t, again.Ref, x.Run)
	must.False(t, x.Expected)
}

// TestUnexpectedWaitIsExplainedAmongManyOthers covers an overloaded pool: a task that waits although a backend server has room must be
// explained first.
func TestUnexpectedWaitIsExplainedAmongManyOthers(t *testing.T) {
	p := newFullPool(2000, 20)
	p.now = p.now.Add(time.Minute)
	p.decide()
	for _, b := range p.addIdleBackends(1) {
		b.reachable = false
	}
	p.addJob(longStep(1, 60000))
	last := fmt.Sprintf("%016x", p.jobs)
	p.decide()
	p.now = p.now.Add(3 * time.Second)
	p.decide()
	w := p.ExplainWaits(p.now)
	must.LessEq(t, maxExplainedSteps, len(w.List))
	must.Positive(t, w.Unexamined)
	must.False(t, w.List[0].Expected)
	n := slices.IndexFunc(w.List, func(x Wait) bool { return x.Task.Job == last })
	must.GreaterEq(t, 0, n, must.Sprint("the long-running task that came last"))
	for _, x := range w.List[:n+1] {
		must.True(t, x.LongRunning, must.Sprint(x.Task, " is listed first"))
	}
	must.Eq(t, WaitReasonNotReachable, w.List[n].Reason)
}

// TestExplainingWaitsChangesNoDecision compares the decisions of two pools, of which one explains its waits between them.
func TestExplainingWaitsChangesNoDecision(t *testing.T) {
	explained, plain := newFullPool(1000, 20), newFullPool(1000, 20)
	for _, p := range []*fullPool{explained, plain} {
		p.now = p.now.Add(10 * time.Second)
	}
	for n := range 500 {
		if n%3 == 0 {
			must.SliceNotEmpty(t, explained.ExplainWaits(explained.now).List)
		}
		explained.endRunAndDecide()
		plain.endRunAndDecide()
		must.Eq(t, plain.shortRuns, explained.shortRuns)
	}
}

// BenchmarkExplainWaits measures the explanation of waits, by number of waiting tasks and backend servers: of a full pool, and of one in
// which all tasks wait though there is room.
func BenchmarkExplainWaits(b *testing.B) {
	for _, size := range []struct{ waiting, backends int }{{100, 80}, {5000, 80}, {5000, 600}, {50000, 600}} {
		for _, room := range []bool{false, true} {
			b.Run(fmt.Sprintf("waiting=%d/backends=%d/room=%t", size.waiting, size.backends, room), func(b *testing.B) {
				p := newFullPool(size.waiting, size.backends)
				p.now = p.now.Add(time.Minute)
				p.decide()
				if room {
					for _, x := range p.addIdleBackends(20) {
						x.reachable = false
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					p.ExplainWaits(p.now)
				}
			})
		}
	}
}
