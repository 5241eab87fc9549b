package basilscheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	playMaxHold     = 6 * time.Second
	playStopTimeout = time.Second
	playGangTimeout = 3 * time.Second
	playReportEnds  = 500
)

// playRunKey identifies a run on one backend server.
type playRunKey struct {
	task    basilwork.TaskID
	attempt int
}

// playRun is a run that really exists on a backend server of a play.
type playRun struct {
	playRunKey
	began   time.Time
	works   time.Time // when it began to work; zero while it waits for the other members of its gang
	length  time.Duration
	fails   bool
	stopped time.Time // when it ends because of a stop; zero if none was ordered
	broken  bool
}

// playServer is one life of a backend server.
type playServer struct {
	basilwork.Backend
	play        *lostPlay
	host        *playHost
	up          bool
	rate        float64
	fence       int64
	deadline    int64 // of all leases, on its clock
	lapsedAt    time.Time
	runs        map[playRunKey]*playRun
	ended       []basilwork.EndedRun
	endedAt     map[int64]time.Time
	endNumber   int64
	highest     map[basilwork.TaskID]int // highest attempt stopped or ended here
	lastWritten time.Time                // of its entry in the list
	leavesAt    time.Time                // zero if it doesn't drain
}

// playHost is the place of consecutive lives, with the troubles of its network and process.
type playHost struct {
	number       int
	life         *playServer
	lives        int
	silentUntil  time.Time // nothing reaches its life, and no answer leaves
	unlistUntil  time.Time // its entry isn't written either
	sickUntil    time.Time // its life refuses all calls with 503
	lateUntil    time.Time // orders are carried out late
	lateOrders   []string  // the kinds that are
	lossyUntil   time.Time // answers get lost
	greyUntil    time.Time // some runs fail, and some calls
	greyTenths   int       // how many of ten
	greyHow      greyHow   // how calls fail
	evacuated    bool
	awayOnceIdle bool // the host is ordered away once it is empty
}

// playAnswer is what a backend server answers to an order.
type playAnswer struct {
	refusal basilwork.Refusal
	clock   int64
	report  basilwork.Report
}

func (s *playServer) clock() int64 {
	return 1000 + int64(float64(s.play.now.UnixMilli()-s.StartedAt)*s.rate)
}

// sortedRuns returns the runs by task and attempt.
func (s *playServer) sortedRuns() []*playRun {
	return slices.SortedFunc(maps.Values(s.runs), func(a, b *playRun) int {
		x, y := &a.task, &b.task
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index), cmp.Compare(a.attempt, b.attempt))
	})
}

func (s *playServer) free() basilwork.Resources {
	free := s.Resources
	for _, r := range s.runs {
		free = free.Sub(s.play.demandOf(r.task))
	}
	return free
}

// extend takes a deadline, which is shortened to the longest lease and never shortens that of before.
func (s *playServer) extend(deadline int64) {
	s.deadline = max(s.deadline, min(deadline, s.clock()+playMaxHold.Milliseconds()))
}

func (s *playServer) refused(refusal basilwork.Refusal) playAnswer {
	return playAnswer{refusal: refusal, clock: s.clock()}
}

// checkFence returns whether the order is one of the newest owner.
func (s *playServer) checkFence(fence int64) bool {
	if fence < s.fence {
		return false
	}
	s.fence = fence
	return true
}

func (s *playServer) start(o basilwork.StartOrder, id basilwork.TaskID) playAnswer {
	key := playRunKey{task: id, attempt: o.Attempt}
	switch {
	case !s.checkFence(o.Fence):
		return s.refused(basilwork.RefusalFence)
	case s.runs[key] != nil:
		s.extend(o.Deadline)
		return s.refused(basilwork.RefusalNone)
	case o.Attempt <= s.highest[id]:
		s.extend(o.Deadline)
		return s.refused(basilwork.RefusalOld)
	case o.Deadline <= s.clock():
		return s.refused(basilwork.RefusalLate)
	case !s.free().Covers(s.play.demandOf(id)):
		s.extend(o.Deadline)
		return s.refused(basilwork.RefusalRoom)
	}
	s.extend(o.Deadline)
	r := &playRun{playRunKey: key, began: s.play.now}
	r.length, r.fails = s.play.drawRun(id)
	if !s.play.stepOf(id).Gang {
		r.works = s.play.now
	}
	s.runs[key] = r
	s.play.judgeStart(s, r)
	s.play.joinGang(r)
	return s.refused(basilwork.RefusalNone)
}

func (s *playServer) stop(o basilwork.StopOrder, id basilwork.TaskID) playAnswer {
	if !s.checkFence(o.Fence) {
		return s.refused(basilwork.RefusalFence)
	}
	s.highest[id] = max(s.highest[id], o.Attempt)
	if r := s.runs[playRunKey{task: id, attempt: o.Attempt}]; r != nil && r.stopped.IsZero() {
		s.play.judgeStop(r)
		r.stopped = s.play.now.Add(s.play.between(20*time.Millisecond, playStopTimeout))
	}
	return s.refused(basilwork.RefusalNone)
}

