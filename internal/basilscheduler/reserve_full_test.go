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

// longestRoomWait is how long a long-running task may wait for room: what is left of the 9 s that the platform allows once its server was silent until
// it counted as ended.
const longestRoomWait = playAbsence - minEndedRunWait

// fullPlay plays a pool in which short tasks take all room that comes free. Runs take as long as their jobs say.
type fullPlay struct {
	*fixture
	jobs     int
	ends     map[Ref]time.Time
	lengths  map[string]time.Duration
	numbers  map[string]int64
	finished int // short tasks
	stopped  int // runs of these
}

func newFullPlay(t *testing.T, hosts, cpu int) *fullPlay {
	var list []basilwork.Backend
	for n := range hosts {
		list = append(list, backendOf(fmt.Sprintf("b%02d", n), cpu))
	}
	return &fullPlay{
		fixture: newFixture(t, list...), ends: make(map[Ref]time.Time), lengths: make(map[string]time.Duration), numbers: make(map[string]int64),
	}
}

// keepFull adds jobs of the kinds in turn until so many tasks wait. Their runs take the estimated time.
func (p *fullPlay) keepFull(waiting int, kinds ...basilwork.Step) {
	for p.backlog.waiting < waiting {
		p.jobs++
		id := fmt.Sprintf("short-%06d", p.jobs)
		s := kinds[p.jobs%len(kinds)]
		p.lengths[id] = s.Estimate
		p.addJob(id, s)
		p.tickActions(p.Decide(p.now))
	}
}

func (p *fullPlay) tickActions(a Actions) {
	for _, s := range a.Stops {
		p.Stopped(s.Ref, true, p.now)
		p.ends[s.Ref] = p.now
	}
	for _, s := range a.Starts {
		p.Started(s.Ref, basilwork.RefusalNone, true, p.now)
		if length, short := p.lengths[s.Task.Job]; short {
			p.ends[s.Ref] = p.now.Add(length)
		}
	}
}

// tick lets runs end, and makes a decision.
func (p *fullPlay) tick() {
	p.advance(20 * time.Millisecond)
	for _, b := range slices.Clone(p.list) {
		var ended []basilwork.EndedRun
		for _, r := range b.sortedRuns() {
			at, ok := p.ends[r.ref()]
			if !ok || p.now.Before(at) {
				continue
			}
			p.numbers[b.ID]++
			how := basilwork.RunEndDone
			if r.phase == phaseStopping {
				how = basilwork.RunEndStopped
				p.stopped++
			} else {
				p.finished++
			}
			ended = append(ended, end(r.task.id.String(), p.numbers[b.ID], r.attempt, how))
			delete(p.ends, r.ref())
		}
		if len(ended) > 0 {
			p.report(b.ID, 100, ended...)
		}
	}
	p.tickActions(p.Decide(p.now))
}

// idleLong returns how many long-running tasks have no run.
func (p *fullPlay) idleLong() int {
	idle := 0
	for _, j := range p.Pool.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.spec.LongRunning {
					idle += s.idle
				}
			}
		}
	}
	return idle
}

func shortStep(count, cpu int, length time.Duration) basilwork.Step {
	s := stepOf(count, cpu)
	s.Estimate = length
	return s
}

// TestLongRunningTasksGetRoomInFullPool checks that all long-running tasks run again within the time that the platform allows after a pool has lost half
// of its servers in a peak of short tasks, though only the ends of these make room.
func TestLongRunningTasksGetRoomInFullPool(t *testing.T) {
	const hosts = 26
	for name, kinds := range map[string][]basilwork.Step{
		"short tasks of two sizes":        {shortStep(8, 6200, 850*time.Millisecond), shortStep(8, 13000, 1400*time.Millisecond)},
		"some of them take longer":        {shortStep(8, 6200, 850*time.Millisecond), shortStep(4, 13000, 12*time.Second)},
		"most of them take longer":        {shortStep(2, 6200, 2*time.Second), shortStep(8, 13000, 5*time.Second)},
		"small ones that take no big gap": {shortStep(64, 900, 3*time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFullPlay(t, hosts, 64000)
			for n := range 2 {
				long := longStep(24, 8200)
				long.AntiAffinity = 2
				p.addJob(fmt.Sprint("long-", n), long)
			}
			p.tick()
			must.Zero(t, p.idleLong())
			for range 100 {
				p.keepFull(200, kinds...)
				p.tick()
			}
			for n := range hosts / 2 {
				p.Lost(fmt.Sprintf("b%02d", 2*n), basilwork.LossExpired, p.now)
			}
			lost, before := p.now, p.finished
			must.Positive(t, p.idleLong())
			for p.idleLong() > 0 && p.now.Sub(lost) < time.Minute {
				p.keepFull(200, kinds...)
				p.tick()
			}
			took, done := p.now.Sub(lost), p.finished-before
			t.Logf("all run after %v, %d short tasks done, %d stopped", took, done, p.stopped)
			must.LessEq(t, longestRoomWait, took)
		})
	}
}

