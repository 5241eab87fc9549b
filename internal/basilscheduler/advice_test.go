package basilscheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// adviceFixture is a pool beside a recommendation service, which answers one request after the other.
type adviceFixture struct {
	*fixture
	advice   basilwork.Advice
	allows   func(step, backend string) bool
	silent   bool // requests get no answer
	queue    []AdviceRequest
	busyTill time.Time // when the first of the queue is answered
	requests int
	asked    map[string]int // how often a server was named for a step, by both
	longest  int            // maximum length of the queue
}

func newAdviceFixture(t *testing.T, a basilwork.Advice, allows func(step, backend string) bool, backends ...basilwork.Backend) *adviceFixture {
	t.Helper()
	f := &adviceFixture{fixture: newFixture(t, backends...), advice: a, allows: allows, asked: make(map[string]int)}
	f.SetConfiguration(&basilwork.Configuration{Queues: []basilwork.Queue{{Name: "quote", Service: "stretch", Stretch: 1.6, Advice: &a}}})
	return f
}

// tick makes a decision, answers its starts, and lets the recommendation service work for a while.
func (f *adviceFixture) tick(t *testing.T) []Start {
	t.Helper()
	a := f.Decide(f.now)
	for _, s := range a.Starts {
		must.Eq(t, s.Task.StepName()+"@"+s.Backend, s.Ticket)
		f.Started(s.Ref, basilwork.RefusalNone, true, f.now)
	}
	for _, r := range a.Advice {
		must.Between(t, 1, len(r.Backends), maxAdviceBackends)
		f.requests++
		for _, id := range r.Backends {
			f.asked[r.Step+"@"+id]++
		}
		if len(f.queue) == 0 {
			f.busyTill = f.now.Add(f.advice.Cost(len(r.Backends)))
		}
		f.queue = append(f.queue, r)
	}
	f.longest = max(f.longest, len(f.queue))
	f.advance(10 * time.Millisecond)
	for !f.silent && len(f.queue) > 0 && !f.now.Before(f.busyTill) {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if len(f.queue) > 0 {
			f.busyTill = f.busyTill.Add(f.advice.Cost(len(f.queue[0].Backends)))
		}
		var tickets []basilwork.Ticket
		for _, id := range r.Backends {
			if f.allows(r.Step, id) {
				tickets = append(tickets, basilwork.Ticket{Backend: id, Value: r.Step + "@" + id})
			}
		}
		f.Advised(r, tickets, f.advice.ValidFor, f.now)
	}
	return a.Starts
}

// run ticks for the given time and returns the starts.
func (f *adviceFixture) run(t *testing.T, d time.Duration) []Start {
	t.Helper()
	var starts []Start
	for end := f.now.Add(d); f.now.Before(end); {
		starts = append(starts, f.tick(t)...)
	}
	return starts
}

var usualAdvice = basilwork.Advice{DecisionTime: 20 * time.Millisecond, TimePerItem: time.Millisecond, ValidFor: 3 * time.Second}

// backendsOf returns backend servers of the same size, named by the prefix and a number.
func backendsOf(count int, prefix string, cpu int) []basilwork.Backend {
	var list []basilwork.Backend
	for n := range count {
		list = append(list, backendOf(fmt.Sprintf("%s%03d", prefix, n), cpu))
	}
	return list
}

// TestJobsStartWherePolicyAllowsThoughOthersAreEmptier checks that jobs start whose policy allows only backend servers that are not among the
// 100 emptiest of their pool. They never did.
func TestJobsStartWherePolicyAllowsThoughOthersAreEmptier(t *testing.T) {
	const jobs = 10
	f := newAdviceFixture(t, usualAdvice, func(_, b string) bool { return b[0] == 's' }, slices.Concat(backendsOf(104, "large", 16000), backendsOf(16, "small", 8000))...)
	for n := range jobs {
		f.addJob(fmt.Sprintf("j%d", n), stepOf(2, 1000))
	}
	must.SliceLen(t, 2*jobs, f.run(t, 3*time.Second), must.Sprint("tasks started within the 3 s that a task with room may wait"))
	must.LessEq(t, 2*jobs, f.requests)
}

// TestAnswersAboutAStepAreKeptSideBySide checks that each ticket is used as long as its own answer holds, while others are asked for.
func TestAnswersAboutAStepAreKeptSideBySide(t *testing.T) {
	f := newAdviceFixture(t, basilwork.Advice{ValidFor: 3 * time.Second}, nil, backendOf("b1", 1000))
	f.addJob("one", stepOf(1, 1000))
	f.addJob("two", stepOf(3, 900))
	answer := func(r AdviceRequest, id string) {
		f.Advised(r, []basilwork.Ticket{{Backend: id, Value: id}}, 3*time.Second, f.now)
	}
	first := f.Decide(f.now).Advice
	must.SliceLen(t, 2, first)
	for _, r := range first {
		answer(r, "b1")
	}
	starts := f.decideAndStart()
	must.SliceLen(t, 1, starts)
	f.advance(2 * time.Second)
	f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
	second := f.Decide(f.now).Advice
	must.SliceLen(t, 1, second)
	must.Eq(t, []string{"b2"}, second[0].Backends)
	answer(second[0], "b2")
	s := f.decideAndStart()
	must.SliceLen(t, 1, s)
	must.Eq(t, "b2", s[0].Ticket)

	step := second[0].Step
	valid := func() (ids []string) {
		for _, b := range f.list {
			if f.tickets[step].ticketFor(b, f.now) != "" {
				ids = append(ids, b.ID)
			}
		}
		return ids
	}
	must.Eq(t, []string{"b1", "b2"}, valid())
	f.advance(time.Second)
	must.Eq(t, []string{"b2"}, valid())
	f.advance(2 * time.Second)
	must.SliceEmpty(t, valid())
}

