package basilscheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// newOccupiedFixture returns a pool of three backend servers of 16 cores; on each a long-running task takes two.
func newOccupiedFixture(t *testing.T) *fixture {
	f := newFixture(t, backendOf("b1", 16000), backendOf("b2", 16000), backendOf("b3", 16000))
	f.addJob("long", longStep(3, 2000))
	must.Len(t, 3, f.decideAndStart())
	return f
}

// lackingHosts returns how many hosts the pool lacks.
func (f *fixture) lackingHosts() int { return totalHosts(f.Load(f.now).Lacking) }

func totalHosts(needs []HostNeed) int {
	var count int
	for _, n := range needs {
		count += n.Hosts
	}
	return count
}

// TestHostsAreLackedByWorkWithoutRoom checks how many hosts waiting work needs beside long-running tasks on each host that the pool has.
func TestHostsAreLackedByWorkWithoutRoom(t *testing.T) {
	with := func(s basilwork.Step, change func(s *basilwork.Step)) basilwork.Step {
		change(&s)
		return s
	}
	cases := map[string]struct {
		steps []basilwork.Step
		want  int
	}{
		"small tasks":                      {[]basilwork.Step{stepOf(100, 3000)}, 0},
		"one of a whole host":              {[]basilwork.Step{stepOf(1, 16000)}, 1},
		"five of a whole host":             {[]basilwork.Step{stepOf(5, 16000)}, 5},
		"one that just fits":               {[]basilwork.Step{stepOf(5, 14000)}, 0},
		"of all memory":                    {[]basilwork.Step{memoryOf(2, 65536)}, 2},
		"two steps share hosts":            {[]basilwork.Step{with(stepOf(1, 15000), func(s *basilwork.Step) { s.Resources.Memory = 100 }), memoryOf(3, 65400)}, 3},
		"long-running tasks":               {[]basilwork.Step{with(stepOf(4, 15000), func(s *basilwork.Step) { s.LongRunning = true })}, 4},
		"long-running tasks apart":         {[]basilwork.Step{with(longStep(4, 1000), func(*basilwork.Step) {})}, 1},
		"gang that fits":                   {[]basilwork.Step{with(stepOf(6, 7000), func(s *basilwork.Step) { s.Gang = true })}, 0},
		"gang too wide for the pool":       {[]basilwork.Step{with(stepOf(7, 7000), func(s *basilwork.Step) { s.Gang = true })}, 1},
		"gang apart":                       {[]basilwork.Step{with(stepOf(7, 1000), func(s *basilwork.Step) { s.Gang, s.AntiAffinity = true, 1 })}, 4},
		"short tasks apart":                {[]basilwork.Step{with(stepOf(7, 1000), func(s *basilwork.Step) { s.AntiAffinity = 1 })}, 0},
		"short tasks of whole hosts apart": {[]basilwork.Step{with(stepOf(3, 16000), func(s *basilwork.Step) { s.AntiAffinity = 1 })}, 3},
		"label that no host has":           {[]basilwork.Step{with(stepOf(2, 1000), func(s *basilwork.Step) { s.Label = "rare" })}, 2},
		"larger than any host":             {[]basilwork.Step{stepOf(2, 32000)}, 2},
	}
	for name, x := range cases {
		f := newOccupiedFixture(t)
		f.addJob("j", x.steps...)
		f.decideAndStart()
		must.Eq(t, x.want, f.lackingHosts(), must.Sprint(name))
	}
}

// TestLackingHostsTellLongRunningTasksAndGangs checks how many of the hosts that a pool lacks or has are for long-running tasks and gangs. A pool
// whose short tasks lack many hosts took those that the long-running tasks of another one lacked.
func TestLackingHostsTellLongRunningTasksAndGangs(t *testing.T) {
	gang := stepOf(7, 7000)
	gang.Gang = true
	wide := longStep(1, 16000)
	wide.AntiAffinity = 0
	cases := map[string]struct {
		steps           []basilwork.Step
		hosts, lasting  int
		hostsForLasting int
	}{
		"short tasks":                       {[]basilwork.Step{stepOf(5, 16000)}, 5, 0, 3},
		"long-running tasks":                {[]basilwork.Step{longStep(5, 1000)}, 2, 2, 3},
		"gang":                              {[]basilwork.Step{gang}, 1, 1, 3},
		"long-running ones beside short":    {[]basilwork.Step{stepOf(5, 16000), wide}, 6, 1, 3},
		"small tasks that wait for a place": {[]basilwork.Step{stepOf(100, 3000)}, 0, 0, 3},
	}
	for name, x := range cases {
		f := newOccupiedFixture(t)
		f.addJob("j", x.steps...)
		f.decideAndStart()
		l := f.Load(f.now)
		must.Eq(t, x.hosts, totalHosts(l.Lacking), must.Sprint(name))
		must.Eq(t, x.lasting, lastingLacked(l.Lacking), must.Sprint(name))
		must.Eq(t, x.hostsForLasting, l.LastingHosts, must.Sprint(name))
	}
}

