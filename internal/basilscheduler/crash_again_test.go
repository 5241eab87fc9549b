package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestCrashIsToldWithItsSuspects checks that a decision tells which runs the crash of a backend server counts for, and by what weight.
func TestCrashIsToldWithItsSuspects(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(1)...)
	f.addJob("j", stepOf(1, 1000))
	must.Len(t, 1, f.decideAndStart())
	f.advance(time.Second)
	f.report("b0", 50)
	f.crash("b0")
	a := f.Decide(f.now)
	must.Eq(t, []Crash{{
		Backend: "b0", Address: "b0", Silent: 3 * time.Second,
		Suspects: []Suspect{{Task: basilwork.TaskID{Job: "j"}, Attempt: 1, Certain: true, Weight: 1, Sum: 1}},
	}}, a.Crashes)
	must.Len(t, 1, a.Starts)
	f.Started(a.Starts[0].Ref, basilwork.RefusalNone, true, f.now)
	f.crash("b0'")
	a = f.Decide(f.now)
	must.Len(t, 1, a.Crashes)
	must.True(t, a.Crashes[0].Again)
	must.Eq(t, 2, a.Crashes[0].Suspects[0].Sum)
}

// TestJobIsNotGivenUpBesideServerThatCrashesAgainAndAgain checks that a task which was lost with a backend server is not started on its
// successor at once because the others are closed for a moment, and so lost with each successor.
func TestJobIsNotGivenUpBesideServerThatCrashesAgainAndAgain(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(2)...)
	f.backends["b1"].recorded = false
	f.addJob("k", stepOf(1, 1000))
	f.addJob("j", stepOf(1, 1000))
	must.Len(t, 2, f.decideAndStart())
	flapping := "b0"
	for range maxCrashes {
		f.reportOthers(time.Second)
		f.backends["b1"].recorded = true
		flapping = f.crash(flapping)
		a := f.Decide(f.now)
		must.SliceEmpty(t, a.GivenUp)
		for _, s := range a.Starts {
			must.NotEq(t, flapping, s.Backend)
			f.Started(s.Ref, basilwork.RefusalNone, true, f.now)
		}
		f.reportOthers(quarantineTime)
		f.decideAndStart()
	}
	must.Len(t, 2, f.backends["b1"].runs)
}

// TestCrashesUnderOneIDAreToldFromThoseOfTask checks that a server that crashes again under its ID counts as one that crashes by itself, like
// one that is back under another ID.
func TestCrashesUnderOneIDAreToldFromThoseOfTask(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(1)...)
	f.addJob("j", stepOf(1, 1000))
	for n := range 3 {
		must.Len(t, 1, f.decideAndStart())
		f.advance(3 * time.Second)
		f.Restarted("b0", basilwork.Report{}, f.now, f.now)
		f.Report("b0", basilwork.Report{}, f.now, f.now)
		f.Attached("b0")
		must.Len(t, n+1, f.crashesOf("j"))
		must.Eq(t, crashWeightPossible, f.crashesOf("j")[n].Weight)
	}
	must.False(t, f.jobs["j"].record.State.Final())
}

// TestPropertyInnocentTasksOutlastServerThatCrashesAgainAndAgain checks that no job is given up because one backend server crashes again and
// again, whether under its ID or a new one, while others have room, and that a task which crashes its servers beside it is given up in time.
func TestPropertyInnocentTasksOutlastServerThatCrashesAgainAndAgain(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newRackPlay(r, rapid.IntRange(4, 6).Draw(r, "hosts"), 1500*time.Millisecond, 3*time.Second)
		work := rapid.Custom(func(r *rapid.T) basilwork.Step {
			s := stepOf(rapid.IntRange(1, 3).Draw(r, "tasks"), rapid.SampledFrom([]int{500, 1000, 2000}).Draw(r, "cpu"))
			s.Estimate = drawTime(r, "estimate", 500*time.Millisecond, 4*time.Second)
			return s
		})
		step, every := work.Draw(r, "step"), drawTime(r, "every", 400*time.Millisecond, 2*time.Second)
		for n := range rapid.IntRange(1, 40).Draw(r, "jobs") {
			p.after(time.Duration(n)*every, func() {
				p.accept(basilwork.Job{ID: fmt.Sprint("job", n), Queue: "quote", Steps: []basilwork.Step{step}})
			})
		}
		at, period := 3*time.Second, drawTime(r, "period", 3*time.Second, 5*time.Second)
		for range rapid.IntRange(4, 10).Draw(r, "crashes") {
			p.after(at, func() { p.crash(p.hosts[0]) })
			at += period
		}
		bad := rapid.Bool().Draw(r, "bad")
		if bad {
			p.after(drawTime(r, "bad accepted", 0, 20*time.Second), func() {
				p.accept(basilwork.Job{ID: "bad", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000)}})
			})
		}
		p.watch()
		p.run(at + 45*time.Second)
		for _, g := range p.givenUp {
			if !bad {
				r.Fatalf("%s is given up: %+v\n%s", g.Task, g.Crashes, p.log())
			}
		}
		p.judge(r, bad)
	})
}
