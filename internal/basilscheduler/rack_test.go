package basilscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	rackReturn    = 3 * time.Second // from the crash of a rack to the return of its backend servers
	maxInnocent   = 3               // crashes of racks that a task outlasts, with starts that a silent server may not have begun
	maxRunCrashes = 5               // crashes under a task by the platform's rules: it may be started twice after three
)

// backendsInRacksOf returns backend servers that stand so many to a rack.
func backendsInRacksOf(size, count int) []basilwork.Backend {
	list := backendsInRacks(count)
	for n := range list {
		list[n].Rack = fmt.Sprint("r1-", n/size)
	}
	return list
}

// inRack returns the listed backend servers of the rack.
func (f *fixture) inRack(rack string) []basilwork.Backend {
	var list []basilwork.Backend
	for _, b := range f.list {
		if b.present && b.Rack == rack {
			list = append(list, b.Backend)
		}
	}
	return list
}

// reportOthers lets the time pass while all listed backend servers but those answer.
func (f *fixture) reportOthers(d time.Duration, silent ...basilwork.Backend) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(100 * time.Millisecond)
		for _, b := range f.list {
			if b.present && !slices.ContainsFunc(silent, func(s basilwork.Backend) bool { return s.ID == b.ID }) {
				f.report(b.ID, 50)
			}
		}
	}
}

// replace lists each of the backend servers as a new one at its address.
func (f *fixture) replace(crashed ...basilwork.Backend) {
	var list []basilwork.Backend
	for _, b := range f.list {
		switch {
		case !b.present:
		case slices.ContainsFunc(crashed, func(c basilwork.Backend) bool { return c.ID == b.ID }):
			successor := b.Backend
			successor.ID += "'"
			successor.StartedAt = f.now.UnixMilli()
			list = append(list, successor)
		default:
			list = append(list, b.Backend)
		}
	}
	f.setBackends(list...)
}

// TestTaskOutlastsCrashesOfRacksWithIdleServers checks that a task is not given up after crashes of the racks that it ran in though
// the other servers of these were idle, and all are listed as new ones when the crash of its server is found.
func TestTaskOutlastsCrashesOfRacksWithIdleServers(t *testing.T) {
	f := newFixture(t, backendsInRacksOf(4, 8)...)
	f.reportOthers(time.Second)
	f.addJob("j", stepOf(1, 1000))
	for range maxInnocent {
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		f.reportOthers(100 * time.Millisecond)
		rack := f.inRack(f.backends[starts[0].Backend].Rack)
		must.Len(t, 4, rack)
		f.reportOthers(rackReturn, rack...)
		f.replace(rack...)
		f.reportOthers(200*time.Millisecond, rack...)
		f.Lost(starts[0].Backend, basilwork.LossReplaced, f.now)
		must.False(t, f.jobs["j"].record.State.Final())
	}
}

// TestRackFailureIsSeenThoughIdleServerGotStart checks that a rack counts as failed when one of its servers was idle and got a start only after
// it had crashed with the rack.
func TestRackFailureIsSeenThoughIdleServerGotStart(t *testing.T) {
	f := newFixture(t, backendsInRacksOf(2, 2)...)
	f.reportAll()
	f.addJob("j", stepOf(1, 1000))
	home := f.decideAndStart()[0].Backend
	f.advance(1500 * time.Millisecond)
	f.report(home, 50) // the rack crashes now
	f.advance(100 * time.Millisecond)
	f.backends[home].recorded = false
	f.addJob("k", stepOf(1, 1000))
	other := f.Decide(f.now).Starts[0]
	must.NotEq(t, home, other.Backend)
	f.advance(500 * time.Millisecond)
	f.Started(other.Ref, basilwork.RefusalNone, false, f.now)
	f.advance(time.Second)
	f.SetReachable(home, false)
	f.SetReachable(other.Backend, false)
	l := f.newSilence(f.backends[home], f.backends[home].runs)
	must.True(t, f.rackFailed(&l))
}

// TestTaskStartedRightBeforeServerCrashedIsNotGivenUp checks that a task whose earlier backend server crashed long after its start is not
// given up because the next one crashes right after it, but once that has happened again.
func TestTaskStartedRightBeforeServerCrashedIsNotGivenUp(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(8)...)
	f.addJob("j", stepOf(1, 1000))
	id := f.decideAndStart()[0].Backend
	f.advance(time.Second)
	f.report(id, 50)
	f.crash(id)
	for range 2 {
		starts := f.decideAndStart()
		must.Len(t, 1, starts)
		must.False(t, f.jobs["j"].record.State.Final())
		f.crash(starts[0].Backend)
	}
	must.Len(t, 1, f.Decide(f.now).GivenUp)
}

