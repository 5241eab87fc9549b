package basilscheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestEndedServersAreNoRoomForLongRunningTasks checks that a pool lacks hosts for long-running tasks as soon as servers are known to have ended. They
// counted as room for as long as they were listed, 2.7 s longer.
func TestEndedServersAreNoRoomForLongRunningTasks(t *testing.T) {
	for _, gone := range [][]string{{"b3"}, {"b2", "b3"}, {"b1", "b2", "b3"}} {
		f := newOccupiedFixture(t)
		f.advance(minAbsence)
		f.Load(f.now)
		for _, b := range f.list {
			f.report(b.ID, 100)
		}
		for _, id := range gone {
			f.SetReachable(id, false)
			must.True(t, f.Ended(id, f.now))
		}
		must.SliceEmpty(t, f.decideAndStart())
		f.advance(hostNeedMaxAge)
		must.Eq(t, len(gone), f.lackingHosts())
		l := f.Load(f.now)
		must.Eq(t, 3-len(gone), l.Listed)
		must.LessEq(t, l.Listed, l.Kept)
	}
}
