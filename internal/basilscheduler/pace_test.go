package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// usage has a backend server list its runs: those that serve with the tail latency, all of them at work.
func (f *fixture) usage(id string, tail int) {
	var r basilwork.Report
	for _, x := range f.backends[id].sortedRuns() {
		s := basilwork.RunStatus{Task: x.task.id.String(), Attempt: x.attempt, Percent: 100}
		if x.task.step.spec.Target > 0 {
			s.Usage = tail
		}
		r.Running = append(r.Running, s)
	}
	f.Report(id, r, f.now, f.now)
}

// TestFillersGiveWay stops fillers beside a serving task that is over its target well within the 4 s that it may be,
// and lets them work again once it is well below.
func TestFillersGiveWay(t *testing.T) {
	f := newFixture(t, backendOf("b1", 4000))
	serving := longStep(1, 2000)
	serving.Target = 100 * time.Millisecond
	filler := stepOf(1, 4000)
	filler.Fills = true
	f.add("serving", serving)
	f.add("filler", filler)
	must.Len(t, 2, f.begin())
	paces := func(tail int, most time.Duration) (last, orders int) {
		last = -1
		for began := f.now; f.now.Sub(began) < most; f.pass(250 * time.Millisecond) {
			f.usage("b1", tail)
			for _, x := range f.Decide(f.now).Paces {
				last = x.Percent
				orders++
			}
		}
		return last, orders
	}
	last, _ := paces(150, 2*time.Second)
	must.Eq(t, 0, last)
	_, orders := paces(70, 2*time.Second)
	must.Eq(t, 0, orders, must.Sprint("neither near its target nor well below"))
	last, _ = paces(40, 4*time.Second)
	must.Eq(t, fullPace, last)
}
