package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// reportUsage reports all runs of a backend server as past startup, with the tail latency as usage of those with a target.
func (f *fixture) reportUsage(id string, tailLatency int) {
	var r basilwork.Report
	for _, x := range f.backends[id].sortedRuns() {
		s := basilwork.RunStatus{Task: x.task.id.String(), Attempt: x.attempt, ProgressPercent: 100}
		if x.task.step.spec.Target > 0 {
			s.Usage = tailLatency
		}
		r.Running = append(r.Running, s)
	}
	f.Report(id, r, f.now, f.now)
}

// TestFillersArePaced checks that fillers stop well within the 4 s for which a serving task may exceed its latency target, and
// speed up again once the latency is well below the target.
func TestFillersArePaced(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	serving := longStep(1, 2000)
	serving.Target = 100 * time.Millisecond
	filler := stepOf(1, 4000)
	filler.Filler = true
	f.addJob("serving", serving)
	f.addJob("filler", filler)
	must.Len(t, 2, f.decideAndStart())
	observePaces := func(tailLatency int, duration time.Duration) (last, orders int) {
		last = -1
		for began := f.now; f.now.Sub(began) < duration; f.advance(250 * time.Millisecond) {
			f.reportUsage("b1", tailLatency)
			for _, x := range f.Decide(f.now).Paces {
				last = x.Percent
				orders++
			}
		}
		return last, orders
	}
	last, _ := observePaces(150, 2*time.Second)
	must.Eq(t, 0, last)
	_, orders := observePaces(70, 2*time.Second)
	must.Eq(t, 0, orders, must.Sprint("the latency is neither close to the target nor well below it"))
	last, _ = observePaces(40, 4*time.Second)
	must.Eq(t, fullPace, last)
}
