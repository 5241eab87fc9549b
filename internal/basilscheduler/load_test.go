package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestLoadListsRemovableBackends checks that Load groups backend servers by how they can be emptied.
func TestLoadListsRemovableBackends(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
	longRunning := stepOf(2, 2000)
	longRunning.LongRunning = true
	longRunning.AntiAffinity = 1
	f.addJob("last", longRunning)
	must.Len(t, 2, f.decideAndStart())
	f.addJob("quote", stepOf(1, 3000))
	must.Len(t, 1, f.decideAndStart())
	l := f.Load(f.now)
	must.Len(t, 1, l.Idle)
	must.Len(t, 1, l.ShortOnly)
	must.SliceEmpty(t, l.Movable, must.Sprint("anti-affinity allows one task of the step per backend server"))
	must.Eq(t, 2, l.MinBackends)
}

// TestBackendsFollowList checks that Backends reflects every change of the list.
func TestBackendsFollowList(t *testing.T) {
	f := newFixture(t, backendOf("b2", 4000), backendOf("b1", 4000))
	ids := func() string {
		var text string
		for _, b := range f.Backends() {
			text += fmt.Sprint(b.ID, " ", b.Resources.CPU, " ")
		}
		return text
	}
	must.Eq(t, "b1 4000 b2 4000 ", ids())
	f.setBackends(backendOf("b1", 4000), backendOf("b3", 4000))
	must.Eq(t, "b1 4000 b3 4000 ", ids())
	f.setBackends(backendOf("b1", 8000), backendOf("b3", 4000))
	f.Lost("b3", basilwork.LossExpired, f.now)
	must.Eq(t, "b1 8000 ", ids())
}

// TestLoadMovable checks that a backend server is movable only if its long-running tasks fit beside others.
func TestLoadMovable(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 8000))
	for id, cpu := range map[string]int{"first": 3000, "second": 2000} {
		longRunning := stepOf(1, cpu)
		longRunning.LongRunning = true
		f.addJob(id, longRunning)
	}
	must.Len(t, 2, f.decideAndStart())
	l := f.Load(f.now)
	must.Eq(t, []string{"b1"}, l.Movable, must.Sprint("the task on b2 does not fit beside the one on b1"))
	f.setBackends(backendOf("b1", 4000))
	must.SliceEmpty(t, f.Load(f.now).Movable)
}

// TestDirtyOrder checks that finished jobs come first and then those that waited longest, since a commit takes only some
// records.
func TestDirtyOrder(t *testing.T) {
	f := newFixture(t, backendOf("b1", 8000))
	for _, id := range []string{"c", "b", "a"} {
		f.addJob(id, stepOf(1, 1000))
		f.decideAndStart()
	}
	ids, _ := f.DirtyJobs()
	must.Eq(t, []string{"c", "b", "a"}, ids)
	f.advance(time.Second)
	f.report("b1", 50, end("b.0.0.0", 1, 1, basilwork.RunEndDone))
	ids, urgent := f.DirtyJobs()
	must.True(t, urgent)
	must.Eq(t, []string{"b", "c", "a"}, ids)
}
