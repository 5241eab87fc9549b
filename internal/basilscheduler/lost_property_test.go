package basilscheduler

import (
	queue "container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playRounds   = 2 // of troubles and the calm after them
	playTroubles = 18 * time.Second
	playCalm     = 24 * time.Second
	playRound    = playTroubles + playCalm
)

// playEvent is something that happens at a time of a play.
type playEvent struct {
	at       time.Time
	sequence int
	do       func()
}

type playEvents []playEvent

func (e playEvents) Len() int { return len(e) }
func (e playEvents) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].sequence < e[b].sequence
}
func (e playEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *playEvents) Push(x any)   { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// lostPlay plays jobs on backend servers in trouble, under one owner after another, and judges what the servers do.
type lostPlay struct {
	random    *rand.Rand
	listTimes *rand.Rand // of writes of lists, apart so that seeds play what they did before there were lists
	now       time.Time
	began     time.Time
	events    playEvents
	sequence  int
	ticks     int
	hosts     []*playHost
	lives     []*playServer
	store     playStore
	owner     *playOwner
	jobs      map[string]*basilwork.Job
	cancelled map[string]time.Time
	failed    map[string]bool
	givenUp   []GivenUp
	tasks     map[basilwork.TaskID]*playTask
	waits     map[string]time.Time // since when what waits has had room
	failure   string
	restless  bool // troubles come at any time
	lines     []playLine

	beforeStart func(s Start) // called for each start that is requested; nil for none

	judgesStops bool // AVAIL is judged
	late        bool // an order is carried out late
}

// playLine is a line of the trace, which is printed if the play fails.
type playLine struct {
	at     time.Duration
	format string
	args   []any
}

func (l *playLine) String() string {
	return fmt.Sprintf("%7.3f s  %s", l.at.Seconds(), fmt.Sprintf(l.format, l.args...))
}

func (p *lostPlay) after(d time.Duration, do func()) {
	p.sequence++
	queue.Push(&p.events, playEvent{at: p.now.Add(d), sequence: p.sequence, do: do})
}

func (p *lostPlay) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.random.Int64N(int64(to-from)))
}

func (p *lostPlay) trace(format string, args ...any) {
	p.lines = append(p.lines, playLine{at: p.now.Sub(p.began), format: format, args: args})
}

// log returns the trace.
func (p *lostPlay) log() string {
	var text strings.Builder
	for n := range p.lines {
		text.WriteString(p.lines[n].String() + "\n")
	}
	return text.String()
}

func (p *lostPlay) fail(format string, args ...any) {
	if p.failure == "" {
		p.failure = fmt.Sprintf("%.3f s: ", p.now.Sub(p.began).Seconds()) + fmt.Sprintf(format, args...)
	}
}

// hostOf returns the host whose present life has the ID, or nil.
func (p *lostPlay) hostOf(id string) *playHost {
	for _, h := range p.hosts {
		if h.life.ID == id {
			return h
		}
	}
	return nil
}

// storeTime returns how long a call to the store takes one way.
func (p *lostPlay) storeTime() time.Duration { return p.storeTimeBy(p.random) }

