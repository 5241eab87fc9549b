package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestTaskThatLastsDoesNotReturnToAHostThatIsDue moves a task off a host that is to be maintained once, also when
// its data is there.
func TestTaskThatLastsDoesNotReturnToAHostThatIsDue(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	s := longStep(1, 1000)
	s.Affinity = "r1-b1"
	f.add("j", s)
	starts := f.begin()
	must.Len(t, 1, starts)
	must.Eq(t, "b1", starts[0].Backend)
	f.pass(time.Second)
	f.report("b1", 100)
	f.SetDue([]string{"b1"})
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	f.Stopped(stops[0].Ref, true, f.now)
	f.pass(100 * time.Millisecond)
	f.report("b1", 100, end("j.0.0.0", 1, 1, basilwork.RunEndStopped))
	starts = f.begin()
	must.Len(t, 1, starts)
	must.Eq(t, "b2", starts[0].Backend)
}

// TestLongTaskKeepsOffAHostThatIsDue places a task that runs for long and cannot be moved where no upkeep waits for it.
func TestLongTaskKeepsOffAHostThatIsDue(t *testing.T) {
	long := stepOf(1, 1000)
	long.Estimate = 14 * time.Second
	movable := long
	movable.Checkpointing = true
	for _, x := range []struct {
		step    basilwork.Step
		backend string
	}{{stepOf(1, 1000), "b1"}, {movable, "b1"}, {long, "b2"}} {
		f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 8000)) // packed on the smaller one
		f.SetDue([]string{"b1"})
		f.add("j", x.step)
		starts := f.begin()
		must.Len(t, 1, starts)
		must.Eq(t, x.backend, starts[0].Backend)
	}
}

// TestTaskMovedOffAHostThatIsDueStaysOff waits for room elsewhere that short tasks took before it was stopped.
func TestTaskMovedOffAHostThatIsDueStaysOff(t *testing.T) {
	f := newFixture(t, backendOf("b1", 2000))
	f.add("long", longStep(1, 2000))
	must.Len(t, 1, f.begin())
	f.list(backendOf("b1", 2000), backendOf("b2", 2000))
	f.pass(time.Second)
	f.report("b1", 100)
	f.SetDue([]string{"b1"})
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	f.add("short", stepOf(1, 2000))
	must.Eq(t, "b2", f.begin()[0].Backend)
	f.Stopped(stops[0].Ref, true, f.now)
	f.pass(100 * time.Millisecond)
	f.report("b1", 100, end("long.0.0.0", 1, 1, basilwork.RunEndStopped))
	must.SliceEmpty(t, f.begin())
	f.pass(time.Second)
	f.report("b2", 100, end("short.0.0.0", 1, 1, basilwork.RunEndDone))
	must.Eq(t, "b2", f.begin()[0].Backend)
}

// TestHostThatIsBeingEmptiedGoesFirst moves the task whose host is waited for before one whose host is due only.
func TestHostThatIsBeingEmptiedGoesFirst(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000), backendOf("b2", 1000))
	f.add("long", longStep(2, 1000))
	must.Len(t, 2, f.begin())
	f.list(backendOf("b1", 1000), backendOf("b2", 1000), backendOf("b3", 1000))
	f.pass(time.Second)
	f.report("b1", 100)
	f.report("b2", 100)
	f.SetDue([]string{"b1", "b2"})
	f.Evacuate("b2", true)
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	must.Eq(t, "b2", stops[0].Ref.Backend)
}
