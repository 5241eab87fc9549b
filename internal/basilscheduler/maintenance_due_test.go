package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestLongRunningTaskDoesNotReturnToDueHost checks that a task is moved off a host due for maintenance only once,
// even if its data is on the rack of that host.
func TestLongRunningTaskDoesNotReturnToDueHost(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000))
	s := longStep(1, 1000)
	s.Affinity = "r1-b1"
	f.addJob("j", s)
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "b1", starts[0].Backend)
	f.advance(time.Second)
	f.report("b1", 100)
	f.SetMaintenanceDue([]string{"b1"})
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	f.Stopped(stops[0].Ref, true, f.now)
	f.advance(100 * time.Millisecond)
	f.report("b1", 100, end("j.0.0.0", 1, 1, basilwork.RunEndStopped))
	starts = f.decideAndStart()
	must.Len(t, 1, starts)
	must.Eq(t, "b2", starts[0].Backend)
}

// TestLongTaskAvoidsDueHost checks that a long task that cannot be moved is not placed where it would delay maintenance.
func TestLongTaskAvoidsDueHost(t *testing.T) {
	long := stepOf(1, 1000)
	long.Estimate = 14 * time.Second
	movable := long
	movable.Checkpointing = true
	for _, x := range []struct {
		step    basilwork.Step
		backend string
	}{{stepOf(1, 1000), "b1"}, {movable, "b1"}, {long, "b2"}} {
		f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 8000)) // the smaller backend server is preferred otherwise
		f.SetMaintenanceDue([]string{"b1"})
		f.addJob("j", x.step)
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		must.Eq(t, x.backend, starts[0].Backend)
	}
}

// TestMovedTaskWaitsForRoomElsewhere covers short tasks that take the room elsewhere before the stopped run of a moved task
// ends: the task must wait instead of returning to the host due for maintenance.
func TestMovedTaskWaitsForRoomElsewhere(t *testing.T) {
	f := newFixture(t, backendOf("b1", 2000))
	f.addJob("long", longStep(1, 2000))
	must.Len(t, 1, f.decideAndStart())
	f.setBackends(backendOf("b1", 2000), backendOf("b2", 2000))
	f.advance(time.Second)
	f.report("b1", 100)
	f.SetMaintenanceDue([]string{"b1"})
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	f.addJob("short", stepOf(1, 2000))
	must.Eq(t, "b2", f.decideAndStart()[0].Backend)
	f.Stopped(stops[0].Ref, true, f.now)
	f.advance(100 * time.Millisecond)
	f.report("b1", 100, end("long.0.0.0", 1, 1, basilwork.RunEndStopped))
	must.SliceEmpty(t, f.decideAndStart())
	f.advance(time.Second)
	f.report("b2", 100, end("short.0.0.0", 1, 1, basilwork.RunEndDone))
	must.Eq(t, "b2", f.decideAndStart()[0].Backend)
}

// TestEvacuatedHostMovesBeforeDueHost checks that a task on an evacuated host moves before one on a host that is only due.
func TestEvacuatedHostMovesBeforeDueHost(t *testing.T) {
	f := newFixture(t, backendOf("b1", 1000), backendOf("b2", 1000))
	f.addJob("long", longStep(2, 1000))
	must.Len(t, 2, f.decideAndStart())
	f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000), backendOf("b3", 1000))
	f.advance(time.Second)
	f.report("b1", 100)
	f.report("b2", 100)
	f.SetMaintenanceDue([]string{"b1", "b2"})
	f.Evacuate("b2", true)
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	must.Eq(t, "b2", stops[0].Ref.Backend)
}