func (p *lostPlay) storeTimeBy(random *rand.Rand) time.Duration {
	from, to := 5*time.Millisecond, 40*time.Millisecond
	if p.now.Before(p.store.troubleUntil) {
		from, to = 100*time.Millisecond, 3*time.Second
	}
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// calmFor returns for how long there has been no trouble; negative while troubles come.
func (p *lostPlay) calmFor() time.Duration {
	if p.restless {
		return -time.Nanosecond
	}
	return p.now.Sub(p.began)%playRound - playTroubles
}

// drawRun returns how long a run will take, and whether it will fail.
func (p *lostPlay) drawRun(id basilwork.TaskID) (time.Duration, bool) {
	s := p.stepOf(id)
	fails := p.calmFor() < 0 && p.random.IntN(25) == 0
	if !s.LongRunning {
		return time.Duration(float64(s.Estimate) * (0.6 + 0.8*p.random.Float64())), fails
	}
	if fails {
		return p.between(time.Second, 10*time.Second), true
	}
	return 24 * time.Hour, false
}

// call sends an order to a backend server.
func (p *lostPlay) call(c *playConnection, kind string, timeout time.Duration, carryOut func(l *playServer) playAnswer, reply func(a playAnswer, answered bool)) {
	replied := false
	answer := func(a playAnswer, answered bool) {
		if !replied {
			replied = true
			c.owner.thawed(func() { reply(a, answered) })
		}
	}
	p.after(timeout, func() { answer(playAnswer{}, false) })
	latency := func() time.Duration { return p.between(time.Millisecond, 15*time.Millisecond) }
	p.after(latency(), func() {
		h := p.hosts[slices.IndexFunc(p.hosts, func(h *playHost) bool { return h.life.Address == c.address })]
		l := h.life
		var a playAnswer
		switch {
		case p.now.Before(h.silentUntil) || !l.up:
			return
		case l.ID != c.id:
			a = l.refused(basilwork.RefusalGone)
		case p.now.Before(h.sickUntil):
			a = l.refused(basilwork.RefusalBusy)
		case p.now.Before(h.greyUntil) && p.random.IntN(10) < h.greyTenths:
			switch h.greyHow {
			case greyMute:
				carryOut(l)
				return
			case greyHang:
				return
			}
			a = l.refused(basilwork.RefusalBusy)
		case p.now.Before(h.lateUntil) && slices.Contains(h.lateOrders, kind) && p.random.IntN(10) < 7:
			p.after(p.between(2*time.Second, 12*time.Second), func() {
				if h.life == l && l.up && !p.now.Before(h.silentUntil) {
					p.trace("late: %s on %s", kind, c.id)
					p.late = true
					carryOut(l)
					p.late = false
				}
			})
			return
		default:
			a = carryOut(l)
		}
		if p.now.Before(h.lossyUntil) && p.random.IntN(3) == 0 {
			return
		}
		p.after(latency(), func() {
			if !p.now.Before(h.silentUntil) && l.up {
				answer(a, true)
			}
		})
	})
}

// gang calls f for each run of the same attempt of the run's gang.
func (p *lostPlay) gang(r *playRun, f func(s *playServer, x *playRun)) {
	p.runs(func(s *playServer, x *playRun) {
		if x.task.Job == r.task.Job && x.task.Step == r.task.Step && x.attempt == r.attempt {
			f(s, x)
		}
	})
}

func (p *lostPlay) joinGang(r *playRun) {
	if !p.stepOf(r.task).Gang {
		return
	}
	var members []*playRun
	p.gang(r, func(_ *playServer, x *playRun) { members = append(members, x) })
	if len(members) < p.stepOf(r.task).Count {
		return
	}
	for _, x := range members {
		x.works, x.length, x.fails = p.now, r.length, r.fails
	}
}

func (p *lostPlay) breakGang(r *playRun) {
	p.gang(r, func(_ *playServer, x *playRun) { x.broken = true })
}

func (p *lostPlay) finishGang(r *playRun) {
	p.gang(r, func(s *playServer, x *playRun) { s.endRun(x, basilwork.RunEndDone) })
}

// tick lets the backend servers go on, and judges.
func (p *lostPlay) tick() {
	p.ticks++
	p.after(50*time.Millisecond, p.tick)
	for _, h := range p.hosts {
		h.life.tick()
	}
	switch {
	case p.calmFor() < playCalmSettles:
		clear(p.waits)
	case p.ticks%2 == 0:
		p.judgeWaiting()
	}
}

// accept stores a job.
func (p *lostPlay) accept(j basilwork.Job) {
	body, err := json.Marshal(basilwork.Record{Job: j, Accepted: p.now.UnixMilli()})
	if err != nil {
		panic(err)
	}
	p.store.version++
	p.jobs[j.ID] = &j
	p.store.rows[j.ID] = playRow{body: body, version: p.store.version}
	p.trace("%s is accepted", j.ID)
}

func (p *lostPlay) cancel(id string) {
	var r basilwork.Record
	if err := json.Unmarshal(p.store.rows[id].body, &r); err != nil {
		panic(err)
	}
	if r.State.Final() {
		return
	}
	r.State = basilwork.JobStateCanceled
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	p.store.version++
	p.cancelled[id] = p.now
	p.store.rows[id] = playRow{body: body, state: r.State, version: p.store.version}
	p.trace("%s is cancelled", id)
}

func newLostPlay(hosts int, seed uint64) *lostPlay {
	start := time.Unix(1000, 0)
	p := &lostPlay{
		random: rand.New(rand.NewPCG(seed, 0)), listTimes: rand.New(rand.NewPCG(seed, 1)), now: start, began: start,
		store: playStore{rows: make(map[string]playRow), servers: make(map[string]playServerRow)},
		jobs:  make(map[string]*basilwork.Job), cancelled: make(map[string]time.Time), failed: make(map[string]bool),
		tasks: make(map[basilwork.TaskID]*playTask), waits: make(map[string]time.Time),
	}
	for n := range hosts {
		h := &playHost{number: n}
		p.hosts = append(p.hosts, h)
		h.begin(p, "")
	}
	p.tick()
	p.takeOver()
	return p
}

// run plays until the time, or the first failure.
func (p *lostPlay) run(until time.Duration) {
	for p.failure == "" && len(p.events) > 0 && p.events[0].at.Sub(p.began) <= until {
		e := queue.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
}

// endTroubles ends all faults that still last.
func (p *lostPlay) endTroubles() {
	p.trace("calm")
	p.store.troubleUntil = p.now
	for _, h := range p.hosts {
		h.silentUntil, h.unlistUntil, h.sickUntil, h.lateUntil, h.lossyUntil = p.now, p.now, p.now, p.now, p.now
		h.evacuated, h.awayOnceIdle = false, false
		if h.life.Draining {
			h.life.leavesAt = p.now
		}
		if !h.life.up {
			h.rebornIn(time.Second)
		}
	}
	if !p.owner.alive {
		p.takeOver()
	}
}

// TestPropertyWhatHasItsTurnAndRoomRuns plays random jobs of several steps on backend servers in trouble, under one owner after another, and
// judges in the calm after it that what has its turn and room runs, by what the servers did.
func TestPropertyWhatHasItsTurnAndRoomRuns(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newLostPlay(rapid.IntRange(3, 8).Draw(r, "hosts"), rapid.Uint64().Draw(r, "seed"))
		for n := range rapid.IntRange(1, 8).Draw(r, "jobs") {
			j := jobGenerator(n).Draw(r, "job")
			p.after(drawTime(r, "accepted", 0, playRound+playTroubles), func() { p.accept(j) })
		}
		for round := range playRounds {
			for range rapid.IntRange(0, 8).Draw(r, "troubles") {
				drawTrouble(r, p, time.Duration(round)*playRound)
			}
			p.after(time.Duration(round)*playRound+playTroubles, p.endTroubles)
		}
		p.run(playRounds * playRound)
		if p.failure != "" {
			r.Fatalf("%s\n%s", p.failure, p.log())
		}
	})
}