func (s *playServer) hold(o basilwork.HoldOrder) playAnswer {
	if !s.checkFence(o.Fence) {
		return s.refused(basilwork.RefusalFence)
	}
	if o.Deadline > 0 {
		s.extend(o.Deadline)
	}
	for len(s.ended) > 0 && s.ended[0].Number <= o.Acknowledged {
		s.play.judgeAcknowledged(s, s.ended[0])
		s.ended = s.ended[1:]
	}
	r := basilwork.Report{Clock: s.clock(), StartedAt: s.StartedAt, Ended: slices.Clone(s.ended[:min(len(s.ended), playReportEnds)])}
	for _, x := range s.sortedRuns() {
		status := basilwork.RunStatus{Task: x.task.String(), Attempt: x.attempt}
		if !x.works.IsZero() {
			status.ProgressPercent = min(99, int(100*s.play.now.Sub(x.works)/max(x.length, 1)))
		}
		if s.play.stepOf(x.task).LongRunning && s.play.now.Sub(x.began) > 500*time.Millisecond {
			status.ProgressPercent = 100
		}
		r.Running = append(r.Running, status)
	}
	return playAnswer{clock: r.Clock, report: r}
}

// endRun ends a run and lists its end.
func (s *playServer) endRun(r *playRun, end basilwork.RunEnd) {
	delete(s.runs, r.playRunKey)
	s.endNumber++
	s.highest[r.task] = max(s.highest[r.task], r.attempt)
	s.ended = append(s.ended, basilwork.EndedRun{Number: s.endNumber, Task: r.task.String(), Attempt: r.attempt, End: end})
	s.endedAt[s.endNumber] = s.play.now
	s.play.trace("%s ends %s/%d: %s", s.ID, r.task, r.attempt, end)
	s.play.judgeEnd(s, r, end)
	if s.play.stepOf(r.task).Gang && end != basilwork.RunEndDone {
		s.play.breakGang(r)
	}
}

// tick ends the runs that are due to.
func (s *playServer) tick() {
	if !s.up {
		return
	}
	now := s.play.now
	lapsed := s.clock() >= s.deadline
	if lapsed {
		s.lapsedAt = now
	}
	for _, r := range s.sortedRuns() {
		gang := s.play.stepOf(r.task).Gang
		switch {
		case s.runs[r.playRunKey] == nil:
		case lapsed:
			s.endRun(r, basilwork.RunEndLapsed)
		case r.broken:
			s.endRun(r, basilwork.RunEndBroken)
		case !r.stopped.IsZero() && !now.Before(r.stopped):
			s.endRun(r, basilwork.RunEndStopped)
		case r.works.IsZero() && gang && now.Sub(r.began) > playGangTimeout:
			s.endRun(r, basilwork.RunEndAlone)
		case r.works.IsZero() || now.Sub(r.works) < r.length:
		case r.fails || s.play.stepOf(r.task).LongRunning:
			s.endRun(r, basilwork.RunEndFailed)
		case gang:
			s.play.finishGang(r)
		default:
			s.endRun(r, basilwork.RunEndDone)
		}
	}
	if !s.leavesAt.IsZero() && !now.Before(s.leavesAt) {
		s.die()
		s.host.rebornIn(3 * time.Second)
	}
}

// die ends the life; what ran there is gone.
func (s *playServer) die() {
	if !s.up {
		return
	}
	s.up = false
	s.play.trace("%s dies", s.ID)
	for _, r := range s.sortedRuns() {
		delete(s.runs, r.playRunKey)
		s.play.judgeEnd(s, r, basilwork.RunEndLost)
		if s.play.stepOf(r.task).Gang {
			s.play.breakGang(r)
		}
	}
}

// rebornIn begins another life, under a new ID, after the given time.
func (h *playHost) rebornIn(d time.Duration) {
	p := h.life.play
	p.after(d, func() {
		if !h.life.up {
			h.begin(p, "")
		}
	})
}

// begin begins a life under the given ID, or under a new one.
func (h *playHost) begin(p *lostPlay, id string) {
	h.lives++
	if id == "" {
		id = fmt.Sprintf("s%d-%d", h.number, h.lives)
	}
	h.evacuated, h.awayOnceIdle = false, false
	labels := []string{"a"}
	if h.number%2 == 0 {
		labels = append(labels, "rare")
	}
	h.life = &playServer{
		Backend: basilwork.Backend{
			ID: id, Service: "stretch", Address: fmt.Sprint("host-", h.number), Rack: fmt.Sprint("r1-", h.number/3), Labels: labels,
			Resources: basilwork.Resources{CPU: 16000, Memory: 65536}, StartedAt: p.now.UnixMilli(),
		},
		play: p, host: h, up: true, rate: 1 - 0.02*p.random.Float64(), runs: make(map[playRunKey]*playRun),
		endedAt: make(map[int64]time.Time), highest: make(map[basilwork.TaskID]int),
	}
	p.lives = append(p.lives, h.life)
	p.trace("%s begins", id)
}

// listed reports whether the entry of the life is in the list of backend servers.
func (h *playHost) listed(now time.Time) bool {
	if h.life.up && !now.Before(h.unlistUntil) {
		h.life.lastWritten = now
	}
	return now.Sub(h.life.lastWritten) < 2*time.Second && (h.life.up || h.life.leavesAt.IsZero())
}
