package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// newLateStart gives up a backend server to which a start without an answer went, and has its task started on another one.
func newLateStart(t *testing.T) (*fixture, Ref) {
	t.Helper()
	f := newFixture(t, backendOf("b1", 1000))
	f.addJob("j", stepOf(1, 1000))
	s := f.Decide(f.now).Starts
	must.Len(t, 1, s)
	f.advance(time.Second)
	f.Started(s[0].Ref, basilwork.RefusalNone, false, f.now)
	f.Decide(f.now)
	f.advance(6 * time.Second)
	f.Lost("b1", basilwork.LossExpired, f.now)
	f.setBackends(backendOf("b2", 1000))
	must.Len(t, 1, f.decideAndStart())
	return f, s[0].Ref
}

// TestLateStartIsStoppedWhereBackendReturns checks that a start without an answer is stopped on the backend server that was given up once that
// answers again, until the stop is answered: it may be another incarnation, which carries the start out. None was stopped there.
func TestLateStartIsStoppedWhereBackendReturns(t *testing.T) {
	f, start := newLateStart(t)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.SetBackends([]basilwork.Backend{backendOf("b1", 1000), backendOf("b2", 1000)})
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("it has not answered yet"))
	f.Attached("b1")
	for range 2 {
		stops := f.Decide(f.now).Stops
		must.Len(t, 1, stops)
		must.Eq(t, start, stops[0].Ref)
		must.SliceEmpty(t, f.Decide(f.now).Stops)
		f.Stopped(start, false, f.now)
		must.LessEq(t, stopRetryInterval, f.Wake().Sub(f.now))
		f.advance(stopRetryInterval)
	}
	must.Len(t, 1, f.Decide(f.now).Stops)
	f.Stopped(start, true, f.now)
	f.advance(stopRetryInterval)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
}

// TestLateStartThatBeganIsNotStopped checks that the run of a start without an answer that the backend server lists counts like any other.
func TestLateStartThatBeganIsNotStopped(t *testing.T) {
	f, start := newLateStart(t)
	f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
	f.Report("b1", basilwork.Report{Running: []basilwork.RunStatus{{Task: start.Task.String(), Attempt: start.Attempt}}}, f.now, f.now)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
}

// TestLateStartIsForgotten checks that a start without an answer is forgotten once it can't be carried out any more.
func TestLateStartIsForgotten(t *testing.T) {
	f, _ := newLateStart(t)
	f.advance(basilwork.MaxOrderDelay)
	f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	must.SliceEmpty(t, f.lateStarts)
}

// TestRefusedStartIsNoLateStart checks that a start that was in flight when its backend server was given up, and is refused, is forgotten.
func TestRefusedStartIsNoLateStart(t *testing.T) {
	for refusal, left := range map[basilwork.Refusal]int{basilwork.RefusalUnsent: 0, basilwork.RefusalOld: 1} {
		f := newFixture(t, backendOf("b1", 1000))
		f.addJob("j", stepOf(1, 1000))
		s := f.Decide(f.now).Starts
		must.Len(t, 1, s)
		f.Lost("b1", basilwork.LossExpired, f.now)
		f.Started(s[0].Ref, refusal, true, f.now)
		must.Len(t, left, f.lateStarts)
	}
}
