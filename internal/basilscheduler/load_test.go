package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestLoadTellsWhatMayLeave sorts backend servers by what emptying them takes.
func TestLoadTellsWhatMayLeave(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
	lasting := stepOf(2, 2000)
	lasting.LongRunning = true
	lasting.AntiAffinity = 1
	f.add("last", lasting)
	must.Len(t, 2, f.begin())
	f.add("quote", stepOf(1, 3000))
	must.Len(t, 1, f.begin())
	l := f.Load(f.now)
	must.Len(t, 1, l.Idle)
	must.Len(t, 1, l.Brief)
	must.SliceEmpty(t, l.Movable, must.Sprint("one of the step at a backend server"))
	must.Eq(t, 2, l.Least)
}

// TestBackendsAreThoseListed follows the list of backend servers.
func TestBackendsAreThoseListed(t *testing.T) {
	f := newFixture(t, backendOf("b2", 4000), backendOf("b1", 4000))
	ids := func() string {
		var text string
		for _, b := range f.Backends() {
			text += fmt.Sprint(b.ID, " ", b.Room.CPU, " ")
		}
		return text
	}
	must.Eq(t, "b1 4000 b2 4000 ", ids())
	f.list(backendOf("b1", 4000), backendOf("b3", 4000))
	must.Eq(t, "b1 4000 b3 4000 ", ids())
	f.list(backendOf("b1", 8000), backendOf("b3", 4000))
	f.Lost("b3", f.now)
	must.Eq(t, "b1 8000 ", ids())
}

// TestLoadMovable names backend servers whose long-running tasks fit beside others.
func TestLoadMovable(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 8000))
	for id, cpu := range map[string]int{"first": 3000, "second": 2000} {
		lasting := stepOf(1, cpu)
		lasting.LongRunning = true
		f.add(id, lasting)
	}
	must.Len(t, 2, f.begin())
	l := f.Load(f.now)
	must.Eq(t, []string{"b1"}, l.Movable, must.Sprint("what runs on the larger one does not fit the smaller one"))
	f.list(backendOf("b1", 4000))
	must.SliceEmpty(t, f.Load(f.now).Movable)
}

// TestUrgentRecordsAreTakenFirst tells of jobs that have ended, and then of those that wait for longest, before others: a
// commit takes only some.
func TestUrgentRecordsAreTakenFirst(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000))
	for _, id := range []string{"c", "b", "a"} {
		f.add(id, stepOf(1, 1000))
		f.begin()
	}
	ids, _ := f.Dirty()
	must.Eq(t, []string{"c", "b", "a"}, ids)
	f.pass(time.Second)
	f.report("b1", 50, end("b.0.0.0", 1, 1, basilwork.RunEndDone))
	ids, urgent := f.Dirty()
	must.True(t, urgent)
	must.Eq(t, []string{"b", "c", "a"}, ids)
}