// TestHostsAreLackedByGangOnSmallHosts checks that an empty host counts for as many members of a gang as fit on it. Each counted for as many
// as the largest host of the pool holds, and the gang waited for ever.
func TestHostsAreLackedByGangOnSmallHosts(t *testing.T) {
	for _, x := range []struct{ members, apart, want int }{{4, 0, 1}, {3, 0, 1}, {2, 0, 0}, {7, 0, 2}, {2, 1, 0}, {3, 1, 1}} {
		f := newFixture(t, backendOf("b1", 32000))
		f.addJob("long", longStep(1, 26000))
		must.Len(t, 1, f.decideAndStart())
		f.setBackends(backendOf("b1", 32000), backendOf("b2", 8000), backendOf("b3", 8000))
		s := stepOf(x.members, 8000)
		s.Gang, s.AntiAffinity = true, x.apart
		f.addJob("j", s)
		starts := f.decideAndStart()
		must.Eq(t, x.want == 0, len(starts) > 0, must.Sprint(x))
		must.Eq(t, x.want, f.lackingHosts(), must.Sprint(x))
	}
}

// TestLackingHostsNameLabel checks that a pool asks for hosts with the label that waiting tasks need.
func TestLackingHostsNameLabel(t *testing.T) {
	f := newFixture(t, backendOf("b1", 16000))
	s := stepOf(3, 9000)
	s.Label = "rare"
	f.addJob("j", s)
	must.SliceEmpty(t, f.decideAndStart())
	l := f.Load(f.now)
	must.Eq(t, []HostNeed{{Label: "rare", Resources: basilwork.Resources{CPU: 9000, Memory: 512}, Hosts: 3}}, l.Lacking)
	must.Eq(t, 1, l.Listed)
	must.Eq(t, 0, l.Kept, must.Sprint("the pool could do without the host that lacks the label"))
}

// TestLackingHostsAreTakenBack checks that a pool lacks no host any more once hosts have arrived, or the work is gone.
func TestLackingHostsAreTakenBack(t *testing.T) {
	f := newOccupiedFixture(t)
	f.addJob("j", stepOf(1, 16000))
	must.SliceEmpty(t, f.decideAndStart())
	must.Eq(t, 1, f.lackingHosts())
	f.Cancel("j", f.now)
	must.SliceEmpty(t, f.decideAndStart())
	l := f.Load(f.now)
	must.SliceEmpty(t, l.Lacking)
	must.Eq(t, 0, l.Kept)

	f.addJob("k", stepOf(2, 16000))
	must.SliceEmpty(t, f.decideAndStart())
	must.Eq(t, 2, f.lackingHosts())
	list := []basilwork.Backend{backendOf("b1", 16000), backendOf("b2", 16000), backendOf("b3", 16000), backendOf("b4", 16000)}
	f.SetBackends(list) // b4 has not answered yet
	f.advance(hostNeedMaxAge)
	must.Eq(t, 1, f.lackingHosts())
	f.setBackends(list...)
	must.Len(t, 1, f.decideAndStart())
	f.advance(hostNeedMaxAge)
	l = f.Load(f.now)
	must.SliceEmpty(t, l.Lacking, must.Sprint("b4 comes free for the other task"))
	must.Eq(t, 4, l.MinBackends)
}

// TestWorkThatWaitsForRoomLacksNoHosts checks that work lacks no host where room comes free as runs end.
func TestWorkThatWaitsForRoomLacksNoHosts(t *testing.T) {
	f := newFixture(t, backendOf("b1", 16000), backendOf("b2", 16000), backendOf("b3", 16000))
	for n := range 20 {
		f.addJob(fmt.Sprint("j", n), stepOf(4, 1000*(n%16+1)))
	}
	must.Positive(t, len(f.decideAndStart()))
	l := f.Load(f.now)
	must.SliceEmpty(t, l.Lacking)
	must.Eq(t, 0, l.MinBackends)
}