// TestRefusedBackendsAreNotAskedAboutAgain checks that a waiting step asks about each backend server that it may not use once in the server's
// life, and that expired tickets alone are asked for again.
func TestRefusedBackendsAreNotAskedAboutAgain(t *testing.T) {
	f := newAdviceFixture(t, usualAdvice, func(_, b string) bool { return b == "b000" }, backendsOf(250, "b", 4000)...)
	long := longStep(1, 4000)
	f.addJob("first", long)
	must.SliceLen(t, 1, f.run(t, time.Second))
	f.requests, f.asked = 0, make(map[string]int)
	f.addJob("second", long)
	must.SliceEmpty(t, f.run(t, 30*time.Second))
	must.MapLen(t, 250, f.asked)
	for name, times := range f.asked {
		switch name {
		case "second.0.0@b000":
			must.Between(t, 8, times, 12, must.Sprint("each 2.7 s"))
		default:
			must.Eq(t, 1, times, must.Sprint(name))
		}
	}
	must.LessEq(t, 16, f.requests)

	f.asked = make(map[string]int)
	f.Restarted("b007", basilwork.Report{}, f.now, f.now)
	f.Attached("b007")
	f.run(t, time.Second)
	must.Eq(t, 1, f.asked["second.0.0@b007"])
}

// TestRequestsForAdviceAreBounded checks how many requests wait for an answer at once, and that they are repeated if none comes.
func TestRequestsForAdviceAreBounded(t *testing.T) {
	f := newAdviceFixture(t, usualAdvice, func(string, string) bool { return true }, backendsOf(120, "b", 16000)...)
	f.silent = true
	for n := range 200 {
		f.addJob(fmt.Sprintf("j%03d", n), stepOf(2, 1000))
	}
	f.run(t, 2*time.Second)
	must.Between(t, maxAdviceCalls+1, f.requests, 3*maxAdviceCalls)
	f.run(t, 20*time.Second)
	must.Eq(t, maxOpenAdviceCalls, f.requests)
	for _, r := range f.queue {
		f.AdviceFailed(r, f.now)
	}
	f.queue, f.silent = nil, false
	must.SliceEmpty(t, f.Decide(f.now).Advice, must.Sprint("requests right after failed ones"))
	f.run(t, 30*time.Second)
	must.LessEq(t, maxAdviceCalls, f.longest-maxOpenAdviceCalls+maxAdviceCalls)
	must.Zero(t, f.Load(f.now).Waiting)
}

// TestLostAnswerDoesNotHoldUpStep checks that a step asks again in little over a second if its answer was lost, also if the service is busy.
func TestLostAnswerDoesNotHoldUpStep(t *testing.T) {
	f := newAdviceFixture(t, usualAdvice, func(string, string) bool { return true }, backendsOf(10, "b", 4000)...)
	f.silent = true
	f.addJob("j", stepOf(1, 1000))
	f.tick(t)
	must.SliceLen(t, 1, f.queue)
	f.queue, f.silent = nil, false
	must.SliceLen(t, 1, f.run(t, 1500*time.Millisecond))
}

// TestStepIsAdvisedThoughOthersAskAgainAndAgain checks that steps with room for some tasks of their gangs only, whose tickets are renewed for
// ever, leave the service time for a step behind them.
func TestStepIsAdvisedThoughOthersAskAgainAndAgain(t *testing.T) {
	const gangs = 40
	brief := basilwork.Advice{DecisionTime: 20 * time.Millisecond, ValidFor: 600 * time.Millisecond}
	f := newAdviceFixture(t, brief, func(step, b string) bool { return b == "b0"+step[1:3] }, backendsOf(gangs+1, "b", 1000)...)
	gang := stepOf(2, 1000)
	gang.Gang, gang.LongRunning = true, true
	for n := range gangs {
		f.addJob(fmt.Sprintf("g%02d", n), gang)
	}
	f.run(t, 20*time.Second)
	f.addJob(fmt.Sprintf("j%02d", gangs), stepOf(1, 1000))
	must.SliceLen(t, 1, f.run(t, 3*time.Second))
}

// TestRefusedTicketIsAskedForAgain checks that a ticket which its backend server refused is asked for again after a pause, and the other tickets
// of the step are used meanwhile.
func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	f := newAdviceFixture(t, usualAdvice, func(string, string) bool { return true }, backendOf("b1", 1000), backendOf("b2", 1000))
	f.addJob("j", stepOf(2, 1000))
	f.run(t, 30*time.Millisecond)
	starts := f.Decide(f.now).Starts
	must.SliceLen(t, 2, starts)
	f.Started(starts[0].Ref, basilwork.RefusalTicket, true, f.now)
	f.Started(starts[1].Ref, basilwork.RefusalNone, true, f.now)
	must.SliceEmpty(t, f.run(t, 900*time.Millisecond))
	must.SliceLen(t, 1, f.run(t, 600*time.Millisecond))
}

// TestStepsThatRunKeepNoRefusals checks that what is kept of a step whose tasks all run doesn't grow with the pool.
func TestStepsThatRunKeepNoRefusals(t *testing.T) {
	f := newAdviceFixture(t, usualAdvice, func(_, b string) bool { return b == "b249" }, backendsOf(250, "b", 4000)...)
	f.addJob("j", longStep(1, 1000))
	must.SliceLen(t, 1, f.run(t, 2*time.Second))
	must.MapLen(t, 1, f.tickets["j.0.0"].answers)
}
