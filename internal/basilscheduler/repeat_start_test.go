package basilscheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// firstRequests returns the starts that don't repeat one without an answer.
func firstRequests(starts []Start) []Start {
	return slices.DeleteFunc(slices.Clone(starts), func(s Start) bool { return s.Repeats > 0 })
}

// newUnanswered returns a start without an answer, and what the next decision repeats of it.
func newUnanswered(t *testing.T) (f *fixture, first Start, repeats []Start) {
	t.Helper()
	f = newFixture(t, backendOf("b1", 1000))
	f.addJob("j", stepOf(1, 1000))
	starts := f.Decide(f.now).Starts
	must.Len(t, 1, starts)
	f.advance(200 * time.Millisecond)
	f.setBackends(backendOf("b1", 1000), backendOf("b2", 1000))
	f.Started(starts[0].Ref, basilwork.RefusalNone, false, f.now)
	a := f.Decide(f.now)
	must.SliceEmpty(t, a.Stops)
	return f, starts[0], a.Starts
}

// TestUnansweredStartIsRepeated checks that a start without an answer is requested again, one request at a time, and that one answer is enough.
func TestUnansweredStartIsRepeated(t *testing.T) {
	f, first, repeats := newUnanswered(t)
	for n := range 3 {
		must.Len(t, 1, repeats)
		must.Eq(t, first.Ref, repeats[0].Ref)
		must.Eq(t, first.Payload, repeats[0].Payload)
		must.Eq(t, n+1, repeats[0].Repeats)
		f.advance(recheckInterval)
		must.SliceEmpty(t, f.Decide(f.now).Starts, must.Sprint("the last request is open"))
		f.Started(first.Ref, basilwork.RefusalNone, false, f.now)
		repeats = f.Decide(f.now).Starts
	}
	f.Started(first.Ref, basilwork.RefusalNone, true, f.now)
	must.Eq(t, phaseRunning, f.findRun(first.Ref).phase)
	f.advance(unansweredWait)
	f.report("b1", 50)
	a := f.Decide(f.now)
	must.True(t, a.Empty())
}

// TestRefusedRepeatIsStopped checks that a repeated start that is refused leaves the run to a stop, as an earlier request may have begun it or still
// do so, and that one that wasn't sent is repeated.
func TestRefusedRepeatIsStopped(t *testing.T) {
	for _, refusal := range basilwork.RefusalValues() {
		if refusal == basilwork.RefusalNone {
			continue
		}
		f, first, _ := newUnanswered(t)
		f.Started(first.Ref, refusal, true, f.now)
		a := f.Decide(f.now)
		must.NotNil(t, f.findRun(first.Ref), must.Sprint(refusal))
		if refusal == basilwork.RefusalUnsent {
			must.SliceEmpty(t, a.Starts, must.Sprint("it would be refused again at once, and decided again"))
			f.advance(recheckInterval)
			a = f.Decide(f.now)
			must.Len(t, 1, a.Starts)
			must.Eq(t, first.Ref, a.Starts[0].Ref)
			continue
		}
		must.SliceEmpty(t, a.Starts, must.Sprint(refusal))
		must.Len(t, 1, a.Stops, must.Sprint(refusal))
		must.Eq(t, first.Ref, a.Stops[0].Ref)
	}
}

// TestUnansweredStartIsNotRepeated checks where a start without an answer is stopped at once.
func TestUnansweredStartIsNotRepeated(t *testing.T) {
	draining, smaller := backendOf("b1", 1000), backendOf("b1", 500)
	draining.Draining = true
	for name, change := range map[string]func(f *fixture){
		"cancelled":   func(f *fixture) { f.Cancel("j", f.now) },
		"draining":    func(f *fixture) { f.setBackends(draining) },
		"evacuated":   func(f *fixture) { f.Evacuate("b1", true) },
		"unlisted":    func(f *fixture) { f.setBackends() },
		"unreachable": func(f *fixture) { f.SetReachable("b1", false) },
		"smaller":     func(f *fixture) { f.setBackends(smaller) },
		"restarted":   func(f *fixture) { f.Restarted("b1", basilwork.Report{}, f.now, f.now) },
	} {
		f, first, _ := newUnanswered(t)
		f.advance(recheckInterval)
		f.Started(first.Ref, basilwork.RefusalNone, false, f.now)
		change(f)
		a := f.Decide(f.now)
		must.SliceEmpty(t, a.Starts, must.Sprint(name))
		must.Len(t, 1, a.Stops, must.Sprint(name))
		must.Eq(t, first.Ref, a.Stops[0].Ref)
	}
}

