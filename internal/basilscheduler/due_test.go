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
