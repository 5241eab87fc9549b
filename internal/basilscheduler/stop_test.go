package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestRunThatOutlivesItsStopIsStoppedAgain checks that a run of a cancelled job that reports go on listing after its stop was
// answered is stopped again, as an earlier incarnation may have answered, and that nothing is repeated while it may still end.
func TestRunThatOutlivesItsStopIsStoppedAgain(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	f.options.StopTimeout = 900 * time.Millisecond
	f.addJob("one", stepOf(1, 1000))
	starts := f.decideAndStart()
	must.Len(t, 1, starts)
	f.Cancel("one", f.now)
	must.Len(t, 1, f.Decide(f.now).Stops)
	f.Stopped(starts[0].Ref, true, f.now)
	f.advance(f.options.StopTimeout)
	f.report("b1", 50)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.advance(time.Second)
	f.report("b1", 50)
	must.Len(t, 1, f.Decide(f.now).Stops)
	f.Stopped(starts[0].Ref, true, f.now)
	f.advance(100 * time.Millisecond)
	f.Report("b1", basilwork.Report{}, f.now, f.now)
	must.Eq(t, 0, f.Load(f.now).Jobs)
}
