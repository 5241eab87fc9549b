package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