// TestRepeatedStartMayBeCarriedOutLate checks that requests without an answer are stopped where a backend server that was given up returns, though
// one of them was answered, and though a later one is refused.
func TestRepeatedStartMayBeCarriedOutLate(t *testing.T) {
	f, first, _ := newUnanswered(t)
	f.Started(first.Ref, basilwork.RefusalNone, true, f.now)
	f.advance(7 * time.Second)
	f.Lost("b1", basilwork.LossExpired, f.now)
	f.Started(first.Ref, basilwork.RefusalRoom, true, f.now)
	f.setBackends(backendOf("b1", 1000))
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	must.Eq(t, first.Ref, stops[0].Ref)
	f.Stopped(first.Ref, true, f.now)
	must.SliceEmpty(t, f.lateStarts)
}

// TestUnansweredStartRespectsMaxUnavailable covers a start without an answer whose run may exist while as many other tasks of
// the step are unavailable as allowed: the run is stopped only if no report lists it for a while, which is longer where the backend server answers.
func TestUnansweredStartRespectsMaxUnavailable(t *testing.T) {
	unanswered := func() (*fixture, Start) {
		f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000), backendOf("b4", 4000))
		f.addJob("long", longStep(3, 1000))
		starts := f.Decide(f.now).Starts
		must.Len(t, 3, starts)
		f.advance(time.Second)
		f.Started(starts[0].Ref, basilwork.RefusalNone, true, f.now) // the other two are still unavailable
		f.Started(starts[2].Ref, basilwork.RefusalNone, false, f.now)
		must.SliceEmpty(t, f.Decide(f.now).Stops)
		return f, starts[2]
	}
	f, s := unanswered()
	f.report(s.Backend, 100)
	must.SliceEmpty(t, f.Decide(f.now).Stops)
	f.advance(unansweredWait)
	f.report(s.Backend, 100)
	must.SliceEmpty(t, f.Decide(f.now).Stops, must.Sprint("a report lists the run"))

	for reachable, wait := range map[bool]time.Duration{true: scarceRepeatTime, false: unansweredWait} {
		f, s = unanswered()
		f.SetReachable(s.Backend, reachable)
		f.advance(wait - time.Millisecond)
		must.SliceEmpty(t, f.Decide(f.now).Stops)
		f.advance(time.Millisecond + recheckInterval)
		stops := f.Decide(f.now).Stops
		must.Len(t, 1, stops)
		must.Eq(t, s.Ref, stops[0].Ref)
	}
}

// TestEvacuationStopsNoUnansweredStartThatIsNeeded checks that a start without an answer is repeated on a backend server that is to be emptied while its
// step can spare no task: the run may be at work there, and its stop would end it with too many others away.
func TestEvacuationStopsNoUnansweredStartThatIsNeeded(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000), backendOf("b2", 4000), backendOf("b3", 4000))
	f.addJob("long", longStep(3, 1000))
	starts := f.Decide(f.now).Starts
	must.Len(t, 3, starts)
	f.advance(time.Second)
	first := starts[0].Ref
	f.Started(first, basilwork.RefusalNone, false, f.now) // the other two are unavailable
	f.Evacuate(starts[0].Backend, true)
	repeats := 0
	for wait := f.now.Add(scarceRepeatTime); f.now.Before(wait); f.advance(recheckInterval) {
		a := f.Decide(f.now)
		must.SliceEmpty(t, a.Stops)
		for _, s := range a.Starts {
			must.Eq(t, first, s.Ref)
			f.Started(first, basilwork.RefusalNone, false, f.now)
			repeats++
		}
	}
	must.Positive(t, repeats)
	stops := f.Decide(f.now).Stops
	must.Len(t, 1, stops)
	must.Eq(t, first, stops[0].Ref)
}

// TestRepeatedStartMayBeCarriedOutAfterRestart checks that a run which a report showed while its start was repeated isn't started elsewhere before
// its stop was answered, if the backend server starts again under its ID: a request without an answer may be carried out there.
func TestRepeatedStartMayBeCarriedOutAfterRestart(t *testing.T) {
	f, first, _ := newUnanswered(t)
	f.report("b1", 50)
	must.Eq(t, phaseRunning, f.findRun(first.Ref).phase)
	f.advance(200 * time.Millisecond)
	f.Restarted("b1", basilwork.Report{}, f.now, f.now)
	f.Report("b1", basilwork.Report{}, f.now, f.now)
	f.Attached("b1")
	a := f.Decide(f.now)
	must.SliceEmpty(t, a.Starts)
	must.Len(t, 1, a.Stops)
	must.Eq(t, first.Ref, a.Stops[0].Ref)
}