// TestLackingHostsOfOwnerWithoutList checks that an owner that knows no backend server yet lacks none.
func TestLackingHostsOfOwnerWithoutList(t *testing.T) {
	f := newFixture(t)
	f.addJob("j", stepOf(100, 16000))
	must.SliceEmpty(t, f.decideAndStart())
	must.Eq(t, 0, f.lackingHosts())
}

// TestLackingHostsHaveBound checks that what a pool lacks stays small in its report, whatever jobs name.
func TestLackingHostsHaveBound(t *testing.T) {
	f := newOccupiedFixture(t)
	for n := range 3 * maxHostNeeds {
		s := stepOf(1, 1000)
		s.Label = fmt.Sprint("rare-", n)
		f.addJob(s.Label, s)
	}
	long := stepOf(1, 1000)
	long.Label = strings.Repeat("x", 100000)
	f.addJob("a", long) // first in order
	f.decideAndStart()
	l := f.Load(f.now)
	must.Len(t, maxHostNeeds, l.Lacking)
	for _, n := range l.Lacking {
		must.LessEq(t, maxLabelBytes, len(n.Label))
	}
}

// lackingPlay is a play in which the pool gets the hosts that it lacks, two seconds later.
type lackingPlay struct {
	*waitingPlay
	orderedAt time.Time
	ordered   []HostNeed
}

func (p *lackingPlay) tick() {
	p.waitingPlay.tick()
	if len(p.ordered) == 0 {
		l := p.Load(p.now)
		p.ordered, p.orderedAt = l.Lacking, p.now
		must.LessEq(p.t, l.Waiting, totalHosts(p.ordered))
	}
	if len(p.ordered) == 0 || p.now.Sub(p.orderedAt) < 2*time.Second {
		return
	}
	list := slices.Clone(p.Backends())
	for _, n := range p.ordered {
		for range n.Hosts {
			list = append(list, backendInPlay(len(list), n.Label != ""))
		}
	}
	p.ordered = nil
	p.setBackends(list...)
}

// waits reports whether a task waits.
func (p *lackingPlay) waits() bool { return p.Load(p.now).Waiting > 0 }

// TestPropertyLackingHostsServeAllWork plays random work of all kinds on a pool that gets what it lacks: no work waits for ever, and the
// pool never lacks more hosts than tasks wait.
func TestPropertyLackingHostsServeAllWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := &lackingPlay{waitingPlay: newWaitingPlay(t, r, 1)}
		p.submitJobs(p.tick)
		for range 10000 {
			if !p.waits() {
				break
			}
			p.tick()
		}
		if p.waits() {
			r.Fatalf("tasks wait for ever: %+v", p.Load(p.now))
		}
		must.SliceEmpty(r, p.Load(p.now).Lacking)
	})
}

// newUnplaceablePool returns a pool with long-running tasks on each of its backend servers, and waiting tasks of many sizes without room.
func newUnplaceablePool(waiting, backends int) *fullPool {
	p := newFullPool(0, backends)
	for range 3 {
		p.addJob(longStep(backends, 2000))
	}
	p.decide()
	for n := range waiting {
		s := stepOf(1, 64000-n%4000)
		s.Resources.Memory = 16 + n
		p.addJob(s)
	}
	p.decide()
	return p
}

// BenchmarkHostNeeds measures one count of the hosts that waiting tasks without room need, each of another size.
func BenchmarkHostNeeds(b *testing.B) {
	for _, size := range []struct{ waiting, backends int }{{500, 250}, {5000, 25}, {5000, 250}, {50000, 250}} {
		b.Run(fmt.Sprintf("waiting=%d/backends=%d", size.waiting, size.backends), func(b *testing.B) {
			p := newUnplaceablePool(size.waiting, size.backends)
			b.ReportAllocs()
			for b.Loop() {
				p.hostNeed.countedAt = time.Time{}
				p.hostNeeds(p.now)
			}
			b.ReportMetric(float64(len(p.hostNeed.lacking)), "kinds")
		})
	}
}
