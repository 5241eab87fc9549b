package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestSlowOwnerTellsThatItsRoomStaysFree checks that a pool whose owner can't send as many starts as it has room for says so, unless starts are
// not allowed at all, and says so no more once room is what the tasks wait for.
func TestSlowOwnerTellsThatItsRoomStaysFree(t *testing.T) {
	var list []basilwork.Backend
	for n := range 10 {
		list = append(list, backendOf(fmt.Sprint("b", n), 10000))
	}
	f := newFixture(t, list...)
	f.addJob("j", stepOf(200, 1000))
	f.SetStartLimit(2)
	for range 6 {
		must.False(t, f.Load(f.now).Limited)
		f.decideAndStart()
		f.SetStartLimit(0)
		f.decideAndStart()
		f.SetStartLimit(2)
		f.advance(startPressureTime/6 + time.Microsecond)
	}
	f.decideAndStart()
	must.True(t, f.Load(f.now).Limited)
	f.SetStartLimit(0)
	f.advance(2 * startPressureTime)
	f.decideAndStart()
	must.False(t, f.Load(f.now).Limited, must.Sprint("no starts are allowed"))
	f.SetStartLimit(80)
	f.decideAndStart()
	f.advance(startPressureTime)
	f.decideAndStart()
	must.False(t, f.Load(f.now).Limited, must.Sprint("the room is in use"))
}

// TestNoTaskWaitsForStartsInCalmPool checks that a pool whose decisions place all tasks is not limited by starts.
func TestNoTaskWaitsForStartsInCalmPool(t *testing.T) {
	f := newFixture(t, backendOf("b1", 64000))
	f.SetStartLimit(2)
	for n := range 20 {
		f.addJob(fmt.Sprint("j", n), stepOf(2, 1000))
		must.Len(t, 2, f.decideAndStart())
		f.advance(100 * time.Millisecond)
		must.False(t, f.StartsLimited(f.now))
	}
}

// TestTaskWithoutRoomIsNotLimitedByStarts checks that a task for which no backend server has room doesn't count as one that waits for starts.
func TestTaskWithoutRoomIsNotLimitedByStarts(t *testing.T) {
	f := newFixture(t, backendOf("b1", 64000))
	f.addJob("large", stepOf(1, 100000))
	f.SetStartLimit(2)
	for n := range 20 {
		f.addJob(fmt.Sprint("j", n), stepOf(2, 100))
		must.Len(t, 2, f.decideAndStart())
		f.advance(100 * time.Millisecond)
		must.False(t, f.StartsLimited(f.now))
	}
}