// rackPlay is a play in which whole racks crash, and each server that starts the job named bad.
type rackPlay struct {
	*lostPlay
	crashes int // under the job named bad
	sameID  []bool
	away    []time.Duration // until a crashed server is back, by host
}

// newRackPlay returns a play of so many hosts, whose crashed servers are back after a time between the given ones.
func newRackPlay(r *rapid.T, hosts int, from, to time.Duration) *rackPlay {
	p := &rackPlay{lostPlay: newLostPlay(hosts, rapid.Uint64().Draw(r, "seed"))}
	for range p.hosts {
		p.sameID = append(p.sameID, rapid.Bool().Draw(r, "same id"))
		p.away = append(p.away, drawTime(r, "away", from, to))
	}
	return p
}

// crash ends the life of a host, which comes back later.
func (p *rackPlay) crash(h *playHost) {
	if !h.life.up {
		return
	}
	id := ""
	if p.sameID[h.number] {
		id = h.life.ID
	}
	h.life.die()
	p.after(p.away[h.number], func() { h.begin(p.lostPlay, id) })
}

func (p *rackPlay) crashRack(rack int) {
	p.trace("rack %d crashes", rack)
	for _, h := range p.hosts {
		if h.number/3 == rack {
			p.crash(h)
		}
	}
}

// watch crashes the servers that have started the job named bad. How long jobs wait while racks crash is not judged.
func (p *rackPlay) watch() {
	p.after(20*time.Millisecond, p.watch)
	clear(p.waits)
	for _, h := range p.hosts {
		if slices.ContainsFunc(h.life.sortedRuns(), func(r *playRun) bool { return r.task.Job == "bad" }) {
			p.crashes++
			p.crash(h)
		}
	}
}

// TestPropertyInnocentTasksOutlastCrashesOfRacks checks that no job is given up after up to three crashes of whole racks under its tasks,
// however many of their servers were idle and however these return, and that a task which crashes its servers beside them is given up in time.
func TestPropertyInnocentTasksOutlastCrashesOfRacks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		racks := rapid.IntRange(2, 3).Draw(r, "racks")
		p := newRackPlay(r, 3*racks, 2500*time.Millisecond, 6*time.Second)
		work := rapid.Custom(func(r *rapid.T) basilwork.Step {
			s := stepOf(rapid.IntRange(1, 3).Draw(r, "tasks"), rapid.SampledFrom([]int{1000, 5000, 12000}).Draw(r, "cpu"))
			s.Estimate = drawTime(r, "estimate", time.Second, 20*time.Second)
			return s
		})
		for n := range rapid.IntRange(1, 8).Draw(r, "jobs") {
			s := work.Draw(r, "step")
			p.after(drawTime(r, "accepted", 0, 10*time.Second), func() {
				p.accept(basilwork.Job{ID: fmt.Sprint("job", n), Queue: "quote", Steps: []basilwork.Step{s}})
			})
		}
		at := 3 * time.Second
		for range rapid.IntRange(1, 5).Draw(r, "crashes") {
			rack := rapid.IntRange(0, racks-1).Draw(r, "rack")
			at += drawTime(r, "pause", 4*time.Second, 12*time.Second)
			p.after(at, func() { p.crashRack(rack) })
		}
		bad := rapid.Bool().Draw(r, "bad")
		if bad {
			p.after(drawTime(r, "bad accepted", 0, 10*time.Second), func() {
				p.accept(basilwork.Job{ID: "bad", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000)}})
			})
		}
		p.watch()
		p.run(at + 45*time.Second)
		p.judge(r, bad)
	})
}

func (p *rackPlay) judge(r *rapid.T, bad bool) {
	if p.failure != "" {
		r.Fatalf("%s\n%s", p.failure, p.log())
	}
	for _, g := range p.givenUp {
		if !bad && len(g.Crashes) <= maxInnocent {
			r.Fatalf("%s is given up: %+v\n%s", g.Task, g.Crashes, p.log())
		}
	}
	if bad && (p.crashes > maxRunCrashes || !p.failed["bad"]) {
		r.Fatalf("%d crashes under the task, given up: %v\n%s", p.crashes, p.failed["bad"], p.log())
	}
}

// TestAdoptedRunIsNoPromptSuspect checks that a run that a previous owner started doesn't pass for one that was started right before its backend
// server crashed, as that falls silent soon after the takeover.
func TestAdoptedRunIsNoPromptSuspect(t *testing.T) {
	f := newFixture(t)
	f.adoptJob(stepOf(1, 1000))
	f.advance(promptCrashTime / 2)
	f.report("b1", 50)
	f.crash("b1")
	must.Len(t, 1, f.crashesOf("j"))
	must.False(t, f.crashesOf("j")[0].Prompt)
}