// TestLongRunningTaskGetsServerThatHasRoomFirst checks that a long-running task waits for the backend server that has room first, not for the one that
// lacks the least room: that one had a run that lasts for a minute.
func TestLongRunningTaskGetsServerThatHasRoomFirst(t *testing.T) {
	p := newFullPlay(t, 2, 16000)
	p.backends["b01"].Labels = []string{"rare"}
	p.lengths["minute"] = time.Minute
	p.addJob("minute", shortStep(1, 9000, time.Minute))
	p.tick()
	for n := range 15 {
		id := fmt.Sprint("second-", n)
		p.lengths[id] = time.Second + time.Duration(n)*100*time.Millisecond
		s := shortStep(1, 1000, p.lengths[id])
		s.Label = "rare"
		p.addJob(id, s)
	}
	p.tick()
	p.addJob("long", longStep(1, 8000))
	for range 110 {
		p.keepFull(10, shortStep(4, 1000, 2*time.Second))
		p.tick()
	}
	must.Zero(t, p.idleLong())
	must.Zero(t, p.stopped)
}

// TestRoomIsMadeByWhatIsCheapToRepeat checks which runs are stopped for a long-running task that would have room too late, and that none is before it
// has waited for 5 s.
func TestRoomIsMadeByWhatIsCheapToRepeat(t *testing.T) {
	gang, checkpointed := shortStep(2, 2000, time.Minute), shortStep(1, 5000, time.Minute)
	gang.Gang, checkpointed.Checkpointing = true, true
	p := newFullPlay(t, 1, 16000)
	for name, s := range map[string]basilwork.Step{"gang": gang, "checkpointed": checkpointed, "old": shortStep(1, 2000, time.Minute)} {
		p.lengths[name] = time.Minute
		p.addJob(name, s)
	}
	p.tick()
	p.advance(10 * time.Second)
	for name, s := range map[string]basilwork.Step{"new": shortStep(1, 3000, time.Minute), "newer": shortStep(1, 2000, time.Minute)} {
		p.lengths[name] = time.Minute
		p.addJob(name, s)
	}
	p.tick()
	p.addJob("long", longStep(1, 7000))
	p.Decide(p.now)
	p.advance(makeRoomAfter - time.Millisecond)
	must.SliceEmpty(t, p.Decide(p.now).Stops)
	p.advance(planInterval)
	var stopped []string
	a := p.Decide(p.now)
	for _, s := range a.Stops {
		stopped = append(stopped, s.Task.Job)
	}
	must.Eq(t, []string{"checkpointed", "newer"}, stopped)
	must.SliceEmpty(t, p.Decide(p.now).Stops)
	p.tickActions(a)
	p.tick()
	must.Zero(t, p.idleLong())
}

// TestPropertyLongRunningTasksGetRoomInFullPool plays a pool that loses servers while short tasks of any kind take all room that comes free, and judges
// that a long-running task runs within the time that the platform allows if it has room beside the other long-running ones.
func TestPropertyLongRunningTasksGetRoomInFullPool(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		hosts := rapid.IntRange(3, 8).Draw(r, "hosts")
		p := newFullPlay(t, hosts, 32000)
		for n := range rapid.IntRange(1, 3).Draw(r, "long-running jobs") {
			long := longStep(rapid.IntRange(1, hosts).Draw(r, "count"), 1000*rapid.IntRange(1, 12).Draw(r, "cpu"))
			long.AntiAffinity = rapid.IntRange(0, 2).Draw(r, "anti-affinity")
			p.addJob(fmt.Sprint("long-", n), long)
		}
		p.tick()
		var kinds []basilwork.Step
		for range rapid.IntRange(1, 4).Draw(r, "kinds") {
			s := shortStep(rapid.IntRange(1, 8).Draw(r, "count"), 1000*rapid.IntRange(1, 16).Draw(r, "cpu"), drawTime(r, "length", 200*time.Millisecond, 20*time.Second))
			s.Checkpointing, s.Filler = rapid.Bool().Draw(r, "checkpointing"), rapid.Bool().Draw(r, "filler")
			kinds = append(kinds, s)
		}
		losses := make(map[int]int)
		for range rapid.IntRange(1, 4).Draw(r, "losses") {
			losses[rapid.IntRange(20, 150).Draw(r, "at")] = rapid.IntRange(1, 5).Draw(r, "servers")
		}
		since := make(map[basilwork.TaskID]time.Time)
		for n := range 500 {
			for range min(losses[n], len(p.list)-1) {
				p.Lost(p.list[rapid.IntRange(0, len(p.list)-1).Draw(r, "lost")].ID, basilwork.LossExpired, p.now)
			}
			p.keepFull(30, kinds...)
			p.tick()
			p.judgeRoom(r, since)
		}
	})
}

// judgeRoom fails the play if a long-running task that has room beside others has not run for longestRoomWait.
func (p *fullPlay) judgeRoom(r *rapid.T, since map[basilwork.TaskID]time.Time) {
	for _, j := range p.Pool.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if !s.spec.LongRunning {
					continue
				}
				for _, t := range s.tasks {
					if !t.idle() || !slices.ContainsFunc(p.list, func(b *backend) bool { return b.roomComes(s.demand) && s.antiAffinityAllows(b) }) {
						delete(since, t.id)
						continue
					}
					if since[t.id].IsZero() {
						since[t.id] = p.now
					}
					if away := p.now.Sub(since[t.id]); away > longestRoomWait {
						r.Fatalf("%s has not run for %v with room", t.id, away)
					}
				}
			}
		}
	}
}
